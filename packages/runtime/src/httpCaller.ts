/** HTTP calls with JSON bodies to one address. Says of each call whether it may have been carried out. */
import type * as settings from '@egretvalve/settings'
import * as undici from 'undici'

/** Codes of failures that arise before a byte of the request was sent. */
const UNSENT_CODES: ReadonlySet<string> = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT', 'UND_ERR_DESTROYED', 'UND_ERR_CLOSED'])

const ABORT_REASON = 'no answer in time'

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
    return await new Promise(resolve => {
      const exchange = new Exchange(outcome => {
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

/** One call on its way. A handler of the pool's own level: its streams and abort signals cost more than the call itself. */
class Exchange implements undici.Dispatcher.DispatchHandler {
  private controller: undici.Dispatcher.DispatchController | undefined
  private status = 0
  private readonly chunks: Buffer[] = []
  private isAborted = false
  private isSettled = false

  constructor (private readonly resolve: (outcome: HttpOutcome) => void) {}

  /** Ends the call without an answer. One that waits for a connection is not sent any more. */
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
