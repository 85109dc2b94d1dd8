/** HTTP calls with JSON bodies to one address. Says of each call whether it may have been carried out. */
import type * as settings from '@egretvalve/settings'
import * as undici from 'undici'

/** Codes of failures that arise before a byte of the request was sent. */
const UNSENT_CODES: ReadonlySet<string> = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT', 'UND_ERR_DESTROYED', 'UND_ERR_CLOSED'])

/** A call. */
export interface HttpCall {
  method: 'GET' | 'POST' | 'DELETE'
  path: string
  headers?: Readonly<Record<string, string>>
  body?: unknown
  /** Time after which the call counts as unanswered, in milliseconds. */
  timeoutMs: number
  signal?: AbortSignal
}

/** How a call ended. */
export type HttpOutcome =
  /** `body` is undefined when it isn't JSON. */
  | { kind: 'answered', status: number, body: unknown }
  /** The call was not sent and has no effect. `code` names the failure, such as `ECONNREFUSED`. */
  | { kind: 'unsent', code: string, reason: string }
  /** The call may have been carried out, or may be later. */
  | { kind: 'unanswered', reason: string }

/** Where calls go. */
export interface HttpCallerOptions {
  /** IP number and port. */
  address: string
  connections: number
  connectTimeoutMs: number
  timers: settings.Timers
}

/** Calls one address over a bounded number of connections. It never throws. */
export class HttpCaller {
  private readonly pool: undici.Pool

  constructor (readonly options: HttpCallerOptions) {
    this.pool = new undici.Pool(`http://${options.address}`, {
      connections: options.connections,
      connect: { timeout: options.connectTimeoutMs },
      headersTimeout: 0,
      bodyTimeout: 0
    })
  }

  /** Sends one call. */
  async call (call: HttpCall): Promise<HttpOutcome> {
    const stop = new AbortController()
    const abort = (): void => { stop.abort() }
    const timeout = this.options.timers.after(call.timeoutMs, abort)
    call.signal?.addEventListener('abort', abort, { once: true })
    if (call.signal?.aborted === true) abort()
    try {
      const response = await this.pool.request({
        path: call.path,
        method: call.method,
        headers: call.body === undefined ? call.headers : { 'content-type': 'application/json', ...call.headers },
        body: call.body === undefined ? null : JSON.stringify(call.body),
        signal: stop.signal
      })
      return { kind: 'answered', status: response.statusCode, body: parseJson(await response.body.text()) }
    } catch (thrown) {
      return describeFailure(thrown, stop.signal.aborted)
    } finally {
      timeout.cancel()
      call.signal?.removeEventListener('abort', abort)
    }
  }

  async close (): Promise<void> {
    await this.pool.destroy()
  }
}

function describeFailure (thrown: unknown, isAborted: boolean): HttpOutcome {
  const code = (thrown as { code?: unknown } | undefined)?.code
  const reason = isAborted ? 'no answer in time' : thrown instanceof Error ? thrown.message : String(thrown)
  if (typeof code === 'string' && UNSENT_CODES.has(code)) return { kind: 'unsent', code, reason }
  return { kind: 'unanswered', reason }
}

function parseJson (text: string): unknown {
  if (text === '') return undefined
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}
