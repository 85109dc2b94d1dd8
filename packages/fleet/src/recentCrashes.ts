/** Recent crashes of an agent's worker, for entries that link to the agent later. */
import type * as settings from '@egretvalve/settings'
import type * as workers from '@egretvalve/workers'
import { CRASH_RETENTION_MS, MAX_RETAINED_CRASHES } from './defaults.ts'

export class RecentCrashes {
  private crashes: Array<{ crash: workers.WorkerCrash, atMs: number }> = []

  constructor (private readonly timers: settings.Timers) {}

  add (crash: workers.WorkerCrash): void {
    this.crashes = [...this.crashes, { crash, atMs: this.timers.nowMs() }].slice(-MAX_RETAINED_CRASHES)
  }

  /** Returns the crashes of the retention time, oldest first. */
  recent (): workers.WorkerCrash[] {
    const limitMs = this.timers.nowMs() - CRASH_RETENTION_MS
    return this.crashes.filter(({ atMs }) => atMs > limitMs).map(({ crash }) => crash)
  }
}
