/** Client of the administration API. */
import { readFileSync } from 'node:fs'
import * as protocol from '@egretvalve/protocol'
import * as results from 'ts-results'
import * as undici from 'undici'

/** Base path of the administration API. */
const ADMIN_PREFIX = '/admin/v1'
/** Response timeout. Must exceed the time that an entry needs to complete a change. */
const ANSWER_TIMEOUT_MS = 15_000

/** Address and credentials for the administration API. */
export interface ClientOptions {
  /** IP address and port of an entry. */
  api: string
  token: string
  /** PEM file with the certificate authority of the entries; empty for plain text. */
  tlsCaFile: string
}

/** HTTP response of the API with its parsed JSON body. */
export interface ApiAnswer {
  statusCode: number
  body: unknown
}

/** Returns true for errors that occur before the request is sent. */
function isUnsent (thrown: unknown): boolean {
  return thrown instanceof Error && 'code' in thrown && (thrown.code === 'ECONNREFUSED' || thrown.code === 'UND_ERR_CONNECT_TIMEOUT')
}

/** HTTP client of the administration API. Errors have the code `Unavailable` if no connection could be made, and `OutcomeUnknown` otherwise. */
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
      const code = isUnsent(thrown) ? protocol.ErrorCode.Unavailable : protocol.ErrorCode.OutcomeUnknown
      const message = thrown instanceof Error ? thrown.message : String(thrown)
      return results.Err(new protocol.StepError(code, 'cli.request', this.options.api, message, { cause: thrown }))
    }
  }
}
