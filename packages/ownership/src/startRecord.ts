/** An agent's start record: admits each task at most once and reports started tasks to a new owner. */
import * as protocol from '@egretvalve/protocol'
import type * as settings from '@egretvalve/settings'
import * as results from 'ts-results'
import type { StartRecordSettings } from './startRecordDefaults.ts'
import { isFinal, ResultStore } from './resultStore.ts'

const { RefusalReason, TaskState } = protocol.wire

interface TaskRecord {
  report: protocol.wire.ITaskReport
  /** Epoch of the owner that sent the reported attempt. */
  epoch: number
  /** Monotonic time from which the record may be evicted; undefined while the task is queued or runs. */
  evictAtMs: number | undefined
}

interface JobRecord {
  key: protocol.wire.ISubmissionKey
  taskCount: number
  partition: number
  epoch: number
  tasks: Map<number, TaskRecord>
}

/** Used for an inquiry without an epoch: no attempt then counts as one of a later owner. */
const ANY_EPOCH = Number.MAX_SAFE_INTEGER

/** Why a task was not admitted. */
export interface Refusal {
  reason: protocol.wire.RefusalReason
  /** Current state of the task, if it was admitted before. */
  report?: protocol.wire.ITaskReport
}

/** Identifies one task of a submission. */
export interface TaskIdentity {
  key: protocol.wire.ISubmissionKey
  index: number
}

/** The start record of one agent. */
export class StartRecord {
  private readonly jobs = new Map<string, JobRecord>()
  private readonly lowestEpochs = new Map<number, number>()
  private readonly storedResults: ResultStore
  private taskCount = 0

  constructor (private readonly options: StartRecordSettings, private readonly timers: settings.Timers) {
    this.storedResults = new ResultStore(options.maxResultBytes)
  }

  /** Number of recorded tasks. */
  get size (): number {
    return this.taskCount
  }

  /**
   * Admits a task of an owned submission, at most once. The caller records a refused attempt as not run; that record
   * outlasts the lease of the start, so a duplicate of the message can't be admitted later.
   */
  admit (job: protocol.wire.IJobStart, task: protocol.wire.ITaskStart): results.Result<void, Refusal> {
    const key = job.key ?? {}
    const known = this.find({ key, index: task.index ?? 0 })
    // Checked before the lease: a late duplicate of an admitted start must not be reported as not run, even if its lease has expired.
    if (known !== undefined && !isRepeatableAttempt(known, job, task)) return results.Err({ reason: RefusalReason.REFUSAL_REASON_ALREADY_STARTED, report: this.withResult(key, known) })
    const reason = this.checkOwner(job)
    if (reason !== undefined) return results.Err({ reason })
    if (known === undefined && this.taskCount >= this.options.maxTasks) return results.Err({ reason: RefusalReason.REFUSAL_REASON_RECORD_FULL })
    this.put(job, { index: task.index, attempt: task.attempt, state: TaskState.TASK_STATE_QUEUED }, undefined)
    return results.Ok(undefined)
  }

  /** Records that an attempt was refused or dropped before its start. The record is retained until the lease of the start has expired by any clock, for `retentionMs` at most. */
  recordNotRun (job: protocol.wire.IJobStart, task: protocol.wire.ITaskStart, refusal: protocol.wire.RefusalReason): void {
    const leaseRemainingMs = (job.leaseExpiresAtMs ?? 0) - this.timers.wallClockMs()
    const retainedMs = Math.min(Math.max(0, leaseRemainingMs) + this.options.clockBoundMs, this.options.retentionMs)
    const evictAtMs = this.timers.nowMs() + retainedMs
    this.put(job, { index: task.index, attempt: task.attempt, state: TaskState.TASK_STATE_NOT_RUN, refusal }, evictAtMs)
  }

  /** Records that an admitted task is running. */
  recordRunning (task: TaskIdentity): void {
    const known = this.find(task)
    if (known !== undefined) known.report = { ...known.report, state: TaskState.TASK_STATE_RUNNING }
  }

  /** Records the end of a task and its result. */
  recordEnd (task: TaskIdentity, report: protocol.wire.ITaskReport): void {
    const known = this.find(task)
    if (known === undefined) return
    const { body, ...outcome } = report
    known.report = { ...outcome, attempt: known.report.attempt }
    known.evictAtMs = this.timers.nowMs() + this.options.retentionMs
    if (body != null && body.length > 0) this.storedResults.put(task.key, task.index, body)
  }

  /** Raises the lowest accepted epoch of each partition. */
  fence (partitions: readonly protocol.wire.IPartitionEpoch[]): void {
    for (const fenced of partitions) this.raiseLowestEpoch(fenced.partition ?? 0, fenced.epoch ?? 0)
  }

  /** Returns the recorded tasks of partitions in pages; at least one page. */
  gather (partitions: readonly number[]): protocol.wire.IJobReport[][] {
    const wanted = new Set(partitions)
    const pages: protocol.wire.IJobReport[][] = [[]]
    let tasksOnPage = 0
    for (const job of this.jobs.values()) {
      if (!wanted.has(job.partition)) continue
      if (tasksOnPage > 0 && tasksOnPage + job.tasks.size > this.options.pageTasks) {
        pages.push([])
        tasksOnPage = 0
      }
      pages[pages.length - 1]?.push(this.describe(job))
      tasksOnPage += job.tasks.size
    }
    return pages
  }

