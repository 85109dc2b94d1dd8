/**
 * Tasks with a start that was under way to a worker when it crashed. That is no evidence against them. Their next run is observed, and its
 * start follows at once on an answer of its worker, so that one which crashes its workers before they answer is known for it.
 */
import type * as settings from '@egretvalve/settings'
import * as workers from '@egretvalve/workers'

/** Time from its start for which the next run is observed, in milliseconds. */
const OBSERVATION_MS = 60
/** Time for which a task is remembered, in milliseconds. Covers the attempts of a caller that submits its job again. */
const RETENTION_MS = 60_000
/** Bound of the tasks that are remembered; the oldest are forgotten first. */
const MAX_TASKS = 10_000

export class UnconfirmedStarts {
  /** Time of the latest crash by task key, oldest first. */
  private readonly crashedAtMs = new Map<string, number>()

  constructor (private readonly timers: settings.Timers) {}

  record ({ unconfirmed = [] }: workers.WorkerCrash): void {
    this.evict()
    for (const { task } of unconfirmed) {
      this.clear(task)
      this.crashedAtMs.set(workers.taskKey(task), this.timers.nowMs())
    }
  }

  has (task: workers.TaskRef): boolean {
    return this.crashedAtMs.has(workers.taskKey(task))
  }

  /** Returns for how long the next run of the task is observed, in milliseconds; 0 for a task without such a start. */
  observationMsOf (task: workers.TaskRef): number {
    return this.has(task) ? OBSERVATION_MS : 0
  }

  get isEmpty (): boolean {
    return this.crashedAtMs.size === 0
  }

  /** Forgets a task that has ended well. */
  clear (task: workers.TaskRef): void {
    this.crashedAtMs.delete(workers.taskKey(task))
  }

  private evict (): void {
    const limitMs = this.timers.nowMs() - RETENTION_MS
    for (const [key, atMs] of this.crashedAtMs) {
      if (atMs > limitMs && this.crashedAtMs.size <= MAX_TASKS) break
      this.crashedAtMs.delete(key)
    }
  }
}
