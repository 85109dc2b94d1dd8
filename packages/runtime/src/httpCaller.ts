/** HTTP client for JSON calls to one address. Each outcome states whether the call may have taken effect. */
import type * as settings from '@egretvalve/settings'
import * as undici from 'undici'

/** Codes of errors that show, for a call that was given no connection, that it will not be sent. */
const UNSENT_CODES: ReadonlySet<string> = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT', 'UND_ERR_DESTROYED', 'UND_ERR_CLOSED'])

const ABORT_REASON = 'no answer in time'

export interface HttpCall {
  method: 'GET' | 'POST' | 'DELETE'
  path: string
  headers?: Readonly<Record<string, string>>
  body?: unknown
  /** Timeout in milliseconds, including the wait for a connection; after it the outcome is `unanswered`. */
  timeoutMs: number
  signal?: AbortSignal
}

/** Outcome of a call. */
export type HttpOutcome =
  /** `body` is undefined if it is empty or not valid JSON. */
  | { kind: 'answered', status: number, body: unknown }
  /** The call was not sent and has no effect. `code` is the error code, such as `ECONNREFUSED`. */
  | { kind: 'unsent', code: string, reason: string }
  /** The call may have taken effect, or may still do so. */
  | { kind: 'unanswered', reason: string }

export interface HttpCallerOptions {
  /** IP address and port. */
  address: string
  connections: number
  connectTimeoutMs: number
  timers: settings.Timers
}

/** Calls one address over a bounded number of connections. `call` never rejects; failures are outcomes. */
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

  async call (call: HttpCall): Promise<HttpOutcome> {
    return await new Promise(resolve => {
      const exchange = new CallHandler(call, this.options.timers, resolve)
      if (!exchange.isSettled) this.pool.dispatch({ path: call.path, method: call.method, headers: listHeaders(call), body: call.body === undefined ? null : JSON.stringify(call.body) }, exchange)
    })
  }

  async close (): Promise<void> {
    await this.pool.destroy()
  }
}

/** Lists names and values in turn, the form that undici reads without a search for iterators. */
function listHeaders (call: HttpCall): string[] {
  const headers: string[] = call.body === undefined ? [] : ['content-type', 'application/json']
  for (const name in call.headers) headers.push(name, call.headers[name]!)
  return headers
}

/**
 * Handles one call at undici's dispatcher level, because the streams and abort signals of its request API cost more than the call itself.
 * The handler has the form that undici's connections call directly; other forms are wrapped, which creates several objects a call.
 */
class CallHandler implements undici.Dispatcher.DispatchHandler {
  isSettled = false
  private readonly timeout: settings.TimerHandle | undefined
  private abortRequest: ((error: Error) => void) | undefined
  private status = 0
  private firstChunk: Buffer | undefined
  private chunks: Buffer[] | undefined

  constructor (private readonly request: HttpCall, timers: settings.Timers, private readonly resolve: (outcome: HttpOutcome) => void) {
    if (request.signal?.aborted === true) {
      this.abort()
      return
    }
    this.timeout = timers.after(request.timeoutMs, this.abort)
    request.signal?.addEventListener('abort', this.abort, { once: true })
  }

  /** Settles the call as unanswered. A call that is still waiting for a connection will not be sent. */
  private readonly abort = (): void => {
    this.settle({ kind: 'unanswered', reason: ABORT_REASON })
    this.abortRequest?.(new Error(ABORT_REASON))
  }

  onConnect (abort: (error?: Error) => void): void {
    if (this.isSettled) abort(new Error(ABORT_REASON))
    else this.abortRequest = abort
  }

  onHeaders (status: number): boolean {
    this.status = status
    return true
  }

  onData (chunk: Buffer): boolean {
    if (this.firstChunk === undefined) this.firstChunk = chunk
    else (this.chunks ??= [this.firstChunk]).push(chunk)
    return true
  }

  onComplete (): void {
    const body = this.chunks === undefined ? this.firstChunk : Buffer.concat(this.chunks)
    this.settle({ kind: 'answered', status: this.status, body: parseJson(body?.toString() ?? '') })
  }

  onError (error: Error): void {
    this.settle(describeFailure(error, this.abortRequest !== undefined))
  }

  private settle (outcome: HttpOutcome): void {
    if (this.isSettled) return
    this.isSettled = true
    this.timeout?.cancel()
    this.request.signal?.removeEventListener('abort', this.abort)
    this.resolve(outcome)
  }
}

/** `hadConnection` is true for a call of which bytes may have been sent. Such a call can fail with the same codes. */
function describeFailure (error: Error, hadConnection: boolean): HttpOutcome {
  const { code } = error as { code?: unknown }
  if (!hadConnection && typeof code === 'string' && UNSENT_CODES.has(code)) return { kind: 'unsent', code, reason: error.message }
  return { kind: 'unanswered', reason: error.message }
}

function parseJson (text: string): unknown {
  if (text === '') return undefined
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}