  /**
   * Returns the state of tasks that were sent before. An attempt that has not arrived is recorded as not run, so that it
   * can't be admitted later.
   */
  inquire (inquiry: protocol.wire.IJobReport): protocol.wire.IJobReport {
    const tasks = (inquiry.tasks ?? []).map(task => this.inquireTask(inquiry, task))
    return { key: inquiry.key, taskCount: inquiry.taskCount, partition: inquiry.partition, epoch: inquiry.epoch, tasks }
  }

  /** Evicts records whose retention time has passed. */
  sweep (): void {
    const nowMs = this.timers.nowMs()
    for (const [keyText, job] of this.jobs) {
      for (const [index, task] of job.tasks) {
        if (task.evictAtMs === undefined || task.evictAtMs > nowMs) continue
        job.tasks.delete(index)
        this.storedResults.delete(job.key, index)
        this.taskCount -= 1
      }
      if (job.tasks.size === 0) this.jobs.delete(keyText)
    }
  }

  private checkOwner (job: protocol.wire.IJobStart): protocol.wire.RefusalReason | undefined {
    if (job.owned === false) return undefined
    const partition = job.partition ?? 0
    const epoch = job.epoch ?? 0
    if (epoch < (this.lowestEpochs.get(partition) ?? 0)) return RefusalReason.REFUSAL_REASON_STALE_EPOCH
    if (this.timers.wallClockMs() >= (job.leaseExpiresAtMs ?? 0)) return RefusalReason.REFUSAL_REASON_LEASE_EXPIRED
    this.raiseLowestEpoch(partition, epoch)
    return undefined
  }

  private raiseLowestEpoch (partition: number, epoch: number): void {
    if (epoch > (this.lowestEpochs.get(partition) ?? 0)) this.lowestEpochs.set(partition, epoch)
  }

  private find (task: TaskIdentity): TaskRecord | undefined {
    return this.jobs.get(protocol.submissionKeyText(task.key))?.tasks.get(task.index)
  }

  private put (job: protocol.wire.IJobReport, report: protocol.wire.ITaskReport, evictAtMs: number | undefined): void {
    const key = job.key ?? {}
    const keyText = protocol.submissionKeyText(key)
    let jobRecord = this.jobs.get(keyText)
    if (jobRecord === undefined) {
      jobRecord = { key, taskCount: job.taskCount ?? 0, partition: job.partition ?? 0, epoch: job.epoch ?? 0, tasks: new Map() }
      this.jobs.set(keyText, jobRecord)
    }
    const index = report.index ?? 0
    if (!jobRecord.tasks.has(index)) this.taskCount += 1
    jobRecord.tasks.set(index, { report, epoch: job.epoch ?? 0, evictAtMs })
  }

  private inquireTask (inquiry: protocol.wire.IJobReport, task: protocol.wire.ITaskReport): protocol.wire.ITaskReport {
    const identity = { key: inquiry.key ?? {}, index: task.index ?? 0 }
    const known = this.find(identity)
    if (known !== undefined && (known.report.attempt ?? 0) >= (task.attempt ?? 0)) return this.withResult(identity.key, known)
    const missing = { index: task.index, attempt: task.attempt, state: TaskState.TASK_STATE_NOT_RUN, refusal: RefusalReason.REFUSAL_REASON_NOT_RECEIVED }
    if (known === undefined || known.report.state === TaskState.TASK_STATE_NOT_RUN) this.put({ ...inquiry, epoch: inquiry.epoch || ANY_EPOCH }, missing, this.timers.nowMs() + this.options.retentionMs)
    return known === undefined || known.report.state === TaskState.TASK_STATE_NOT_RUN ? missing : this.withResult(identity.key, known)
  }

  private describe (job: JobRecord): protocol.wire.IJobReport {
    const tasks = [...job.tasks.values()].map(task => this.withResult(job.key, task))
    return { key: job.key, taskCount: job.taskCount, partition: job.partition, epoch: job.epoch, tasks }
  }

  /** Adds the stored result. A task whose result was dropped because of the memory limit is reported with an unknown outcome. */
  private withResult (key: protocol.wire.ISubmissionKey, task: TaskRecord): protocol.wire.ITaskReport {
    if (!isFinal(task.report)) return { ...task.report }
    const body = this.storedResults.get(key, task.report.index ?? 0)
    if (body === undefined && this.storedResults.hasDropped(key, task.report.index ?? 0)) return { ...task.report, state: TaskState.TASK_STATE_UNKNOWN, error: 'the result is no longer kept' }
    return { ...task.report, body }
  }
}

/**
 * True when the message is a later attempt, not a duplicate, of a task that did not run, or of a repeatable task whose
 * attempt has ended. Attempts are numbered from the start again by a later owner, so a higher epoch also makes one later.
 */
function isRepeatableAttempt (known: TaskRecord, job: protocol.wire.IJobStart, task: protocol.wire.ITaskStart): boolean {
  const isLater = (task.attempt ?? 0) > (known.report.attempt ?? 0) || (job.epoch ?? 0) > known.epoch
  if (!isLater) return false
  return known.report.state === TaskState.TASK_STATE_NOT_RUN || (job.repeatable === true && isFinal(known.report))
}
