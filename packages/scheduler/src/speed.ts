/** Relative speed of the workers, from the run-time ratios that their agents report. */
import type * as settings from '@egretvalve/settings'
import * as workers from '@egretvalve/workers'

/** Bounds of the speed factor, so that a few unusual jobs neither exclude a worker nor attract all tasks to it. */
const MIN_FACTOR = 0.6
const MAX_FACTOR = 12
/**
 * Time for which a ratio counts, in milliseconds. Agents report it with changes of their load, so an idle worker does not take back the one
 * of a slow start. Kept for good, it would make an entry refuse every job, and without jobs no ratio would change.
 */
const RATIO_LIFETIME_MS = 5_000

interface ReportedRatio {
  ratio: number
  untilMs: number
}

/** Tracks the run-time ratios of the workers: run time over estimate. */
export class SpeedEstimate {
  private readonly ratios = new Map<string, ReportedRatio>()
  private median = 1
  /** Monotonic time until which the median holds unless a ratio changes, in milliseconds. It is computed when it is asked for, since reports come far more often than questions. */
  private medianUntilMs = Number.POSITIVE_INFINITY

  constructor (private readonly timers: Pick<settings.Timers, 'nowMs'>) {}

  /** Records a worker's run-time ratio; 0 and implausible ones count as unknown. */
  record (agentId: string, runTimeRatio: number): void {
    const known = this.ratios.get(agentId)
    if (!workers.isPlausibleRatio(runTimeRatio)) {
      this.remove(agentId)
      return
    }
    this.ratios.set(agentId, { ratio: runTimeRatio, untilMs: this.timers.nowMs() + RATIO_LIFETIME_MS })
    if (known?.ratio !== runTimeRatio) this.medianUntilMs = 0
  }

  /** Returns how many times longer tasks take on the worker than on a typical one; 1 when unknown. */
  factorOf (agentId: string): number {
    const known = this.ratios.get(agentId)
    if (known === undefined || known.untilMs < this.timers.nowMs()) return 1
    return Math.min(MAX_FACTOR, Math.max(MIN_FACTOR, known.ratio / this.medianRatio))
  }

  /** Returns the expected run time of a task on a typical worker, in milliseconds. */
  expectedMs (estimatedMs: number): number {
    return estimatedMs * this.medianRatio
  }

  /** Removes a worker, also when its agent restarts: the new incarnation may have a worker of another speed. */
  remove (agentId: string): void {
    if (this.ratios.delete(agentId)) this.medianUntilMs = 0
  }

  /** Ratio of the typical worker; 1 while none is known. */
  private get medianRatio (): number {
    const nowMs = this.timers.nowMs()
    if (nowMs < this.medianUntilMs) return this.median
    this.medianUntilMs = Number.POSITIVE_INFINITY
    for (const [agentId, { untilMs }] of this.ratios) {
      if (untilMs < nowMs) this.ratios.delete(agentId)
      else this.medianUntilMs = Math.min(this.medianUntilMs, untilMs)
    }
    const sorted = [...this.ratios.values()].map(({ ratio }) => ratio).sort((left, right) => left - right)
    this.median = sorted[Math.floor((sorted.length - 1) / 2)] ?? 1
    return this.median
  }
}
