/** An agent's record of starts: admits each task at most once and answers fences with what it has started. */
import * as protocol from '@egretvalve/protocol'
import type * as settings from '@egretvalve/settings'
import * as results from 'ts-results'
import type { StartRecordSettings } from './startRecordDefaults.ts'
import { isFinal, ResultStore } from './resultStore.ts'

const { RefusalReason, TaskState } = protocol.wire

/** What the record knows about one task. */
interface TaskEntry {
  report: protocol.wire.ITaskReport
  /** Epoch at which the report's attempt was sent. */
  epoch: number
  /** Monotonic time from which the entry may be forgotten; undefined while the task is queued or runs. */
  forgetAtMs: number | undefined
}

interface JobEntry {
  key: protocol.wire.ISubmissionKey
  taskCount: number
  partition: number
  epoch: number
  tasks: Map<number, TaskEntry>
}

/** Epoch of an inquiry that names none: no later attempt counts as one of a later owner. */
const ANY_EPOCH = Number.MAX_SAFE_INTEGER

/** Why a task was not admitted, with what is known of it. */
export interface Refusal {
  reason: protocol.wire.RefusalReason
  /** Set when the task was admitted before. */
  report?: protocol.wire.ITaskReport
}

/** Identifies one task of a submission. */
export interface TaskIdentity {
  key: protocol.wire.ISubmissionKey
  index: number
}

/** The record of starts of one agent. */
export class StartRecord {
  private readonly jobs = new Map<string, JobEntry>()
  private readonly lowestEpochs = new Map<number, number>()
  private readonly kept: ResultStore
  private taskCount = 0

  constructor (private readonly options: StartRecordSettings, private readonly timers: settings.Timers) {
    this.kept = new ResultStore(options.maxResultBytes)
  }

  /** Number of tasks remembered. */
  get size (): number {
    return this.taskCount
  }

  /**
   * Admits a task of an owned submission, at most once. A refused attempt is remembered while its lease holds, so that a
   * copy of the same message can't be admitted later.
   */
  admit (job: protocol.wire.IJobStart, task: protocol.wire.ITaskStart): results.Result<void, Refusal> {
    const key = job.key ?? {}
    const known = this.find({ key, index: task.index ?? 0 })
    // A late copy of an admitted start must not be answered as not run, whatever has become of its lease.
    if (known !== undefined && !isRepeatableAttempt(known, job, task)) return results.Err({ reason: RefusalReason.REFUSAL_REASON_ALREADY_STARTED, report: this.withResult(key, known) })
    const reason = this.checkOwner(job)
    if (reason !== undefined) return results.Err({ reason })
    if (known === undefined && this.taskCount >= this.options.maxTasks) return results.Err({ reason: RefusalReason.REFUSAL_REASON_RECORD_FULL })
    this.put(job, { index: task.index, attempt: task.attempt, state: TaskState.TASK_STATE_QUEUED }, undefined)
    return results.Ok(undefined)
  }

  /** Notes that an attempt was refused or dropped before its start, for a reason that the record does not know. */
  noteNotRun (job: protocol.wire.IJobStart, task: protocol.wire.ITaskStart, refusal: protocol.wire.RefusalReason): void {
    const leaseRemainingMs = (job.leaseExpiresAtMs ?? 0) - this.timers.wallClockMs()
    const keptMs = Math.min(Math.max(0, leaseRemainingMs) + this.options.clockBoundMs, this.options.retentionMs)
    const forgetAtMs = this.timers.nowMs() + keptMs
    this.put(job, { index: task.index, attempt: task.attempt, state: TaskState.TASK_STATE_NOT_RUN, refusal }, forgetAtMs)
  }

  /** Notes that an admitted task runs now. */
  noteRunning (task: TaskIdentity): void {
    const entry = this.find(task)
    if (entry !== undefined) entry.report = { ...entry.report, state: TaskState.TASK_STATE_RUNNING }
  }

  /** Notes the end of a task with its result. */
  noteEnd (task: TaskIdentity, report: protocol.wire.ITaskReport): void {
    const entry = this.find(task)
    if (entry === undefined) return
    const { body, ...outcome } = report
    entry.report = { ...outcome, attempt: entry.report.attempt }
    entry.forgetAtMs = this.timers.nowMs() + this.options.retentionMs
    if (body != null && body.length > 0) this.kept.put(task.key, task.index, body)
  }

  /** Raises the lowest epochs accepted. */
  fence (partitions: readonly protocol.wire.IPartitionEpoch[]): void {
    for (const fenced of partitions) this.raise(fenced.partition ?? 0, fenced.epoch ?? 0)
  }

