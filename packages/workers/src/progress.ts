/** Which runs are far slower than estimated, judged by the worker's own percentages. */
import type { HeldRun } from './runBook.ts'

/** A run counts as slow when it is expected to take this many times its estimate, and this much longer at least. */
const SLOW_FACTOR = 1.6
const SLOW_MARGIN_MS = 60
/** A run stands still when its percentage has not risen for this long, and for this many times what one percent took so far. */
const STILL_MS = 150
const STILL_STEPS = 4
/** Estimates are off by this factor at most, so a first percent may take this many times its share. */
const ESTIMATE_ERROR = 3

/** Progress of a run as of the last answer that listed it. */
export interface Progress {
  elapsedMs: number
  /** From 0 to 100. */
  percent: number
  /** Time for which the run stands still; 0 while its pace explains why the percentage has not risen. */
  stalledMs: number
}

/** Returns the progress of a run. */
export function measureProgress (run: Pick<HeldRun, 'startedAtMs' | 'observedAtMs' | 'progressAtMs' | 'percent' | 'order'>): Progress {
  const elapsedMs = run.observedAtMs - run.startedAtMs
  const pauseMs = run.observedAtMs - run.progressAtMs
  const percentMs = run.percent > 0 ? (run.progressAtMs - run.startedAtMs) / run.percent : run.order.estimatedMs / 100 * ESTIMATE_ERROR
  const isStill = pauseMs > Math.max(STILL_MS, percentMs * STILL_STEPS)
  return { elapsedMs, percent: run.percent, stalledMs: isStill ? pauseMs : 0 }
}

/** Returns true for a run that its entry should know of. */
export function isSlow (run: Pick<HeldRun, 'startedAtMs' | 'observedAtMs' | 'progressAtMs' | 'percent' | 'order'>): boolean {
  const { elapsedMs, percent, stalledMs } = measureProgress(run)
  if (stalledMs > 0) return true
  if (percent === 0) return false
  const wholeMs = elapsedMs * 100 / percent
  const { estimatedMs } = run.order
  return elapsedMs > SLOW_MARGIN_MS && wholeMs > estimatedMs * SLOW_FACTOR && wholeMs > estimatedMs + SLOW_MARGIN_MS
}
