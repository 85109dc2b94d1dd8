/** Default options of admission. */

/** Options of the waiting queue. */
export interface QueueOptions {
  /** Pressing starts in a row after which one ordinary task starts. */
  maxPressingStreak: number
  /** Wait of the most urgent work from which the teams' shares decide, in milliseconds. */
  fairAfterMs: number
  /** Time in which a team's past starts count half, in milliseconds. */
  usageHalfLifeMs: number
}

export const DEFAULT_QUEUE: QueueOptions = {
  maxPressingStreak: 19,
  fairAfterMs: 200,
  usageHalfLifeMs: 1_000
}

/** Options of the admission decision. */
export interface AdmissionOptions {
  /** Window over which start and arrival rates are measured, in milliseconds. */
  rateWindowMs: number
  /** Smallest share of the starts that ordinary work is expected to get. */
  minOrdinaryShare: number
  /** Shortest time after which a refused caller is told to try again, in milliseconds. */
  minRetryAfterMs: number
  /** Longest time after which a refused caller is told to try again, in milliseconds. */
  maxRetryAfterMs: number
  /** Seed of the generator of the jitter. */
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
  /** Additional attempts that one first attempt pays for. */
  ratio: number
  /** Most attempts that are saved up. */
  maxTokens: number
}

export const DEFAULT_RETRY_BUDGET: BudgetOptions = { ratio: 0.1, maxTokens: 50 }

export const DEFAULT_HEDGE_BUDGET: BudgetOptions = { ratio: 0.02, maxTokens: 10 }

/** Options of hedging. */
export interface HedgeOptions {
  /** A task is hedged after this many times its expected run time. */
  expectedRunFactor: number
  /** No task is hedged earlier than this, in milliseconds. */
  minHedgeMs: number
}

export const DEFAULT_HEDGE: HedgeOptions = { expectedRunFactor: 3, minHedgeMs: 200 }

/** Options of the urgency notices. */
export interface UrgencyOptions {
  /** Pressing work waits this long before it is announced, in milliseconds. */
  raisePressingAfterMs: number
  /** Ordinary work waits this long before it is announced, in milliseconds. */
  raiseOrdinaryAfterMs: number
  /** A lower urgency is announced after it has lasted this long, in milliseconds. */
  lowerAfterMs: number
  /** Pressing work with less time than this left before its latest start is critical, in milliseconds. */
  criticalSlackMs: number
}

export const DEFAULT_URGENCY: UrgencyOptions = { raisePressingAfterMs: 5, raiseOrdinaryAfterMs: 100, lowerAfterMs: 150, criticalSlackMs: 20 }
