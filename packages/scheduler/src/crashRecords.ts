/** Crashes of workers by the tasks that were aboard, and which tasks are given up for them. */
import type * as settings from '@egretvalve/settings'
import * as workers from '@egretvalve/workers'

/** Crashes after which a task is given up whatever else was aboard. */
const MAX_CRASHES = 3
/** Crashes after which a task is given up if it was the only one aboard that had met a crash before. */
const MIN_CRASHES = 2
/** Time for which a crash is remembered, in milliseconds. Covers the attempts of a caller that submits its job again. */
const RETENTION_MS = 60_000
/** Bound of the tasks and crashes that are remembered; the oldest are forgotten first. */
const MAX_TASKS = 10_000
const MAX_CRASH_IDS = 1_000

interface CrashRecord {
  crashes: number
  atMs: number
  isGivenUp: boolean
}

/** Remembers crashes. Reports may come late, twice and from agents that know of earlier crashes. */
export class CrashRecords {
  /** By task key, the latest crash last. */
  private readonly records = new Map<string, CrashRecord>()
  /** Time of each crash by its id, oldest first. */
  private readonly crashIds = new Map<string, number>()

  constructor (private readonly timers: settings.Timers) {}

  /** Records a crash. Returns the tasks that are given up from now on. */
  record (crash: workers.WorkerCrash): workers.TaskRef[] {
    this.evict()
    if (this.crashIds.has(crash.crashId)) return []
    this.crashIds.set(crash.crashId, this.timers.nowMs())
    const suspects = crash.runs.filter(run => this.earlierCrashes(run) > 0)
    const givenUp: workers.TaskRef[] = []
    for (const run of crash.runs) {
      const crashes = this.earlierCrashes(run) + 1
      const isGuilty = crashes >= MAX_CRASHES || (crashes >= MIN_CRASHES && suspects.length === 1)
      const wasGivenUp = this.isGivenUp(run.task)
      this.set(run.task, { crashes, atMs: this.timers.nowMs(), isGivenUp: isGuilty || wasGivenUp })
      if (isGuilty && !wasGivenUp) givenUp.push(run.task)
    }
    return givenUp
  }

  /** Returns how many workers have crashed while they ran the task. */
  crashesOf (task: workers.TaskRef): number {
    return this.records.get(workers.taskKey(task))?.crashes ?? 0
  }

  isGivenUp (task: workers.TaskRef): boolean {
    return this.records.get(workers.taskKey(task))?.isGivenUp === true
  }

  /** Forgets the crashes of a task that has ended well, and so did not cause them. */
  clear (task: workers.TaskRef): void {
    this.records.delete(workers.taskKey(task))
  }

  /** Crashes before this one, by the records here and by those of the entry that ordered the run. */
  private earlierCrashes (run: workers.LostRun): number {
    return Math.max(this.crashesOf(run.task), run.earlierCrashes)
  }

  private set (task: workers.TaskRef, record: CrashRecord): void {
    const key = workers.taskKey(task)
    this.records.delete(key)
    this.records.set(key, record)
  }

  private evict (): void {
    const limitMs = this.timers.nowMs() - RETENTION_MS
    for (const [key, { atMs }] of this.records) {
      if (atMs > limitMs && this.records.size <= MAX_TASKS) break
      this.records.delete(key)
    }
    for (const [crashId, atMs] of this.crashIds) {
      if (atMs > limitMs && this.crashIds.size <= MAX_CRASH_IDS) break
      this.crashIds.delete(crashId)
    }
  }
}
