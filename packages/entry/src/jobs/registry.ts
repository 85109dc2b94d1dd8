/** The jobs of this entry by key: joins resubmissions and keeps answers for the retention time. */
import * as protocol from '@egretvalve/protocol'
import type * as settings from '@egretvalve/settings'
import { events } from '../events.ts'
import { Job } from './job.ts'

/** Bounds of the registry. */
export interface RegistryOptions {
  timers: settings.Timers
  log: settings.Log
  retentionMs: number
  maxBytes: number
}

/** Estimated memory of one kept job beside its bodies, in bytes. */
const JOB_OVERHEAD_BYTES = 600
/** Estimated memory of one kept task beside its body, in bytes. */
const TASK_OVERHEAD_BYTES = 150

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
  private onIdle: (() => void) | undefined

  constructor (private readonly options: RegistryOptions) {}

  get running (): number {
    return this.runningCount
  }

  get size (): number {
    return this.jobs.size
  }

  /** Wall-clock time before which answers may have been dropped early; 0 when none was. */
  get forgottenBeforeMs (): number {
    return this.horizonMs
  }

  find (key: protocol.wire.ISubmissionKey): Job | undefined {
    return this.jobs.get(protocol.submissionKeyText(key))
  }

  /** Returns the running jobs. */
  listRunning (): Job[] {
    return [...this.jobs.values()].filter(job => job.answer === undefined)
  }

  /** Creates the job of a submission, or joins the one that runs or has ended. */
  join (submission: protocol.wire.ISubmission): JoinResult {
    const known = this.find(submission.key!)
    if (known !== undefined) return { kind: isSameWork(known.submission, submission) ? JoinKind.Joined : JoinKind.Conflict, job: known }
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
    const sizeBytes = estimateBytes(job)
    this.ended.push({ job, endedAtMs: this.options.timers.nowMs(), sizeBytes })
    this.endedBytes += sizeBytes
    this.noteEnd()
    if (this.endedBytes > this.options.maxBytes) this.evict()
  }

  /** Drops answers older than the retention time. */
  expire (): void {
    const oldestMs = this.options.timers.nowMs() - this.options.retentionMs
    while (this.ended.length > 0 && this.ended[0]!.endedAtMs <= oldestMs) this.dropOldest()
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
    let count = 0
    while (this.endedBytes > targetBytes && this.ended.length > 0) {
      this.dropOldest()
      count++
    }
    this.horizonMs = this.options.timers.wallClockMs() - (this.options.timers.nowMs() - (this.ended[0]?.endedAtMs ?? this.options.timers.nowMs()))
    this.options.log.event(events.RecordsEvicted, { count, forgottenBeforeMs: this.horizonMs })
  }

  private dropOldest (): void {
    const oldest = this.ended.shift()!
    this.endedBytes -= oldest.sizeBytes
    this.jobs.delete(oldest.job.keyText)
  }
}

function estimateBytes (job: Job): number {
  let sizeBytes = JOB_OVERHEAD_BYTES
  for (const task of job.answer?.tasks ?? []) sizeBytes += TASK_OVERHEAD_BYTES + (task.body?.length ?? 0)
  return sizeBytes
}

/** A resubmission must state the same work. */
function isSameWork (known: protocol.wire.ISubmission, submitted: protocol.wire.ISubmission): boolean {
  return known.service === submitted.service && known.tasks!.length === submitted.tasks!.length
}
