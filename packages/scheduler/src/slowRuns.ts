/** Decides whether a slow run is stopped here and started again elsewhere. */
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
 * A run that stands still is moved. A run that goes on is moved only when its worker is slow: elsewhere a task with much
 * work would take as long, and begin anew.
 */
export function isWorthMoving (run: SlowRun, speedFactor: number, expectedMs: number, options: Pick<SchedulerOptions, 'stalledMs' | 'slowFactor' | 'moveGain'>): boolean {
  if (run.stalledMs > options.stalledMs) return true
  if (run.percent <= 0 || speedFactor < options.slowFactor) return false
  const wholeMs = run.elapsedMs * 100 / run.percent
  const elsewhereMs = Math.max(expectedMs, wholeMs / speedFactor)
  return wholeMs - run.elapsedMs > elsewhereMs * options.moveGain
}
