/** Second copies of repeatable tasks that run much longer than expected. */
import type { HedgeOptions } from './defaults.ts'
import type { RetryBudget } from './retryBudget.ts'

/** What is known of a task that runs. */
export interface RunningAttempt {
  repeatable: boolean
  sentAtMs: number
  expectedRunMs: number
  attempts: number
}

/** Decides which running tasks get a second copy. */
export class HedgePolicy {
  constructor (private readonly options: HedgeOptions, private readonly budget: RetryBudget) {}

  /** Returns the time after the send at which a task is late enough for a second copy, in milliseconds. */
  hedgeAfterMs (expectedRunMs: number): number {
    return Math.max(this.options.minHedgeMs, expectedRunMs * this.options.expectedRunFactor)
  }

  /** Whether to send a second copy now; takes it from the budget. Never for tasks that are not repeatable. */
  tryHedge (attempt: RunningAttempt, nowMs: number): boolean {
    if (!attempt.repeatable || attempt.attempts > 1) return false
    if (nowMs - attempt.sentAtMs < this.hedgeAfterMs(attempt.expectedRunMs)) return false
    return this.budget.tryTake()
  }
}
