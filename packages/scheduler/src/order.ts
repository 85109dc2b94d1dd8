/** The order in which waiting jobs get room. */

/** What the order depends on. */
export interface OrderKey {
  priority: number
  /** Time at which the job misses its objective. */
  dueAtMs: number
  /** Time from which an answer is of little use to the caller. */
  uselessAtMs: number
  /** Expected time from the start of the tasks that wait to the end of the job. */
  remainingMs: number
  /** True when a part of the job runs or is done; that work is lost if the rest does not follow. */
  hasStarted: boolean
}

/** How much an answer is worth to its caller. */
export enum Band {
  InTime = 0,
  Late = 1,
  Useless = 2
}

/**
 * Returns the band of a job. Estimates are rough, so a job that has started when it could meet its objective keeps its place
 * until its answer would be of no use: its first tasks would otherwise have run for nothing.
 */
export function bandOf (key: OrderKey, nowMs: number): Band {
  const endMs = nowMs + key.remainingMs
  if (endMs > key.uselessAtMs) return Band.Useless
  return key.hasStarted || endMs <= key.dueAtMs ? Band.InTime : Band.Late
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
  if (band !== Band.InTime) return left.remainingMs - right.remainingMs
  return (left.dueAtMs - left.remainingMs) - (right.dueAtMs - right.remainingMs)
}
