/** Which jobs an entry still takes while it stops. */

/** How far a planned stop is when a job arrives. */
export interface StopState {
  /** Time since the stop was asked for, in milliseconds. */
  sinceStopMs: number
  /** Time until jobs that still run are given up. */
  untilEndMs: number
  /** The caller's estimate of the job. */
  estimatedMs: number
}

/** Time in which the balancer still sends new callers: two misses, a second apart, and what is on its way. */
const NOTICE_MS = 2_800
/** Most jobs end within this factor of their estimate. */
const USUAL_ESTIMATE_ERROR = 1.5
/** Hardly any job takes longer than this many times its estimate. */
const LARGEST_ESTIMATE_ERROR = 10

/**
 * Returns true when a job may be taken. Callers whom the balancer has just sent are served unless the job is likely to outlast
 * the stop. Later ones had time to go elsewhere, so a job is taken only when it is certain to end.
 */
export function canTakeDuringStop ({ sinceStopMs, untilEndMs, estimatedMs }: StopState): boolean {
  const factor = sinceStopMs < NOTICE_MS ? USUAL_ESTIMATE_ERROR : LARGEST_ESTIMATE_ERROR
  return estimatedMs * factor < untilEndMs
}
