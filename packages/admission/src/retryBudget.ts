/** Budget of additional attempts, paid for by first attempts, as in gRPC's retry throttling. */
import type { BudgetOptions } from './defaults.ts'

/** Token bucket that first attempts fill and retries or hedges empty. */
export class RetryBudget {
  private tokens: number

  constructor (private readonly options: BudgetOptions) {
    this.tokens = options.maxTokens / 2
  }

  /** Counts first attempts. */
  noteFirstAttempts (count: number): void {
    this.tokens = Math.min(this.options.maxTokens, this.tokens + count * this.options.ratio)
  }

  /** Takes one additional attempt from the budget, or returns false when it is used up. */
  tryTake (): boolean {
    if (this.tokens < 1) return false
    this.tokens--
    return true
  }
}
