/** Assembles the history of each submission of a job from the log lines of entries and agents. */
import * as scheduler from '@egretvalve/scheduler'
import * as workers from '@egretvalve/workers'
import { type LogRecord, readNumber, readText } from './logLines.ts'

/** How a submission ended for its caller. */
export enum SubmissionEnd {
  Succeeded = 'succeeded',
  Failed = 'failed',
  Expired = 'expired',
  /** The caller disconnected. */
  Abandoned = 'abandoned',
  /** A caller cancelled the job; in logs of earlier versions also one whose caller disconnected. */
  Cancelled = 'cancelled',
  Refused = 'refused',
  /** The log holds no end: the entry was lost. */
  Unknown = 'unknown'
}

/** How an attempt to run a task ended. */
export enum AttemptEnd {
  Done = 'done',
  Failed = 'failed',
  Lost = 'lost',
  NotStarted = 'not-started',
  Unknown = 'unknown'
}

/** One order of a task to an agent. Times are in Unix milliseconds. */
export interface Attempt {
  agentId: string
  sentAtMs: number
  end: AttemptEnd
  endedAtMs: number
  reason: string
  /** Time from the arrival of the order to the worker's acknowledgement of the start. */
  startMs: number
  /** Time from the start to the end on the worker; 0 for an attempt that did not start. */
  runMs: number
}

/** A job as one entry received it. */
export interface Submission {
  jobId: string
  entryId: string
  acceptedAtMs: number
  service: string
  priority: number
  taskCount: number
  estimatedMs: number
  targetLatencyMs: number
  /** Time from the arrival by which the job should end, by its estimate. */
  objectiveMs: number
  deadlineMs: number
  /** Number of workers that accepted runs. */
  workers: number
  end: SubmissionEnd
  endReason: string
  endedAtMs: number
  /** Attempts of each task, in order, by step and index. */
  tasks: Map<string, Attempt[]>
  /** Number of tasks that were given up because workers crashed while they ran them. */
  givenUpTasks: number
  /** Number of runs that were stopped to be moved to another worker. */
  moves: number
}

/** Describes one placement: step, index, attempt number and agent. */
const PLACEMENT_PATTERN = /^(\d+\.\d+)#(\d+)@([^,]+)/

/** Collects submissions; add the records in order of time. */
class Collector {
  readonly submissions: Submission[] = []
  private readonly open = new Map<string, Submission>()

  add (record: LogRecord): void {
    const { JobAccepted, JobEnded, JobRefused, TasksPlaced, TaskNotCompleted, TaskMoved, TaskGivenUp } = scheduler.events
    switch (record.event) {
      case JobAccepted.code: return this.accept(record)
      case JobEnded.code: return this.end(record, readText(record, 'outcome') as SubmissionEnd)
      case JobRefused.code: return this.refuse(record)
      case TasksPlaced.code: return this.place(record)
      case TaskNotCompleted.code: return this.endAttempt(record)
      case TaskMoved.code: return this.move(record)
      case TaskGivenUp.code: return this.giveUp(record)
      case workers.events.RunEnded.code: return this.endRun(record)
      default:
    }
  }

  private accept (record: LogRecord): void {
    const submission = createSubmission(record)
    this.submissions.push(submission)
    this.open.set(submission.jobId, submission)
  }

  private end (record: LogRecord, end: SubmissionEnd): void {
    const submission = this.open.get(readText(record, 'jobId'))
    if (submission === undefined || submission.entryId !== record.nodeId) return
    submission.end = end
    submission.endReason = readText(record, 'reason')
    submission.endedAtMs = record.atMs
  }

  /** A job that is refused at its arrival has not been accepted before. */
  private refuse (record: LogRecord): void {
    const known = this.open.get(readText(record, 'jobId'))
    if (known?.entryId !== record.nodeId || known.end !== SubmissionEnd.Unknown) this.accept(record)
    this.end(record, SubmissionEnd.Refused)
  }

  private place (record: LogRecord): void {
    const submission = this.open.get(readText(record, 'jobId'))
    if (submission === undefined) return
    for (const text of readText(record, 'tasks').split(' ')) {
      const match = PLACEMENT_PATTERN.exec(text)
      if (match === null) continue
      const attempts = submission.tasks.get(match[1]!) ?? []
      attempts.push({ agentId: match[3]!, sentAtMs: record.atMs, end: AttemptEnd.Unknown, endedAtMs: record.atMs, reason: '', startMs: 0, runMs: 0 })
      submission.tasks.set(match[1]!, attempts)
    }
  }

  /** Ends that entries report: tasks that did not start, failed or were lost. */
  private endAttempt (record: LogRecord): void {
    const attempt = this.findAttempt(record, readText(record, 'agentId'))
    if (attempt === undefined) return
    attempt.end = readText(record, 'end') as AttemptEnd
    attempt.reason = readText(record, 'reason')
    attempt.endedAtMs = record.atMs
    attempt.runMs = readNumber(record, 'runMs')
  }

  /** Ends that agents report. */
  private endRun (record: LogRecord): void {
    const attempt = this.findAttempt(record, record.nodeId)
    if (attempt === undefined || attempt.end !== AttemptEnd.Unknown) return
    attempt.end = readText(record, 'end') as AttemptEnd
    attempt.reason = readText(record, 'reason')
    attempt.endedAtMs = record.atMs
    attempt.startMs = readNumber(record, 'waitedMs')
    attempt.runMs = readNumber(record, 'runMs')
  }

  private move (record: LogRecord): void {
    const submission = this.open.get(readText(record, 'jobId'))
    if (submission !== undefined) submission.moves++
  }

  /** Every entry that hears of the crash logs it; only the one that has the job counts. */
  private giveUp (record: LogRecord): void {
    const submission = this.open.get(readText(record, 'jobId'))
    if (submission?.entryId === record.nodeId) submission.givenUpTasks++
  }

  private findAttempt (record: LogRecord, agentId: string): Attempt | undefined {
    const attempts = this.open.get(readText(record, 'jobId'))?.tasks.get(`${readNumber(record, 'step')}.${readNumber(record, 'index')}`)
    return attempts?.filter(attempt => attempt.agentId === agentId).at(-1)
  }
}

function createSubmission (record: LogRecord): Submission {
  const ageMs = readNumber(record, 'ageMs')
  return {
    jobId: readText(record, 'jobId'),
    entryId: record.nodeId,
    acceptedAtMs: record.atMs - ageMs,
    service: readText(record, 'service'),
    priority: readNumber(record, 'priority'),
    taskCount: readNumber(record, 'tasks'),
    estimatedMs: readNumber(record, 'estimatedMs'),
    targetLatencyMs: readNumber(record, 'targetLatencyMs'),
    objectiveMs: readNumber(record, 'dueInMs'),
    deadlineMs: readNumber(record, 'deadlineMs'),
    workers: readNumber(record, 'workers'),
    end: SubmissionEnd.Unknown,
    endReason: '',
    endedAtMs: record.atMs,
    tasks: new Map(),
    givenUpTasks: 0,
    moves: 0
  }
}

/** Returns the submissions in order of their arrival. `records` are in order of time. */
export function collectSubmissions (records: readonly LogRecord[]): Submission[] {
  const collector = new Collector()
  for (const record of records) collector.add(record)
  return collector.submissions.sort((left, right) => left.acceptedAtMs - right.acceptedAtMs)
}