  /** Returns the remembered tasks of partitions in pages; at least one page. */
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
   * Answers what became of tasks that were sent before. An attempt that never arrived is noted as not run, so that it
   * can't be admitted any more.
   */
  inquire (asked: protocol.wire.IJobReport): protocol.wire.IJobReport {
    const tasks = (asked.tasks ?? []).map(task => this.inquireTask(asked, task))
    return { key: asked.key, taskCount: asked.taskCount, partition: asked.partition, epoch: asked.epoch, tasks }
  }

  /** Forgets what is older than the retention window. */
  sweep (): void {
    const nowMs = this.timers.nowMs()
    for (const [keyText, job] of this.jobs) {
      for (const [index, entry] of job.tasks) {
        if (entry.forgetAtMs === undefined || entry.forgetAtMs > nowMs) continue
        job.tasks.delete(index)
        this.kept.delete(job.key, index)
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
    this.raise(partition, epoch)
    return undefined
  }

  private raise (partition: number, epoch: number): void {
    if (epoch > (this.lowestEpochs.get(partition) ?? 0)) this.lowestEpochs.set(partition, epoch)
  }

  private find (task: TaskIdentity): TaskEntry | undefined {
    return this.jobs.get(protocol.submissionKeyText(task.key))?.tasks.get(task.index)
  }

  private put (job: protocol.wire.IJobReport, report: protocol.wire.ITaskReport, forgetAtMs: number | undefined): void {
    const key = job.key ?? {}
    const keyText = protocol.submissionKeyText(key)
    let entry = this.jobs.get(keyText)
    if (entry === undefined) {
      entry = { key, taskCount: job.taskCount ?? 0, partition: job.partition ?? 0, epoch: job.epoch ?? 0, tasks: new Map() }
      this.jobs.set(keyText, entry)
    }
    const index = report.index ?? 0
    if (!entry.tasks.has(index)) this.taskCount += 1
    entry.tasks.set(index, { report, epoch: job.epoch ?? 0, forgetAtMs })
  }

  private inquireTask (asked: protocol.wire.IJobReport, task: protocol.wire.ITaskReport): protocol.wire.ITaskReport {
    const identity = { key: asked.key ?? {}, index: task.index ?? 0 }
    const known = this.find(identity)
    if (known !== undefined && (known.report.attempt ?? 0) >= (task.attempt ?? 0)) return this.withResult(identity.key, known)
    const missing = { index: task.index, attempt: task.attempt, state: TaskState.TASK_STATE_NOT_RUN, refusal: RefusalReason.REFUSAL_REASON_NOT_RECEIVED }
    if (known === undefined || known.report.state === TaskState.TASK_STATE_NOT_RUN) this.put({ ...asked, epoch: asked.epoch || ANY_EPOCH }, missing, this.timers.nowMs() + this.options.retentionMs)
    return known === undefined || known.report.state === TaskState.TASK_STATE_NOT_RUN ? missing : this.withResult(identity.key, known)
  }

  private describe (job: JobEntry): protocol.wire.IJobReport {
    const tasks = [...job.tasks.values()].map(entry => this.withResult(job.key, entry))
    return { key: job.key, taskCount: job.taskCount, partition: job.partition, epoch: job.epoch, tasks }
  }

  /** A finished task whose result went at the memory bound is reported as ended with an unknown result. */
  private withResult (key: protocol.wire.ISubmissionKey, entry: TaskEntry): protocol.wire.ITaskReport {
    if (!isFinal(entry.report)) return { ...entry.report }
    const body = this.kept.get(key, entry.report.index ?? 0)
    if (body === undefined && this.kept.hasDropped(key, entry.report.index ?? 0)) return { ...entry.report, state: TaskState.TASK_STATE_UNKNOWN, error: 'the result is no longer kept' }
    return { ...entry.report, body }
  }
}

/**
 * A task that did not run may be sent again, but not by a copy of the same attempt. A later owner counts attempts anew. A
 * repeatable task may also be sent again once an attempt has ended.
 */
function isRepeatableAttempt (known: TaskEntry, job: protocol.wire.IJobStart, task: protocol.wire.ITaskStart): boolean {
  const isLater = (task.attempt ?? 0) > (known.report.attempt ?? 0) || (job.epoch ?? 0) > known.epoch
  if (!isLater) return false
  return known.report.state === TaskState.TASK_STATE_NOT_RUN || (job.repeatable === true && isFinal(known.report))
}
