/** Ids of jobs that callers have cancelled, so that none of them runs again. */
import type * as settings from '@egretvalve/settings'

/** Bound of the ids; the oldest are forgotten first. */
const MAX_IDS = 100_000

export class CancelledJobs {
  /** Time of the cancellation by job id, oldest first. */
  private readonly cancelledAtMs = new Map<string, number>()

  /** Ids are retained for `retentionMs` milliseconds. */
  constructor (private readonly timers: settings.Timers, private readonly retentionMs: number) {}

  add (jobId: string): void {
    this.evict()
    this.cancelledAtMs.delete(jobId)
    this.cancelledAtMs.set(jobId, this.timers.nowMs())
  }

  has (jobId: string): boolean {
    const atMs = this.cancelledAtMs.get(jobId)
    return atMs !== undefined && this.timers.nowMs() - atMs < this.retentionMs
  }

  private evict (): void {
    const limitMs = this.timers.nowMs() - this.retentionMs
    for (const [jobId, atMs] of this.cancelledAtMs) {
      if (atMs > limitMs && this.cancelledAtMs.size < MAX_IDS) return
      this.cancelledAtMs.delete(jobId)
    }
  }
}
