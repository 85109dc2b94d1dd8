/** Refuses jobs that can't end before their deadline, and tells callers when to come back. */
import type { SchedulerOptions } from './defaults.ts'

/** What is known at the arrival of a job. */
export interface ArrivalState {
  /** Work that goes before the job, in core-milliseconds. */
  workAhead: number
  /** Cores that this entry can count on. */
  cores: number
  /** Expected time of the job once it has room. */
  expectedMs: number
  /** How far the entry is behind its own work, in milliseconds. */
  lagMs: number
  /** Time until the caller leaves. */
  deadlineInMs: number
  /** Time by which the job must have started. */
  startLimitMs: number
}

/** Share of the caller's time after which a job that has not started is refused: more than half is left to the caller to try again. */
const WAIT_SHARE = 0.4
/** Estimates are often too low by this factor, and with them the time from which an answer is useless. */
const ESTIMATE_MARGIN = 1.3

/** Returns the time from the arrival by which a job must have started to be of use to its caller, in milliseconds. */
export function startLimitMs (deadlineMs: number, uselessInMs: number, expectedMs: number): number {
  return Math.max(0, Math.min(deadlineMs * WAIT_SHARE, uselessInMs * ESTIMATE_MARGIN - expectedMs))
}

/** Returns the expected wait for room, in milliseconds. */
export function expectedWaitMs (state: ArrivalState): number {
  return state.cores <= 0 ? Number.POSITIVE_INFINITY : state.workAhead / state.cores
}

/** Times that a job waits for its entry: to be placed, for its last end, and for its answer; and once before it was read. */
const ENTRY_PASSES = 4

/** Returns true when a job that arrives now is expected to start in useful time and to end before its caller leaves. */
export function canServe (state: ArrivalState): boolean {
  const waitMs = expectedWaitMs(state)
  return waitMs <= state.startLimitMs && waitMs + state.expectedMs + ENTRY_PASSES * state.lagMs <= state.deadlineInMs
}

/** Returns when a refused caller may come back: when the work ahead is done, spread so that callers don't return together. */
export function retryAfterMs (waitMs: number, random: number, options: Pick<SchedulerOptions, 'minRetryAfterMs' | 'maxRetryAfterMs'>): number {
  const spreadMs = waitMs * (0.5 + random)
  return Math.round(Math.min(options.maxRetryAfterMs, Math.max(options.minRetryAfterMs, spreadMs)))
}
