/** Refuses jobs that cannot end before their deadline, and sets the time after which callers may retry. */
import type { SchedulerOptions } from './defaults.ts'

/** State of the entry and the job at the job's arrival. */
export interface ArrivalState {
  /** Queued work up to the job, its own included. */
  workAheadCoreMs: number
  /** Cores that this entry can expect to use. */
  cores: number
  /** Expected duration of the job once it has capacity. */
  expectedMs: number
  /** Event loop lag of the entry, in milliseconds. */
  lagMs: number
  /** Time until the caller's deadline. */
  deadlineInMs: number
  /** Time from the arrival to the latest useful start. */
  latestUsefulStartMs: number
}

/** Share of the caller's deadline after which a job that has not started is refused. More than half is left for a retry. */
export const MAX_WAIT_SHARE = 0.4
/** The same while the entry recovers. A retry after a refusal, a second later, would miss the latency objective of most jobs. */
export const RECOVERY_WAIT_SHARE = 0.7
/** Estimates are often too low by this factor, and so is the time until which an answer is useful, which derives from them. */
const ESTIMATE_ERROR_FACTOR = 1.3

/** Returns the time from the arrival to the latest start that is useful to the caller, in milliseconds. */
export function latestUsefulStartMs (deadlineMs: number, usefulForMs: number, expectedMs: number, maxWaitShare = MAX_WAIT_SHARE): number {
  return Math.max(0, Math.min(deadlineMs * maxWaitShare, usefulForMs * ESTIMATE_ERROR_FACTOR - expectedMs))
}

/** Returns true for a request that has waited so long before it was read that its job would be refused. */
export function hasWaitedTooLong (waitedMs: number, deadlineMs: number): boolean {
  return waitedMs > deadlineMs * MAX_WAIT_SHARE
}

/** Returns the time for which a request that arrives before the first configuration may wait for it, in milliseconds. */
export function firstConfigWaitMs (deadlineMs: number, waitedMs: number): number {
  return Math.max(0, deadlineMs * RECOVERY_WAIT_SHARE - waitedMs)
}

/** Returns the expected wait for capacity, in milliseconds; infinite without cores. */
export function expectedWaitMs (state: ArrivalState): number {
  return state.cores <= 0 ? Number.POSITIVE_INFINITY : state.workAheadCoreMs / state.cores
}

/** Number of times that the entry's lag delays a job: before it is read, when it is placed, when its last task ends and when it is answered. */
const ENTRY_DELAYS_PER_JOB = 4

/** Returns true when a job that arrives now is expected to start before the latest useful start and to end before its deadline. */
export function canServe (state: ArrivalState): boolean {
  const waitMs = expectedWaitMs(state)
  return waitMs <= state.latestUsefulStartMs && waitMs + state.expectedMs + ENTRY_DELAYS_PER_JOB * state.lagMs <= state.deadlineInMs
}

/**
 * Returns the time after which a refused caller may retry, in milliseconds: the expected wait with a jitter of 50 %, so that callers
 * don't retry together, within the bounds. `random` is a number from 0 to 1.
 */
export function retryAfterMs (waitMs: number, random: number, options: Pick<SchedulerOptions, 'minRetryAfterMs' | 'maxRetryAfterMs'>): number {
  const jitteredMs = waitMs * (0.5 + random)
  return Math.round(Math.min(options.maxRetryAfterMs, Math.max(options.minRetryAfterMs, jitteredMs)))
}
