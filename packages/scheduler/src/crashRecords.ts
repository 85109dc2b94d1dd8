/** Crashes of workers by the tasks that ran on them, and which tasks are given up for them. */
import type * as settings from '@egretvalve/settings'
import * as workers from '@egretvalve/workers'

/** Age of a run up to which it is suspected of a crash, in milliseconds. What crashes a worker mostly does so soon after its start. */
const SUSPECT_AGE_MS = 250
/** Weight of the suspicions at which a task is given up if no other job was observed on the worker. */
const MIN_SUSPICION_WEIGHT = 1.9
/** Suspicions at which a task is given up whatever else ran on the workers, and whatever other workers crashed, unless another task explains them. */
const MAX_SUSPICIONS = 3
/** Weight of the crashes at which a task is given up at any age of its runs, so that one that crashes late ends too. */
const MAX_CRASH_WEIGHT = 4
/** Weight of a crash that is part of a group, beside 1 for others. It says little about what ran on one of the workers. */
const GROUP_CRASH_WEIGHT = 0.5
/** Weight of a crash that one other crash of its moment or a younger run of another job may explain. A task is not given up for two such crashes alone. */
const DOUBTFUL_CRASH_WEIGHT = 0.9
/** Weight of the suspicions above which the next run of a task is observed. */
const UNOBSERVED_WEIGHT = GROUP_CRASH_WEIGHT
/** Crashes without the task at the same moment from which a crash is part of a group. */
const MIN_OTHER_CRASHES = 2
/** Least number of them as a multiple of the crashes that are expected within such a time, so that frequent single crashes make no group. */
const EXPECTED_CRASHES_FACTOR = 2
/** Time over which the expected number of crashes is taken, in milliseconds. */
const EXPECTED_CRASHES_PERIOD_MS = 10_000
/** Largest time between two crashes of one moment, in milliseconds. Agents detect a crash within 50 ms, and that of an unresponsive worker by its last answer. */
const MOMENT_MS = 100
const UNRESPONSIVE_MOMENT_MS = 300
/** Age from which the report of a crash is late, and the time in which the other late reports come, in milliseconds: agents send them on each new link. */
const LATE_REPORT_AGE_MS = 2_000
const LATE_REPORTS_MS = 1_000
/** Largest difference between the times that reports of crashes take, in milliseconds. */
const REPORT_JITTER_MS = 10
/** The next run of a suspect is observed for this many times its age at the crash, and a constant. */
const OBSERVATION_AGE_FACTOR = 1.5
const OBSERVATION_MARGIN_MS = 40
/** Time for which a crash is remembered, in milliseconds. Covers the attempts of a caller that submits its job again. */
const RETENTION_MS = 60_000
/** Bounds of the tasks, of the crashes of each task and of all crashes that are remembered; the oldest are forgotten first. */
const MAX_TASKS = 10_000
const MAX_CRASHES_PER_TASK = 16
const MAX_CRASHES = 1_000

/** A crash of any worker. */
interface Crash {
  report: workers.WorkerCrash
  heardAtMs: number
  /** Time at which the tasks that ran on the worker are judged, in milliseconds. */
  judgedAtMs: number
  isJudged: boolean
  /** Keys of the tasks that may have caused the crash: those that ran on the worker or were under way to it. */
  readonly tasks: ReadonlySet<string>
  /** Jobs with a task that was given up for this crash. */
  readonly guiltyJobs: Set<string>
}

/** A crash of a worker that ran the task. */
interface TaskCrash {
  crash: Crash
  run: workers.LostRun
  /** True when the run was observed and no run of another job was. */
  isOnlyObserved: boolean
  /** True when the run was observed beside a run of another job that had begun as late. */
  isDoubtful: boolean
}

interface TaskRecord {
  crashes: readonly TaskCrash[]
  isGivenUp: boolean
}

/** A crash after the judgement of the tasks that ran on the worker. */
export interface JudgedCrash {
  crash: workers.WorkerCrash
  /** Runs whose tasks are given up from now on. */
  givenUp: workers.LostRun[]
  /** True when more workers crashed at the moment than single tasks explain. */
  isPartOfGroup: boolean
}

const NO_RECORD: TaskRecord = { crashes: [], isGivenUp: false }

/**
 * Remembers crashes. Reports may come late, twice, in any order and from agents that know of earlier crashes. A crash is judged once the
 * reports of other crashes at its moment have come, and crashes are judged in the order in which they happened, so that entries which
 * hear of the same crashes reach the same verdicts.
 */
export class CrashRecords {
  /** By task key, the latest report last. */
  private readonly records = new Map<string, TaskRecord>()
  /** By id, the latest report last. */
  private readonly crashes = new Map<string, Crash>()

  constructor (private readonly timers: settings.Timers) {}

