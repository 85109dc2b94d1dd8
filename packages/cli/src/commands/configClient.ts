/** Client of the administration API. */
import { readFileSync } from 'node:fs'
import * as protocol from '@egretvalve/protocol'
import * as results from 'ts-results'
import * as undici from 'undici'

/** Path under which an entry mounts the administration API. */
const ADMIN_PREFIX = '/admin/v1'
/** Time within which an entry answers, in milliseconds; longer than an entry takes to settle a change. */
const ANSWER_TIMEOUT_MS = 15_000

/** Where the administration API is and how to reach it. */
export interface ClientOptions {
  /** Address of an entry by IP number and port. */
  api: string
  token: string
  /** File with the certificate authority of the entries; empty for plain text. */
  tlsCaFile: string
}

/** An answer of the API. */
export interface ApiAnswer {
  statusCode: number
  body: unknown
}

/** True for an error that arose before the request was sent. */
function wasNeverSent (thrown: unknown): boolean {
  return thrown instanceof Error && 'code' in thrown && (thrown.code === 'ECONNREFUSED' || thrown.code === 'UND_ERR_CONNECT_TIMEOUT')
}

/** Calls the administration API. */
export class ConfigClient {
  private readonly origin: string
  private readonly dispatcher: undici.Agent

  constructor (private readonly options: ClientOptions) {
    const isTls = options.tlsCaFile !== ''
    this.origin = `${isTls ? 'https' : 'http'}://${options.api}`
    const connect = isTls ? { ca: readFileSync(options.tlsCaFile) } : {}
    this.dispatcher = new undici.Agent({ connect, headersTimeout: ANSWER_TIMEOUT_MS, bodyTimeout: ANSWER_TIMEOUT_MS })
  }

  async get (path: string): Promise<results.Result<ApiAnswer, protocol.StepError>> {
    return await this.call('GET', path)
  }

  async post (path: string, body: object): Promise<results.Result<ApiAnswer, protocol.StepError>> {
    return await this.call('POST', path, JSON.stringify(body))
  }

  async close (): Promise<void> {
    await this.dispatcher.close()
  }

  private async call (method: 'GET' | 'POST', path: string, body?: string): Promise<results.Result<ApiAnswer, protocol.StepError>> {
    const headers: Record<string, string> = { 'content-type': 'application/json' }
    if (this.options.token !== '') headers['authorization'] = `Bearer ${this.options.token}`
    try {
      const response = await undici.request(this.origin + ADMIN_PREFIX + path, { method, headers, body: body ?? null, dispatcher: this.dispatcher })
      return results.Ok({ statusCode: response.statusCode, body: await response.body.json() })
    } catch (thrown) {
      const code = wasNeverSent(thrown) ? protocol.ErrorCode.Unavailable : protocol.ErrorCode.OutcomeUnknown
      const message = thrown instanceof Error ? thrown.message : String(thrown)
      return results.Err(new protocol.StepError(code, 'cli.request', this.options.api, message, { cause: thrown }))
    }
  }
}
