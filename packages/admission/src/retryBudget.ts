/** Budget of additional attempts in proportion to first attempts, as in gRPC's retry throttling. */
import type { BudgetOptions } from './defaults.ts'

/** Token bucket that first attempts fill and that retries or hedges drain. It starts half full. */
export class RetryBudget {
  private tokens: number

  constructor (private readonly options: BudgetOptions) {
    this.tokens = options.maxTokens / 2
  }

  /** Adds the tokens of first attempts. */
  recordFirstAttempts (count: number): void {
    this.tokens = Math.min(this.options.maxTokens, this.tokens + count * this.options.ratio)
  }

  /** Takes one token for an additional attempt. Returns false if the budget is exhausted. */
  tryTake (): boolean {
    if (this.tokens < 1) return false
    this.tokens--
    return true
  }
}