  /** Records a crash. Returns the time after which `judge` is due, in milliseconds, or undefined for a crash that is known. */
  record (report: workers.WorkerCrash): number | undefined {
    this.evict()
    if (this.crashes.has(report.crashId)) return undefined
    const nowMs = this.timers.nowMs()
    const waitMs = nowMs - report.crashedAtMs > LATE_REPORT_AGE_MS ? LATE_REPORTS_MS : momentMsOf(report)
    const tasks = new Set([...report.runs, ...report.unconfirmed ?? []].map(({ task }) => workers.taskKey(task)))
    const crash: Crash = { report, heardAtMs: nowMs, judgedAtMs: nowMs + waitMs, isJudged: false, tasks, guiltyJobs: new Set() }
    this.crashes.set(report.crashId, crash)
    const observedJobs = new Set(report.runs.filter(({ isObserved }) => isObserved).map(({ task }) => task.jobId))
    const youngJobs = new Set(report.runs.filter(isSuspect).map(({ task }) => task.jobId))
    for (const run of report.runs) {
      const before = this.find(run.task)
      const crashes = [...before.crashes, { crash, run, isOnlyObserved: run.isObserved && observedJobs.size === 1, isDoubtful: run.isObserved && youngJobs.size > 1 }]
      crashes.sort((left, right) => compareCrashes(left.crash, right.crash))
      this.set(run.task, { ...before, crashes: crashes.slice(-MAX_CRASHES_PER_TASK) })
    }
    return waitMs
  }

  /** Judges the crashes that are due, in the order in which they happened. */
  judge (): JudgedCrash[] {
    const dueMs = this.timers.nowMs() + REPORT_JITTER_MS
    const due = [...this.crashes.values()].filter(({ isJudged, judgedAtMs }) => !isJudged && judgedAtMs <= dueMs)
    return due.sort(compareCrashes).map(crash => {
      crash.isJudged = true
      const givenUp = crash.report.runs.filter(run => this.judgeRun(run))
      if (givenUp.length > 0) this.recordCauses()
      return { crash: crash.report, givenUp, isPartOfGroup: this.weightOf(crash, other => other === crash) === GROUP_CRASH_WEIGHT }
    })
  }

  /** Returns how many workers have crashed while they ran the task. */
  crashesOf (task: workers.TaskRef): number {
    return countCrashes(this.find(task).crashes)
  }

  /** Returns for how long the next run of the task is observed, in milliseconds; 0 for a task that is not suspected of a crash. */
  observationMsOf (task: workers.TaskRef): number {
    const suspicions = this.weigh(this.find(task).crashes).filter(({ run }) => isSuspect(run))
    if (sumWeights(suspicions) <= UNOBSERVED_WEIGHT) return 0
    return suspicions.at(-1)!.run.runMs * OBSERVATION_AGE_FACTOR + OBSERVATION_MARGIN_MS
  }

  /** True while no crash is remembered. */
  get isEmpty (): boolean {
    return this.records.size === 0
  }

  isGivenUp (task: workers.TaskRef): boolean {
    return this.find(task).isGivenUp
  }

  /** True while a task must not start because it may be given up once other crashes have been reported. */
  awaitsVerdict (task: workers.TaskRef): boolean {
    const { crashes } = this.find(task)
    return crashes.some(({ crash }) => !crash.isJudged) && isGuilty(crashes, crashes.map(each => ({ ...each, weight: 1 })))
  }

  /** Forgets the crashes of a task that has ended well, and so did not cause them. */
  clear (task: workers.TaskRef): void {
    this.records.delete(workers.taskKey(task))
  }

  private find (task: workers.TaskRef): TaskRecord {
    return this.records.get(workers.taskKey(task)) ?? NO_RECORD
  }

  /** Returns true when the task of a lost run is given up from now on. */
  private judgeRun (run: workers.LostRun): boolean {
    const record = this.find(run.task)
    const evidence = this.weigh(record.crashes)
    if (record.isGivenUp || !isGuilty(record.crashes, evidence)) return false
    this.set(run.task, { ...record, isGivenUp: true })
    return true
  }

  /**
   * Records which crashes the given-up tasks of each job caused: those in which all of them were suspects, as any one of them may be the cause.
   * Left out are tasks with more crashes that another job caused than others of their job have.
   */
  private recordCauses (): void {
    const tasksByJob = this.findGivenUpTasks()
    const causes = new Map([...tasksByJob].map(([jobId, tasks]) => [jobId, findCommon(tasks)]))
    for (const crash of this.crashes.values()) crash.guiltyJobs.clear()
    for (const [jobId, tasks] of tasksByJob) {
      const causedByOthers = new Set([...causes].flatMap(([otherId, crashes]) => otherId === jobId ? [] : crashes))
      const countOthers = (crashes: readonly Crash[]): number => crashes.filter(crash => causedByOthers.has(crash)).length
      const least = Math.min(...tasks.map(countOthers))
      for (const crash of findCommon(tasks.filter(crashes => countOthers(crashes) === least))) crash.guiltyJobs.add(jobId)
    }
  }

  /** Returns by job the crashes in which each of its given-up tasks was a suspect. */
  private findGivenUpTasks (): Map<string, Crash[][]> {
    const tasksByJob = new Map<string, Crash[][]>()
    for (const { crashes, isGivenUp } of this.records.values()) {
      if (!isGivenUp) continue
      const { jobId } = crashes[0]!.run.task
      tasksByJob.set(jobId, [...tasksByJob.get(jobId) ?? [], crashes.filter(({ run }) => isSuspect(run)).map(({ crash }) => crash)])
    }
    return tasksByJob
  }

