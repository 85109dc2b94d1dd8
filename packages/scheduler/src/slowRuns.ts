/** Decides whether a slow run is stopped and restarted on another worker. */
import type * as workers from '@egretvalve/workers'
import type { SchedulerOptions } from './defaults.ts'

/** A run that takes far longer than estimated. */
export interface SlowRun {
  ref: workers.TaskRef
  elapsedMs: number
  /** Share of the work that is done, from 0 to 100. */
  percent: number
  /** Time since the percentage last rose. */
  stalledMs: number
}

/**
 * Returns true when a run should be moved. A stalled run is always moved. One that makes progress is moved only when its worker
 * is slow: a task with much work would take as long on another worker, and start over. `speedFactor` is that of the worker,
 * `expectedMs` the expected run time on a typical one.
 */
export function isWorthMoving (run: SlowRun, speedFactor: number, expectedMs: number, options: Pick<SchedulerOptions, 'stalledMs' | 'slowFactor' | 'moveGain'>): boolean {
  if (run.stalledMs > options.stalledMs) return true
  if (run.percent <= 0 || speedFactor < options.slowFactor) return false
  const wholeMs = run.elapsedMs * 100 / run.percent
  const elsewhereMs = Math.max(expectedMs, wholeMs / speedFactor)
  return wholeMs - run.elapsedMs > elsewhereMs * options.moveGain
}
