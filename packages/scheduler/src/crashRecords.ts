/** Crashes of workers by the tasks that ran on them, and which tasks are given up for them. */
import type * as settings from '@egretvalve/settings'
import * as workers from '@egretvalve/workers'

/** Age of a run up to which it is suspected of a crash, in milliseconds. What crashes a worker mostly does so soon after its start. */
const SUSPECT_AGE_MS = 250
/** Suspicions at which a task is given up if no other job was observed on the worker. */
const MIN_SUSPICIONS = 2
/** Suspicions at which a task is given up whatever else ran on the worker. */
const MAX_SUSPICIONS = 3
/** Crashes at which a task is given up at any age of its runs, so that one that crashes late ends too. */
const MAX_CRASHES = 4
/** The next run of a suspect is observed for this many times its age at the crash, and a constant. */
const OBSERVATION_AGE_FACTOR = 1.5
const OBSERVATION_MARGIN_MS = 40
/** Time for which a crash is remembered, in milliseconds. Covers the attempts of a caller that submits its job again. */
const RETENTION_MS = 60_000
/** Bound of the tasks and crashes that are remembered; the oldest are forgotten first. */
const MAX_TASKS = 10_000
const MAX_CRASH_IDS = 1_000

interface CrashRecord {
  /** Reports of crashes of workers that ran the task. */
  reports: number
  /** Workers that crashed while they ran the task: as many as were reported, or more if the entry that ordered a run knew of more. */
  crashes: number
  /** Reports of those that crashed soon after its start. */
  suspectReports: number
  /** Workers that crashed soon after its start: as many as were reported, or one more than a report of an observed run shows. */
  suspicions: number
  /** Age of the run at the last of these, in milliseconds. */
  suspectAgeMs: number
  atMs: number
  isGivenUp: boolean
}

const NO_RECORD: CrashRecord = { reports: 0, crashes: 0, suspectReports: 0, suspicions: 0, suspectAgeMs: 0, atMs: 0, isGivenUp: false }

/** Remembers crashes. Reports may come late, twice and from agents that know of earlier crashes. */
export class CrashRecords {
  /** By task key, the latest crash last. */
  private readonly records = new Map<string, CrashRecord>()
  /** Time of each crash by its id, oldest first. */
  private readonly crashIds = new Map<string, number>()

  constructor (private readonly timers: settings.Timers) {}

  /** Records a crash. Returns the runs whose tasks are given up from now on. */
  record (crash: workers.WorkerCrash): workers.LostRun[] {
    this.evict()
    if (this.crashIds.has(crash.crashId)) return []
    this.crashIds.set(crash.crashId, this.timers.nowMs())
    const observedJobs = new Set(crash.runs.filter(({ isObserved }) => isObserved).map(({ task }) => task.jobId))
    const givenUp: workers.LostRun[] = []
    for (const run of crash.runs) {
      const before = this.find(run.task)
      const record = this.count(run, before, observedJobs.size === 1)
      this.set(run.task, record)
      if (record.isGivenUp && !before.isGivenUp) givenUp.push(run)
    }
    return givenUp
  }

  /** Returns how many workers have crashed while they ran the task. */
  crashesOf (task: workers.TaskRef): number {
    return this.find(task).crashes
  }

  /** Returns for how long the next run of the task is observed, in milliseconds; 0 for a task that is not suspected of a crash. */
  observationMsOf (task: workers.TaskRef): number {
    const { suspicions, suspectAgeMs } = this.find(task)
    return suspicions === 0 ? 0 : suspectAgeMs * OBSERVATION_AGE_FACTOR + OBSERVATION_MARGIN_MS
  }

  /** True while no crash is remembered. */
  get isEmpty (): boolean {
    return this.records.size === 0
  }

  isGivenUp (task: workers.TaskRef): boolean {
    return this.find(task).isGivenUp
  }

  /** Forgets the crashes of a task that has ended well, and so did not cause them. */
  clear (task: workers.TaskRef): void {
    this.records.delete(workers.taskKey(task))
  }

  private find (task: workers.TaskRef): CrashRecord {
    return this.records.get(workers.taskKey(task)) ?? NO_RECORD
  }

  /** Adds a crash to a task's record. The entry that ordered the run may have known of earlier ones. */
  private count (run: workers.LostRun, before: CrashRecord, isOnlyObservedJob: boolean): CrashRecord {
    const isSuspect = run.runMs <= SUSPECT_AGE_MS
    const reports = before.reports + 1
    const crashes = Math.max(reports, before.crashes, run.earlierCrashes + 1)
    const suspectReports = before.suspectReports + (isSuspect ? 1 : 0)
    const suspicions = Math.max(suspectReports, before.suspicions, (run.isObserved ? 1 : 0) + (isSuspect ? 1 : 0))
    const isNamed = run.isObserved && isOnlyObservedJob && suspicions >= MIN_SUSPICIONS
    return {
      reports,
      crashes,
      suspectReports,
      suspicions,
      suspectAgeMs: isSuspect ? run.runMs : before.suspectAgeMs,
      atMs: this.timers.nowMs(),
      isGivenUp: before.isGivenUp || isNamed || suspicions >= MAX_SUSPICIONS || crashes >= MAX_CRASHES
    }
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