  private weigh (crashes: readonly TaskCrash[]): Evidence[] {
    return crashes.map(each => {
      const key = workers.taskKey(each.run.task)
      const weight = Math.min(this.weightOf(each.crash, ({ tasks }) => tasks.has(key)), each.isDoubtful ? DOUBTFUL_CRASH_WEIGHT : 1)
      return { ...each, weight: isCausedByOther(each) ? 0 : weight }
    })
  }

  /** Returns the weight of a crash, by the crashes at its moment beyond the expected number that `isOwn` does not hold for. */
  private weightOf (crash: Crash, isOwn: (other: Crash) => boolean): number {
    const { crashedAtMs } = crash.report
    const momentMs = momentMsOf(crash.report)
    let others = 0
    let recent = 0
    for (const other of this.crashes.values()) {
      const sinceMs = crashedAtMs - other.report.crashedAtMs
      if (isSameMoment(crash, other) && !isOwn(other)) others++
      if (sinceMs < EXPECTED_CRASHES_PERIOD_MS && sinceMs >= -momentMs) recent++
    }
    const expected = recent * 2 * momentMs / EXPECTED_CRASHES_PERIOD_MS
    if (others === 0 || others < expected * EXPECTED_CRASHES_FACTOR) return 1
    return others >= MIN_OTHER_CRASHES ? GROUP_CRASH_WEIGHT : DOUBTFUL_CRASH_WEIGHT
  }

  private set (task: workers.TaskRef, record: TaskRecord): void {
    const key = workers.taskKey(task)
    this.records.delete(key)
    this.records.set(key, record)
  }

  private evict (): void {
    const limitMs = this.timers.nowMs() - RETENTION_MS
    for (const [key, { crashes }] of this.records) {
      if (crashes.some(({ crash }) => crash.heardAtMs > limitMs) && this.records.size <= MAX_TASKS) break
      this.records.delete(key)
    }
    for (const [crashId, { heardAtMs }] of this.crashes) {
      if (heardAtMs > limitMs && this.crashes.size <= MAX_CRASHES) break
      this.crashes.delete(crashId)
    }
  }
}

/** A crash that counts for a task, with its weight. */
interface Evidence extends TaskCrash {
  weight: number
}

function momentMsOf ({ kind }: workers.WorkerCrash): number {
  return kind === workers.CrashKind.Unresponsive ? UNRESPONSIVE_MOMENT_MS : MOMENT_MS
}

function isSameMoment ({ report: left }: Crash, { report: right }: Crash): boolean {
  return Math.abs(left.crashedAtMs - right.crashedAtMs) <= Math.max(momentMsOf(left), momentMsOf(right))
}

function compareCrashes ({ report: left }: Crash, { report: right }: Crash): number {
  return left.crashedAtMs - right.crashedAtMs || (left.crashId < right.crashId ? -1 : 1)
}

function isSuspect ({ runMs }: workers.LostRun): boolean {
  return runMs <= SUSPECT_AGE_MS
}

/** Returns the crashes that are in all of the lists. */
function findCommon ([first = [], ...others]: ReadonlyArray<readonly Crash[]>): Crash[] {
  return first.filter(crash => others.every(crashes => crashes.includes(crash)))
}

/** Returns true when a task of another job was given up for the crash. */
function isCausedByOther ({ crash: { guiltyJobs }, run }: TaskCrash): boolean {
  return guiltyJobs.size > 0 && !guiltyJobs.has(run.task.jobId)
}

function sumWeights (evidence: readonly Evidence[]): number {
  return evidence.reduce((sum, { weight }) => sum + weight, 0)
}

/** Returns the number of crashes of a task: as many as were reported, or more if the entry that ordered a run knew of more. */
function countCrashes (crashes: readonly TaskCrash[]): number {
  return crashes.reduce((count, { run }) => Math.max(count, run.earlierCrashes + 1), crashes.length)
}

/** Decides whether a task is given up for its crashes, of which those in `evidence` count. */
function isGuilty (crashes: readonly TaskCrash[], evidence: readonly Evidence[]): boolean {
  const unreported = countCrashes(crashes) - crashes.length
  if (sumWeights(evidence) + unreported >= MAX_CRASH_WEIGHT) return true
  const suspicions = evidence.filter(({ run }) => isSuspect(run))
  if (suspicions.filter(({ weight }) => weight > 0).length >= MAX_SUSPICIONS) return true
  return evidence.some(({ crash, run, weight, isOnlyObserved }) => {
    if (!isOnlyObserved) return false
    // An observed run shows an earlier suspicion, also where its report has not come.
    const isReported = crashes.some(other => other.crash !== crash && isSuspect(other.run))
    const earlierWeight = isReported ? sumWeights(suspicions.filter(other => other.crash !== crash)) : 1
    return earlierWeight + (isSuspect(run) ? weight : 0) >= MIN_SUSPICION_WEIGHT
  })
}
