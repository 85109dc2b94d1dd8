/** How long tasks take on a worker against their estimates. */
import type * as settings from '@egretvalve/settings'

/** Time for which a job says something about the worker, in milliseconds. */
const WINDOW_MS = 4_000
/** Fewest jobs from which the pace is judged: one job with much more work than estimated says nothing about the worker. */
const MIN_JOBS = 3
/** Time for which a computed pace is used again, in milliseconds. */
const CACHE_MS = 100
/** Lowest percentage from which the whole time of a run is predicted. */
const MIN_PERCENT = 4

interface JobPace {
  logRatio: number
  atMs: number
}

/** Median over jobs of run time against estimate. Estimates are off by job, so each job counts once. */
export class PaceEstimate {
  private readonly jobs = new Map<string, JobPace>()
  private computed = 0
  private computedAtMs = Number.NEGATIVE_INFINITY

  constructor (private readonly timers: settings.Timers) {}

  /** Takes a finished run. */
  noteFinished (jobId: string, runMs: number, estimatedMs: number): void {
    this.note(jobId, runMs, estimatedMs)
  }

  /** Takes a run that goes on, from its percentage. */
  noteRunning (jobId: string, elapsedMs: number, percent: number, estimatedMs: number): void {
    if (percent >= MIN_PERCENT) this.note(jobId, elapsedMs * 100 / percent, estimatedMs)
  }

  /** Returns the factor of run time over estimate, or 0 when too little is known. */
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

  private note (jobId: string, runMs: number, estimatedMs: number): void {
    if (estimatedMs <= 0 || runMs <= 0) return
    this.jobs.delete(jobId)
    this.jobs.set(jobId, { logRatio: Math.log(runMs / estimatedMs), atMs: this.timers.nowMs() })
  }
}
