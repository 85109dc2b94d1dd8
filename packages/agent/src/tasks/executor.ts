/** Accepts tasks, runs as many concurrently as the backend server has slots, and reports their outcomes. */
import type * as ownership from '@egretvalve/ownership'
import * as protocol from '@egretvalve/protocol'
import type * as settings from '@egretvalve/settings'
import type { Announcer } from '../announcement/announcer.ts'
import type { EntryLink } from '../links/entryLink.ts'
import { CreditLedger } from '../queue/credits.ts'
import { ProtectedSlots } from '../queue/protectedSlots.ts'
import { isDeclaredLong, isRunningLong, type Occupant, computeFreeCapacity, slotsOf } from '../queue/slots.ts'
import { type QueuedTask, TaskQueue } from '../queue/taskQueue.ts'
import { BackendClient } from './backendClient.ts'

const { wire } = protocol

interface RunningTask extends Occupant {
  queued: QueuedTask
  abort: AbortController
}

/** Dependencies and limits of an executor. */
export interface ExecutorOptions {
  timers: settings.Timers
  announcer: Announcer
  record: ownership.StartRecord
  queueDepth: number
  /** Returns the link to which a task's report is sent. */
  resolveLink: (queued: QueuedTask) => EntryLink
}

/** Runs the tasks of one agent. */
export class Executor {
  private readonly queue = new TaskQueue()
  private readonly running = new Set<RunningTask>()
  private readonly protectedSlots = new ProtectedSlots()
  private readonly credits: CreditLedger<EntryLink>
  private usedSlots = 0
  private client: BackendClient | undefined
  private isDraining = false
  private onIdle: (() => void) | undefined

  constructor (private readonly options: ExecutorOptions) {
    this.credits = new CreditLedger({
      timers: options.timers,
      onChange: link => { link.scheduleFlush() },
      onExpiry: () => { this.startNext() }
    })
  }

  get runningCount (): number {
    return this.running.size
  }

  get queuedCount (): number {
    return this.queue.size
  }

  get draining (): boolean {
    return this.isDraining
  }

  /** Slots of the announced backend server; 0 before the first announcement. */
  get slots (): number {
    return this.options.announcer.current?.slots ?? 0
  }

  /** Creates the occupancy part of the load report for one entry. */
  createLoad (link: EntryLink, total: protocol.wire.ICapacity): protocol.wire.ILoadReport {
    const nowMs = this.options.timers.nowMs()
    const freeSlots = this.unreservedSlots()
    const jobs = [...this.running, ...this.queue.all].map(each => each.job)
    return {
      freeSlots,
      queued: this.queue.size,
      running: this.running.size,
      runningLong: this.countRunningLong(nowMs),
      credits: this.credits.creditsOf(link),
      free: computeFreeCapacity(total, jobs),
      freeLongSlots: Math.max(0, this.freeLongSlots(nowMs))
    }
  }

  /** Applies the urgency that an entry reported for its waiting work. */
  setUrgency (link: EntryLink, urgency: protocol.wire.Urgency): void {
    this.credits.setUrgency(link, urgency)
    this.startNext()
  }

  /** Releases credits that an entry returned unused. */
  returnCredits (link: EntryLink, count: number): void {
    this.credits.release(link, count)
    this.startNext()
  }

  /** Removes the claim and the credits of an entry whose link has closed. */
  removeLink (link: EntryLink): void {
    this.credits.remove(link)
    this.startNext()
  }

  /** Accepts or refuses each task of a start message. Throws a StepError if the message has no submission key. */
  accept (job: protocol.wire.IJobStart, origin: EntryLink): void {
    if (job.key == null) throw new protocol.StepError(protocol.ErrorCode.InvalidInput, 'link.start', origin.address, 'start message has no submission key')
    this.credits.consume(origin, (job.tasks ?? []).length * slotsOf(job))
    for (const task of job.tasks ?? []) this.acceptTask({ job, task, reportLink: origin })
    this.startNext()
  }

  /** Cancels the tasks of a submission: queued ones do not run, running ones are aborted. */
  cancel (key: protocol.wire.ISubmissionKey): void {
    const keyText = protocol.submissionKeyText(key)
    const matches = (queued: QueuedTask): boolean => protocol.submissionKeyText(queued.job.key!) === keyText
    for (const queued of this.queue.remove(matches)) this.refuse(queued, wire.RefusalReason.REFUSAL_REASON_CANCELLED)
    for (const running of this.running) {
      if (matches(running.queued)) running.abort.abort()
    }
  }

  /** Redirects the reports of queued and running tasks of some partitions to their new owner. */
  redirect (partitions: ReadonlySet<number>, link: EntryLink): void {
    for (const queued of this.queue.all) redirectTask(queued, partitions, link)
    for (const running of this.running) redirectTask(running.queued, partitions, link)
  }

  /** Refuses new tasks, resolves when all accepted ones have ended, and closes the connections to the backend server. */
  async drain (): Promise<void> {
    this.isDraining = true
    if (this.running.size + this.queue.size > 0) await new Promise<void>(resolve => { this.onIdle = resolve })
    await this.client?.close()
  }

  private acceptTask (queued: QueuedTask): void {
    const admitted = this.options.record.admit(queued.job, queued.task)
    if (admitted.err) {
      this.report(queued, createRecordedReport(queued, admitted.val))
      return
    }
    const refusal = this.findRefusal(queued)
    if (refusal === wire.RefusalReason.REFUSAL_REASON_NONE) this.queue.push(queued)
    else this.refuse(queued, refusal)
  }

