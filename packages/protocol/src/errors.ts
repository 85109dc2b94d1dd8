/** Errors that carry the step and the peer at which they arose. */

/** Stable codes of errors that reach callers and operators. */
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

/** An error with the step that failed and the peer it concerned. */
export class StepError extends Error {
  /** What the program was doing, such as `store.compareAndSwap`. */
  readonly step: string
  /** The address or id of the other side; `local` when there is none. */
  readonly peer: string
  readonly code: ErrorCode

  constructor (code: ErrorCode, step: string, peer: string, message: string, options?: ErrorOptions) {
    super(message, options)
    this.name = 'StepError'
    this.code = code
    this.step = step
    this.peer = peer
  }

  /** One line for a log or a terminal. */
  describe (): string {
    return `${this.step} (${this.peer}): ${this.message}`
  }
}

/** Reports a union member that a switch does not handle. The compiler rejects reachable calls. */
export function assertNever (value: never): never {
  throw new StepError(ErrorCode.Internal, 'switch', 'local', `unhandled value ${JSON.stringify(value)}`)
}

/** Converts anything thrown into a StepError, keeping the step of one that is already typed. */
export function toStepError (thrown: unknown, step: string, peer: string): StepError {
  if (thrown instanceof StepError) return thrown
  const message = thrown instanceof Error ? thrown.message : String(thrown)
  return new StepError(ErrorCode.Internal, step, peer, message, { cause: thrown })
}
