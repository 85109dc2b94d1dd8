/** Registry of this entry's jobs by key: joins resubmissions and retains answers for the retention time. */
import * as protocol from '@egretvalve/protocol'
import type * as settings from '@egretvalve/settings'
import { events } from '../events.ts'
import { EvictedIds } from './evictedIds.ts'
import { Job } from './job.ts'

/** Dependencies and limits of the registry. */
export interface RegistryOptions {
  timers: settings.Timers
  log: settings.Log
  retentionMs: number
  /** Memory limit for retained answers, in bytes. */
  maxBytes: number
}

/** Estimated memory of a retained job in addition to its encoded answer, in bytes. */
const JOB_OVERHEAD_BYTES = 2_000

interface EndedJob {
  job: Job
  endedAtMs: number
  sizeBytes: number
}

/** Outcome of `JobRegistry.join`. */
export enum JoinKind {
  Created = 'created',
  Joined = 'joined',
  Conflict = 'conflict'
}

/** The job of a submission and how the submission relates to it. */
export interface JoinResult {
  kind: JoinKind
  job: Job
}

/** Running jobs, and ended jobs until their answers expire or are evicted at the memory limit. */
export class JobRegistry {
  private readonly jobs = new Map<string, Job>()
  private readonly ended: EndedJob[] = []
  private endedBytes = 0
  private runningCount = 0
  private evictedBeforeMs = 0
  private readonly evictedIds: EvictedIds
  private onIdle: (() => void) | undefined

  constructor (private readonly options: RegistryOptions) {
    this.evictedIds = new EvictedIds(options.timers, options.retentionMs)
  }

  get running (): number {
    return this.runningCount
  }

  get size (): number {
    return this.jobs.size
  }

  /** Returns true if an unknown submission may have run before, because its answer may have been evicted before the retention time. */
  mayHaveEvicted (submission: protocol.wire.ISubmission): boolean {
    const submittedAtMs = submission.submittedAtMs ?? 0
    if (submittedAtMs === 0) return this.evictedIds.mayContain(protocol.submissionKeyText(submission.key!))
    return this.evictedBeforeMs > 0 && submittedAtMs <= this.evictedBeforeMs + protocol.MAX_CLOCK_SKEW_MS
  }

  find (key: protocol.wire.ISubmissionKey): Job | undefined {
    return this.jobs.get(protocol.submissionKeyText(key))
  }

  listRunning (): Job[] {
    return [...this.jobs.values()].filter(job => !job.hasAnswer)
  }

  /** Creates the job of a new submission, or joins a resubmission to its running or ended job. */
  join (submission: protocol.wire.ISubmission): JoinResult {
    const known = this.find(submission.key!)
    if (known !== undefined) return { kind: isSameWork(known, submission) ? JoinKind.Joined : JoinKind.Conflict, job: known }
    const job = new Job(submission, this.options.timers.nowMs())
    this.jobs.set(job.keyText, job)
    this.runningCount++
    return { kind: JoinKind.Created, job }
  }

  /** Creates a job from an agent's start record. The tasks' bodies are missing until the caller resubmits. */
  adopt (report: protocol.wire.IJobReport): Job {
    const tasks = Array.from({ length: report.taskCount ?? 0 }, () => ({}))
    const job = new Job({ key: report.key, tasks }, this.options.timers.nowMs())
    job.needsSubmission = true
    this.jobs.set(job.keyText, job)
    this.runningCount++
    return job
  }

  /** Removes a running job that another entry now owns. */
  discard (job: Job): void {
    if (!this.jobs.delete(job.keyText)) return
    this.recordEnd()
  }

  /** Retains an ended job's answer for the retention time, or until it is evicted at the memory limit. */
  retain (job: Job): void {
    const sizeBytes = JOB_OVERHEAD_BYTES + job.compact()
    this.ended.push({ job, endedAtMs: this.options.timers.nowMs(), sizeBytes })
    this.endedBytes += sizeBytes
    this.recordEnd()
    if (this.endedBytes > this.options.maxBytes) this.evict()
  }

  /** Removes answers older than the retention time. */
  expire (): void {
    const oldestMs = this.options.timers.nowMs() - this.options.retentionMs
    this.dropWhile(ended => ended.endedAtMs <= oldestMs)
  }

  /** Resolves once no job is running. */
  async waitUntilIdle (): Promise<void> {
    if (this.runningCount === 0) return
    await new Promise<void>(resolve => { this.onIdle = resolve })
  }

  private recordEnd (): void {
    this.runningCount--
    if (this.runningCount === 0) this.onIdle?.()
  }

  /** Evicts the oldest answers until an eighth of the memory limit is free. */
  private evict (): void {
    const targetBytes = this.options.maxBytes * 7 / 8
    const dropped = this.dropWhile(() => this.endedBytes > targetBytes)
    for (const { job } of dropped) {
      if ((job.submission.submittedAtMs ?? 0) === 0) this.evictedIds.add(job.keyText)
    }
    const { timers, log } = this.options
    const retainedForMs = this.ended.length === 0 ? 0 : timers.nowMs() - this.ended[0]!.endedAtMs
    this.evictedBeforeMs = timers.wallClockMs() - retainedForMs
    log.event(events.RecordsEvicted, { count: dropped.length, forgottenBeforeMs: this.evictedBeforeMs })
  }

  /** Removes answers from the oldest on while they match, and returns them. */
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

/** A resubmission must have the same service and number of tasks; other work under the same id is a conflict. */
function isSameWork (known: Job, submitted: protocol.wire.ISubmission): boolean {
  return known.submission.service === submitted.service && known.taskCount === submitted.tasks!.length
}