  private findRefusal (queued: QueuedTask): protocol.wire.RefusalReason {
    if (this.isDraining) return wire.RefusalReason.REFUSAL_REASON_DRAINING
    if (!this.options.announcer.acceptsTasks) return wire.RefusalReason.REFUSAL_REASON_NO_BACKEND
    if (this.hasPassedDeadline(queued)) return wire.RefusalReason.REFUSAL_REASON_DEADLINE_PASSED
    if (this.committedSlots(queued) + slotsOf(queued.job) > this.slots + this.options.queueDepth) return wire.RefusalReason.REFUSAL_REASON_QUEUE_FULL
    return wire.RefusalReason.REFUSAL_REASON_NONE
  }

  private hasPassedDeadline (queued: QueuedTask): boolean {
    const deadlineAtMs = queued.job.deadlineAtMs ?? 0
    return deadlineAtMs > 0 && this.options.timers.wallClockMs() > deadlineAtMs
  }

  /** Dispatch pass: starts the queued tasks that may start, then grants the remaining slots as credits to entries with waiting work. */
  private startNext (): void {
    for (let queued = this.shiftStartable(); queued !== undefined; queued = this.shiftStartable()) {
      if (this.hasPassedDeadline(queued)) this.refuse(queued, wire.RefusalReason.REFUSAL_REASON_DEADLINE_PASSED)
      else this.run(queued)
    }
    if (!this.isDraining) this.credits.distribute(this.unreservedSlots(), link => link.isReportPending)
  }

  private shiftStartable (): QueuedTask | undefined {
    if (this.queue.size === 0) return undefined
    return this.queue.shift(queued => this.mayStart(queued))
  }

  /**
   * Returns true if enough slots are free. Ordinary tasks may not use slots reserved by outstanding credits, pressing ones may;
   * tasks declared long may not use the protected slots.
   */
  private mayStart (queued: QueuedTask): boolean {
    const slots = slotsOf(queued.job)
    if (this.usedSlots + this.reservedSlots(queued) + slots > this.slots) return false
    return !isDeclaredLong(queued.task) || this.freeLongSlots(this.options.timers.nowMs()) >= slots
  }

  private reservedSlots (queued: QueuedTask): number {
    const isPressing = queued.job.requestClass === wire.RequestClass.REQUEST_CLASS_PRESSING
    return isPressing ? 0 : this.credits.outstanding
  }

  private committedSlots (queued: QueuedTask): number {
    return this.usedSlots + this.queuedSlots() + this.reservedSlots(queued)
  }

  private unreservedSlots (): number {
    return Math.max(0, this.slots - this.usedSlots - this.queuedSlots() - this.credits.outstanding)
  }

  private queuedSlots (): number {
    let slots = 0
    for (const queued of this.queue.all) slots += slotsOf(queued.job)
    return slots
  }

  private countRunningLong (nowMs: number): number {
    let count = 0
    for (const running of this.running) count += isRunningLong(running, nowMs) ? slotsOf(running.job) : 0
    return count
  }

  private freeLongSlots (nowMs: number): number {
    return this.slots - this.protectedSlots.count(this.slots, nowMs) - this.countRunningLong(nowMs)
  }

  private async run (queued: QueuedTask): Promise<void> {
    const startedAtMs = this.options.timers.nowMs()
    const running = { queued, job: queued.job, task: queued.task, startedAtMs, abort: new AbortController() }
    this.running.add(running)
    this.usedSlots += slotsOf(queued.job)
    this.options.record.recordRunning({ key: queued.job.key!, index: queued.task.index ?? 0 })
    const outcome = await this.resolveClient().run(queued.job, queued.task, running.abort.signal)
    this.running.delete(running)
    this.usedSlots -= slotsOf(queued.job)
    const nowMs = this.options.timers.nowMs()
    const runMs = nowMs - startedAtMs
    this.protectedSlots.recordEnd(runMs, nowMs)
    this.finish(queued, { ...outcome, index: queued.task.index, attempt: queued.task.attempt, runMs })
    this.startNext()
  }

  private finish (queued: QueuedTask, report: protocol.wire.ITaskReport): void {
    this.options.record.recordEnd({ key: queued.job.key!, index: queued.task.index ?? 0 }, report)
    this.report(queued, report)
    this.notifyIfIdle()
  }

  private notifyIfIdle (): void {
    if (this.running.size + this.queue.size === 0) this.onIdle?.()
  }

  private refuse (queued: QueuedTask, refusal: protocol.wire.RefusalReason): void {
    this.options.record.recordNotRun(queued.job, queued.task, refusal)
    this.report(queued, createRefusal(queued.task, refusal))
    this.notifyIfIdle()
  }

  private report (queued: QueuedTask, report: protocol.wire.ITaskReport): void {
    this.options.resolveLink(queued).report(queued.job, report)
  }

  private resolveClient (): BackendClient {
    const { address, connections } = this.options.announcer.current!
    if (this.client?.address !== address) {
      this.client = new BackendClient(address, connections)
    }
    return this.client
  }
}

function createRefusal (task: protocol.wire.ITaskStart, refusal: protocol.wire.RefusalReason): protocol.wire.ITaskReport {
  return { index: task.index, attempt: task.attempt, state: wire.TaskState.TASK_STATE_NOT_RUN, refusal }
}

function redirectTask (queued: QueuedTask, partitions: ReadonlySet<number>, link: EntryLink): void {
  if (partitions.has(queued.job.partition ?? 0)) queued.reportLink = link
}

/** Creates the report of a task that was not admitted: the recorded report if an earlier start message delivered the task, otherwise a refusal. */
function createRecordedReport (queued: QueuedTask, refusal: ownership.Refusal): protocol.wire.ITaskReport {
  if (refusal.report === undefined) return createRefusal(queued.task, refusal.reason)
  return { ...refusal.report, attempt: queued.task.attempt }
}
