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
 * Negative when the left job goes first. Jobs that can meet their objective go before those that can't, by the latest start
 * that meets it, with a head start for urgent ones: a job of lower priority goes first only when it would miss its objective
 * and the more urgent one can wait. Late jobs go by priority and shortest first, which serves the most callers.
 */
export function compareJobs (left: OrderKey, right: OrderKey, nowMs: number): number {
  const band = bandOf(left, nowMs)
  const bands = band - bandOf(right, nowMs)
  if (bands !== 0) return bands
  if (band !== Band.InTime) return left.priority - right.priority || left.remainingMs - right.remainingMs
  return latestStartOf(left) - latestStartOf(right)
}

/** Priorities that a queue may have: 0 up to, but not including, this. */
const PRIORITIES = 256

/** Returns the place of a job among those of other entries, before its latest start counts. 0 goes first. */
export function rankOf (key: OrderKey, nowMs: number): number {
  const band = bandOf(key, nowMs)
  return band === Band.InTime ? 0 : band * PRIORITIES + Math.min(key.priority, PRIORITIES - 1)
}

/** Head start of a job before one whose priority is the next lower, in milliseconds: the latency objective without work. */
const PRIORITY_HEAD_START_MS = 60

/** Returns the time at which the waiting tasks must start for the job to meet its objective, later by the head start of more urgent jobs. */
export function latestStartOf (key: OrderKey): number {
  return key.dueAtMs - key.remainingMs + key.priority * PRIORITY_HEAD_START_MS
}
