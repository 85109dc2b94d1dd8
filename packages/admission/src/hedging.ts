/** Hedging: second copies of repeatable tasks that run much longer than expected. */
import type { HedgeOptions } from './defaults.ts'
import type { RetryBudget } from './retryBudget.ts'

/** State of a running task. */
export interface RunningAttempt {
  repeatable: boolean
  sentAtMs: number
  expectedRunMs: number
  attempts: number
}

/** Decides which running tasks are hedged. */
export class HedgePolicy {
  constructor (private readonly options: HedgeOptions, private readonly budget: RetryBudget) {}

  /** Returns the time after the send from which a task may be hedged, in milliseconds. */
  hedgeAfterMs (expectedRunMs: number): number {
    return Math.max(this.options.minHedgeMs, expectedRunMs * this.options.expectedRunFactor)
  }

  /** Returns true if a second copy should be sent now, and takes a token from the budget. Tasks that are not repeatable are never hedged. */
  tryHedge (attempt: RunningAttempt, nowMs: number): boolean {
    if (!attempt.repeatable || attempt.attempts > 1) return false
    if (nowMs - attempt.sentAtMs < this.hedgeAfterMs(attempt.expectedRunMs)) return false
    return this.budget.tryTake()
  }
}
