/** Default options of admission. */

/** Options of the waiting queue. */
export interface QueueOptions {
  /** Number of consecutive pressing starts after which one ordinary task starts. */
  maxPressingStreak: number
  /** Once the most urgent work has waited this long, the teams' shares decide the order, in milliseconds. */
  fairAfterMs: number
  /** Half-life of a team's recorded usage, in milliseconds. */
  usageHalfLifeMs: number
}

export const DEFAULT_QUEUE: QueueOptions = {
  maxPressingStreak: 19,
  fairAfterMs: 200,
  usageHalfLifeMs: 1_000
}

/** Options of the admission decision. */
export interface AdmissionOptions {
  /** Time constant of the measured start and arrival rates, in milliseconds. */
  rateWindowMs: number
  /** Minimum share of the slots assumed for ordinary work, from 0 to 1. */
  minOrdinaryShare: number
  /** Minimum retry-after of a refusal before jitter, in milliseconds. */
  minRetryAfterMs: number
  /** Maximum retry-after of a refusal, in milliseconds. */
  maxRetryAfterMs: number
  /** Seed of the random generator for the jitter. */
  seed: number
}

export const DEFAULT_ADMISSION: AdmissionOptions = {
  rateWindowMs: 500,
  minOrdinaryShare: 0.05,
  minRetryAfterMs: 100,
  maxRetryAfterMs: 30_000,
  seed: 1
}

/** Options of a budget of additional attempts. */
export interface BudgetOptions {
  /** Tokens added per first attempt; each additional attempt costs one token. */
  ratio: number
  /** Maximum number of saved tokens. */
  maxTokens: number
}

export const DEFAULT_RETRY_BUDGET: BudgetOptions = { ratio: 0.1, maxTokens: 50 }

export const DEFAULT_HEDGE_BUDGET: BudgetOptions = { ratio: 0.02, maxTokens: 10 }

/** Options of hedging. */
export interface HedgeOptions {
  /** A task is hedged after its expected run time multiplied by this factor. */
  expectedRunFactor: number
  /** Minimum time before a task is hedged, in milliseconds. */
  minHedgeMs: number
}

export const DEFAULT_HEDGE: HedgeOptions = { expectedRunFactor: 3, minHedgeMs: 200 }

/** Options of the urgency notices. */
export interface UrgencyOptions {
  /** Wait of pressing work before its urgency is announced, in milliseconds. */
  raisePressingAfterMs: number
  /** Wait of ordinary work before its urgency is announced, in milliseconds. */
  raiseOrdinaryAfterMs: number
  /** Time for which the urgency must stay lower before the lower one is announced, in milliseconds. */
  lowerAfterMs: number
  /** Pressing work is critical if its latest start is less than this away, in milliseconds. */
  criticalSlackMs: number
}

export const DEFAULT_URGENCY: UrgencyOptions = { raisePressingAfterMs: 5, raiseOrdinaryAfterMs: 100, lowerAfterMs: 150, criticalSlackMs: 20 }
