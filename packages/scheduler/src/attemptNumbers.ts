/** Attempt numbers of refused jobs, which are otherwise forgotten. */
import type * as settings from '@egretvalve/settings'
import type { Job } from './job.ts'

/** Time for which they are remembered, in milliseconds. Longer than agents retain the ends of attempts, which they may report again on a new link. */
const RETENTION_MS = 5_000

/** Remembers the last attempts of refused jobs, so that a resubmission counts on from them and an end that is reported again is not taken for that of a new attempt. */
export class AttemptNumbers {
  /** By job, oldest first. */
  private readonly refused = new Map<string, { lastAttempt: number, atMs: number }>()

  constructor (private readonly timers: settings.Timers) {}

  record ({ id, lastAttempt }: Job): void {
    this.evict()
    this.refused.delete(id)
    if (lastAttempt > 0) this.refused.set(id, { lastAttempt, atMs: this.timers.nowMs() })
  }

  /** Returns the last attempt of a refused job; 0 for another one. */
  lastOf (jobId: string): number {
    return this.refused.get(jobId)?.lastAttempt ?? 0
  }

  private evict (): void {
    const limitMs = this.timers.nowMs() - RETENTION_MS
    for (const [jobId, { atMs }] of this.refused) {
      if (atMs > limitMs) return
      this.refused.delete(jobId)
    }
  }
}
