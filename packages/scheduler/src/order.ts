/** The order in which waiting jobs get capacity. */

/** Properties of a job that determine its order. */
export interface OrderKey {
  priority: number
  /** Time after which the job misses its latency objective. */
  dueAtMs: number
  /** Time after which an answer is of little use to the caller. */
  usefulUntilMs: number
  /** Expected time from the start of the waiting tasks to the end of the job. */
  remainingMs: number
  /** True when a task of the job may have started. Its work is wasted if the rest does not follow. */
  hasStarted: boolean
}

/** Expected lateness of a job's answer; lower values go first. */
export enum Lateness {
  OnTime = 0,
  /** Misses the latency objective, but is still useful. */
  Late = 1,
  /** Of little use to the caller. */
  TooLate = 2
}

/**
 * Returns the expected lateness of a job. A started job counts as on time until its answer would be too late: estimates are rough,
 * and the work of its first tasks would otherwise be wasted.
 */
export function latenessOf (key: OrderKey, nowMs: number): Lateness {
  const endMs = nowMs + key.remainingMs
  if (endMs > key.usefulUntilMs) return Lateness.TooLate
  return key.hasStarted || endMs <= key.dueAtMs ? Lateness.OnTime : Lateness.Late
}

/**
 * Compares two jobs; negative when the left one goes first. Jobs that can meet their latency objective precede those that can't.
 * They are ordered by latest start, with a head start for urgent ones: a job of lower priority goes first only when it would miss
 * its objective otherwise and the more urgent one can wait. Late jobs are ordered by priority, then shortest first, which serves
 * the most callers.
 */
export function compareJobs (left: OrderKey, right: OrderKey, nowMs: number): number {
  const lateness = latenessOf(left, nowMs)
  const difference = lateness - latenessOf(right, nowMs)
  if (difference !== 0) return difference
  if (lateness !== Lateness.OnTime) return left.priority - right.priority || left.remainingMs - right.remainingMs
  return latestStartOf(left) - latestStartOf(right)
}

/** Number of priorities; queues have 0 to 255. */
const PRIORITY_COUNT = 256

/** Returns the rank of a job among those of all entries; 0 goes first. Jobs of equal rank are ordered by latest start. */
export function rankOf (key: OrderKey, nowMs: number): number {
  const lateness = latenessOf(key, nowMs)
  return lateness === Lateness.OnTime ? 0 : lateness * PRIORITY_COUNT + Math.min(key.priority, PRIORITY_COUNT - 1)
}

/** Head start of a job over one of the next lower priority: the part of the latency objective that does not depend on the work. */
const PRIORITY_HEAD_START_MS = 60

/** Returns the time by which the waiting tasks must start for the job to meet its objective, shifted later by the head start of more urgent priorities. */
export function latestStartOf (key: OrderKey): number {
  return key.dueAtMs - key.remainingMs + key.priority * PRIORITY_HEAD_START_MS
}
