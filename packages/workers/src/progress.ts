/** Detects runs that are stalled or far slower than estimated, from the percentages that the worker reports. */
import type { ActiveRun } from './runRegistry.ts'

/** A run is slow when it is projected to take this many times its estimate, and at least `SLOW_MARGIN_MS` longer. */
const SLOW_FACTOR = 1.6
const SLOW_MARGIN_MS = 60
/** A run is stalled when its percentage has not risen for this long, and for `STALL_PERCENT_INTERVALS` times the mean time per percent so far. */
const STALL_MIN_MS = 150
const STALL_PERCENT_INTERVALS = 4
/** Largest factor by which an estimate is off: the first percent may take this many times its share of the estimate. */
const MAX_ESTIMATE_ERROR = 3

/** Progress of a run as of the last answer that listed it. */
export interface Progress {
  elapsedMs: number
  /** From 0 to 100. */
  percent: number
  /** Time for which the run has been stalled, in milliseconds; 0 while its time per percent explains why the percentage has not risen. */
  stalledMs: number
}

export function measureProgress (run: Pick<ActiveRun, 'startedAtMs' | 'observedAtMs' | 'progressAtMs' | 'percent' | 'order'>): Progress {
  const elapsedMs = run.observedAtMs - run.startedAtMs
  const pauseMs = run.observedAtMs - run.progressAtMs
  const msPerPercent = run.percent > 0 ? (run.progressAtMs - run.startedAtMs) / run.percent : run.order.estimatedMs / 100 * MAX_ESTIMATE_ERROR
  const isStalled = pauseMs > Math.max(STALL_MIN_MS, msPerPercent * STALL_PERCENT_INTERVALS)
  return { elapsedMs, percent: run.percent, stalledMs: isStalled ? pauseMs : 0 }
}

/** Returns true for a run that is slow or stalled, which the agent reports to its entry. */
export function isSlow (run: Pick<ActiveRun, 'startedAtMs' | 'observedAtMs' | 'progressAtMs' | 'percent' | 'order'>): boolean {
  const { elapsedMs, percent, stalledMs } = measureProgress(run)
  if (stalledMs > 0) return true
  if (percent === 0) return false
  const projectedMs = elapsedMs * 100 / percent
  const { estimatedMs } = run.order
  return elapsedMs > SLOW_MARGIN_MS && projectedMs > estimatedMs * SLOW_FACTOR && projectedMs > estimatedMs + SLOW_MARGIN_MS
}
