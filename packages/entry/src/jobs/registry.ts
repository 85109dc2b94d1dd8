/** The jobs of this entry by key: joins resubmissions and keeps answers for the retention time. */
import * as protocol from '@egretvalve/protocol'
import type * as settings from '@egretvalve/settings'
import { events } from '../events.ts'
import { ForgottenIds } from './forgottenIds.ts'
import { Job } from './job.ts'

/** Bounds of the registry. */
export interface RegistryOptions {
  timers: settings.Timers
  log: settings.Log
  retentionMs: number
  maxBytes: number
}

/** Estimated memory of one kept job beside its encoded answer, in bytes. */
const JOB_OVERHEAD_BYTES = 2_000

interface EndedJob {
  job: Job
  endedAtMs: number
  sizeBytes: number
}

/** How a submission was taken in. */
export enum JoinKind {
  Created = 'created',
  Joined = 'joined',
  Conflict = 'conflict'
}

/** A job with the way in which a submission met it. */
export interface JoinResult {
  kind: JoinKind
  job: Job
}

/** Holds running jobs, and ended ones until they expire or memory is full. */
export class JobRegistry {
  private readonly jobs = new Map<string, Job>()
  private readonly ended: EndedJob[] = []
  private endedBytes = 0
  private runningCount = 0
  private horizonMs = 0
  private readonly forgottenIds: ForgottenIds
  private onIdle: (() => void) | undefined

  constructor (private readonly options: RegistryOptions) {
    this.forgottenIds = new ForgottenIds(options.timers, options.retentionMs)
  }

  get running (): number {
    return this.runningCount
  }

  get size (): number {
    return this.jobs.size
  }

  /** True when the submission is not known here and may have run before, because its answer was dropped early. */
  mayHaveForgotten (submission: protocol.wire.ISubmission): boolean {
    const submittedAtMs = submission.submittedAtMs ?? 0
    if (submittedAtMs === 0) return this.forgottenIds.mayHold(protocol.submissionKeyText(submission.key!))
    return this.horizonMs > 0 && submittedAtMs <= this.horizonMs + protocol.CLOCK_BOUND_MS
  }

  find (key: protocol.wire.ISubmissionKey): Job | undefined {
    return this.jobs.get(protocol.submissionKeyText(key))
  }

  /** Returns the running jobs. */
  listRunning (): Job[] {
    return [...this.jobs.values()].filter(job => !job.hasAnswer)
  }

  /** Creates the job of a submission, or joins the one that runs or has ended. */
  join (submission: protocol.wire.ISubmission): JoinResult {
    const known = this.find(submission.key!)
    if (known !== undefined) return { kind: isSameWork(known, submission) ? JoinKind.Joined : JoinKind.Conflict, job: known }
    const job = new Job(submission, this.options.timers.nowMs())
    this.jobs.set(job.keyText, job)
    this.runningCount++
    return { kind: JoinKind.Created, job }
  }

  /** Creates the job of a submission of which only an agent's record is known. */
  adopt (report: protocol.wire.IJobReport): Job {
    const tasks = Array.from({ length: report.taskCount ?? 0 }, () => ({}))
    const job = new Job({ key: report.key, tasks }, this.options.timers.nowMs())
    job.needsSubmission = true
    this.jobs.set(job.keyText, job)
    this.runningCount++
    return job
  }

  /** Removes a job of which nothing has started, or that another entry owns now. */
  discard (job: Job): void {
    if (!this.jobs.delete(job.keyText)) return
    this.noteEnd()
  }

  /** Keeps an ended job for the retention time. */
  retain (job: Job): void {
    const sizeBytes = JOB_OVERHEAD_BYTES + job.compact()
    this.ended.push({ job, endedAtMs: this.options.timers.nowMs(), sizeBytes })
    this.endedBytes += sizeBytes
    this.noteEnd()
    if (this.endedBytes > this.options.maxBytes) this.evict()
  }

  /** Drops answers older than the retention time. */
  expire (): void {
    const oldestMs = this.options.timers.nowMs() - this.options.retentionMs
    this.dropWhile(ended => ended.endedAtMs <= oldestMs)
  }

  /** Resolves when no job runs. */
  async waitUntilIdle (): Promise<void> {
    if (this.runningCount === 0) return
    await new Promise<void>(resolve => { this.onIdle = resolve })
  }

  private noteEnd (): void {
    this.runningCount--
    if (this.runningCount === 0) this.onIdle?.()
  }

  /** Drops the oldest answers until an eighth of the memory is free. */
  private evict (): void {
    const targetBytes = this.options.maxBytes * 7 / 8
    const dropped = this.dropWhile(() => this.endedBytes > targetBytes)
    for (const { job } of dropped) {
      if ((job.submission.submittedAtMs ?? 0) === 0) this.forgottenIds.add(job.keyText)
    }
    const { timers, log } = this.options
    const keptForMs = this.ended.length === 0 ? 0 : timers.nowMs() - this.ended[0]!.endedAtMs
    this.horizonMs = timers.wallClockMs() - keptForMs
    log.event(events.RecordsEvicted, { count: dropped.length, forgottenBeforeMs: this.horizonMs })
  }

  /** Removes and returns the oldest answers, as long as they match. */
  private dropWhile (matches: (ended: EndedJob) => boolean): EndedJob[] {
    let count = 0
    while (count < this.ended.length && matches(this.ended[count]!)) {
      const { job, sizeBytes } = this.ended[count]!
      this.endedBytes -= sizeBytes
      this.jobs.delete(job.keyText)
      count++
    }
    return count === 0 ? [] : this.ended.splice(0, count)
  }
}

/** A resubmission must state the same work. */
function isSameWork (known: Job, submitted: protocol.wire.ISubmission): boolean {
  return known.submission.service === submitted.service && known.taskCount === submitted.tasks!.length
}
