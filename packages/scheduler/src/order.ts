/** The order in which waiting jobs get room. */

/** What the order depends on. */
export interface OrderKey {
  priority: number
  /** Time at which the job misses its objective. */
  dueAtMs: number
  /** Expected time from the start of the tasks that wait to the end of the job. */
  remainingMs: number
}

/** Whether a job can still meet its objective. */
export enum Band {
  InTime = 0,
  Late = 1
}

/** Returns the band of a job. */
export function bandOf (key: OrderKey, nowMs: number): Band {
  return nowMs + key.remainingMs <= key.dueAtMs ? Band.InTime : Band.Late
}

/**
 * Negative when the left job goes first. Jobs that can meet their objective go before those that can't, then by priority,
 * then by the latest start that meets the objective. Late jobs go shortest first, which serves the most callers.
 */
export function compareJobs (left: OrderKey, right: OrderKey, nowMs: number): number {
  const band = bandOf(left, nowMs)
  const bands = band - bandOf(right, nowMs)
  if (bands !== 0) return bands
  if (left.priority !== right.priority) return left.priority - right.priority
  if (band === Band.Late) return left.remainingMs - right.remainingMs
  return (left.dueAtMs - left.remainingMs) - (right.dueAtMs - right.remainingMs)
}
