/** Decides which jobs an entry still accepts during a planned stop. */

/** State of a planned stop when a job arrives. */
export interface StopState {
  /** Time since the stop was requested, in milliseconds. */
  sinceStopMs: number
  /** Time until jobs that still run are aborted, in milliseconds. */
  untilEndMs: number
  /** The caller's estimate of the job, in milliseconds. */
  estimatedMs: number
}

/** Time for which the balancer still sends new callers: until two failed readiness checks, a second apart, plus requests in flight. */
const BALANCER_DELAY_MS = 2_800
/** Most jobs end within this factor of their estimate. */
const TYPICAL_ESTIMATE_FACTOR = 1.5
/** Very few jobs take longer than this many times their estimate. */
const MAX_ESTIMATE_FACTOR = 10

/**
 * Returns true when a job may be accepted. Callers that the balancer still sends are served unless the job is likely to outlast
 * the stop. Later callers could have used another entry, so their jobs are accepted only when they are certain to end in time.
 */
export function canAcceptDuringStop ({ sinceStopMs, untilEndMs, estimatedMs }: StopState): boolean {
  const factor = sinceStopMs < BALANCER_DELAY_MS ? TYPICAL_ESTIMATE_FACTOR : MAX_ESTIMATE_FACTOR
  return estimatedMs * factor < untilEndMs
}
