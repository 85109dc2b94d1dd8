/** Ratio of run time to estimate for the tasks on a worker. */
import type * as settings from '@egretvalve/settings'

/** Time for which the ratio of a job counts, in milliseconds. */
const WINDOW_MS = 4_000
/** Minimum number of jobs for an estimate: a single job with much more work than estimated says nothing about the worker. */
const MIN_JOBS = 3
/** Time for which a computed ratio is cached, in milliseconds. */
const CACHE_MS = 100
/** Lowest percentage from which the total time of a run is extrapolated. */
const MIN_PERCENT = 4
/** Bounds of a ratio that a rough estimate and a slow worker explain. Beyond them the estimate says nothing about the worker. */
const MIN_RATIO = 0.001
const MAX_RATIO = 1_000

/** Returns true for a ratio of run time to estimate that says something about the worker. */
export function isPlausibleRatio (ratio: number): boolean {
  return ratio >= MIN_RATIO && ratio <= MAX_RATIO
}

interface JobRatio {
  logRatio: number
  atMs: number
}

/** Median over jobs of run time over estimate. The error of an estimate is common to a job's tasks, so each job counts once. */
export class RunTimeRatioEstimate {
  private readonly jobs = new Map<string, JobRatio>()
  private computed = 0
  private computedAtMs = Number.NEGATIVE_INFINITY

  constructor (private readonly timers: settings.Timers) {}

  recordFinished (jobId: string, runMs: number, estimatedMs: number): void {
    this.record(jobId, runMs, estimatedMs)
  }

  /** Records a run in progress, extrapolated from its percentage. */
  recordRunning (jobId: string, elapsedMs: number, percent: number, estimatedMs: number): void {
    if (percent >= MIN_PERCENT) this.record(jobId, elapsedMs * 100 / percent, estimatedMs)
  }

  /** Ratio of run time to estimate, or 0 when there are too few jobs. */
  get value (): number {
    if (this.timers.nowMs() - this.computedAtMs > CACHE_MS) {
      this.computed = this.compute()
      this.computedAtMs = this.timers.nowMs()
    }
    return this.computed
  }

  private compute (): number {
    const limitMs = this.timers.nowMs() - WINDOW_MS
    for (const [jobId, { atMs }] of this.jobs) {
      if (atMs < limitMs) this.jobs.delete(jobId)
    }
    if (this.jobs.size < MIN_JOBS) return 0
    const ratios = [...this.jobs.values()].map(job => job.logRatio).sort((left, right) => left - right)
    return Math.exp(ratios[Math.floor(ratios.length / 2)]!)
  }

  private record (jobId: string, runMs: number, estimatedMs: number): void {
    const ratio = runMs / estimatedMs
    if (!isPlausibleRatio(ratio)) return
    this.jobs.delete(jobId)
    this.jobs.set(jobId, { logRatio: Math.log(ratio), atMs: this.timers.nowMs() })
  }
}
