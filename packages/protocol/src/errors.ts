/** Errors that carry the failed step and the peer involved. */

/** Stable error codes, visible to callers and operators. */
export enum ErrorCode {
  InvalidInput = 'invalid-input',
  NotFound = 'not-found',
  Conflict = 'conflict',
  Unauthorized = 'unauthorized',
  Forbidden = 'forbidden',
  Unavailable = 'unavailable',
  Timeout = 'timeout',
  RateLimited = 'rate-limited',
  OutcomeUnknown = 'outcome-unknown',
  Internal = 'internal'
}

export class StepError extends Error {
  /** Operation that failed, such as `store.compareAndSwap`. */
  readonly step: string
  /** Address or id of the peer; `local` if there is none. */
  readonly peer: string
  readonly code: ErrorCode

  constructor (code: ErrorCode, step: string, peer: string, message: string, options?: ErrorOptions) {
    super(message, options)
    this.name = 'StepError'
    this.code = code
    this.step = step
    this.peer = peer
  }

  /** Formats the error as one line for a log or a terminal. */
  describe (): string {
    return `${this.step} (${this.peer}): ${this.message}`
  }
}

/** Throws for a union member that a switch does not handle. The compiler rejects reachable calls. */
export function assertNever (value: never): never {
  throw new StepError(ErrorCode.Internal, 'switch', 'local', `unhandled value ${JSON.stringify(value)}`)
}

/** Converts any thrown value into a `StepError`. An existing `StepError` is returned unchanged. */
export function toStepError (thrown: unknown, step: string, peer: string): StepError {
  if (thrown instanceof StepError) return thrown
  const message = thrown instanceof Error ? thrown.message : String(thrown)
  return new StepError(ErrorCode.Internal, step, peer, message, { cause: thrown })
}
