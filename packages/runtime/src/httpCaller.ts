/** HTTP client for JSON calls to one address. Each outcome states whether the call may have taken effect. */
import type * as settings from '@egretvalve/settings'
import * as undici from 'undici'

/** Codes of errors that occur before any byte of the request has been sent. */
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
      const exchange = new CallHandler(outcome => {
        timeout.cancel()
        call.signal?.removeEventListener('abort', abort)
        resolve(outcome)
      })
      const abort = (): void => { exchange.abort() }
      const timeout = this.options.timers.after(call.timeoutMs, abort)
      call.signal?.addEventListener('abort', abort, { once: true })
      if (call.signal?.aborted === true) {
        abort()
        return
      }
      this.pool.dispatch({
        path: call.path,
        method: call.method,
        headers: call.body === undefined ? call.headers : { 'content-type': 'application/json', ...call.headers },
        body: call.body === undefined ? null : JSON.stringify(call.body)
      }, exchange)
    })
  }

  async close (): Promise<void> {
    await this.pool.destroy()
  }
}

/** Handles one call at undici's dispatcher level, because the streams and abort signals of its request API cost more than the call itself. */
class CallHandler implements undici.Dispatcher.DispatchHandler {
  private controller: undici.Dispatcher.DispatchController | undefined
  private status = 0
  private readonly chunks: Buffer[] = []
  private isAborted = false
  private isSettled = false

  constructor (private readonly resolve: (outcome: HttpOutcome) => void) {}

  /** Settles the call as unanswered. A call that is still waiting for a connection will not be sent. */
  abort (): void {
    this.isAborted = true
    this.settle({ kind: 'unanswered', reason: ABORT_REASON })
    this.controller?.abort(new Error(ABORT_REASON))
  }

  onRequestStart (controller: undici.Dispatcher.DispatchController): void {
    this.controller = controller
    if (this.isAborted) controller.abort(new Error(ABORT_REASON))
  }

  onResponseStart (_controller: undici.Dispatcher.DispatchController, status: number): void {
    this.status = status
  }

  onResponseData (_controller: undici.Dispatcher.DispatchController, chunk: Buffer): void {
    this.chunks.push(chunk)
  }

  onResponseEnd (): void {
    const text = this.chunks.length === 1 ? this.chunks[0]!.toString() : Buffer.concat(this.chunks).toString()
    this.settle({ kind: 'answered', status: this.status, body: parseJson(text) })
  }

  onResponseError (_controller: undici.Dispatcher.DispatchController, error: Error): void {
    this.settle(describeFailure(error))
  }

  private settle (outcome: HttpOutcome): void {
    if (this.isSettled) return
    this.isSettled = true
    this.resolve(outcome)
  }
}

function describeFailure (error: Error): HttpOutcome {
  const { code } = error as { code?: unknown }
  if (typeof code === 'string' && UNSENT_CODES.has(code)) return { kind: 'unsent', code, reason: error.message }
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
