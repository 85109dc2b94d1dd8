/** Sends waiting tasks to agents with free slots and takes their reports. */
import * as protocol from '@egretvalve/protocol'
import type * as settings from '@egretvalve/settings'
import type { Job } from '../jobs/job.ts'
import type { AgentSession } from '../links/agentSession.ts'
import type { StartGuard } from '../owners/router.ts'
import { WaitingTasks, type WaitingTask } from './waitingTasks.ts'

const { wire } = protocol

/** Refusals after which a task, which has not run, may go to another agent. */
const MOVABLE_REFUSALS = new Set<protocol.wire.RefusalReason>([
  wire.RefusalReason.REFUSAL_REASON_DRAINING,
  wire.RefusalReason.REFUSAL_REASON_QUEUE_FULL,
  wire.RefusalReason.REFUSAL_REASON_NO_BACKEND,
  wire.RefusalReason.REFUSAL_REASON_NOT_RECEIVED,
  wire.RefusalReason.REFUSAL_REASON_RECORD_FULL
])

const EXPIRY_PERIOD_MS = 20

/** What the dispatcher needs of its entry. */
export interface DispatcherOptions {
  timers: settings.Timers
  guard: StartGuard
  /** Called when the last task of a job has ended. */
  onJobEnded: (job: Job) => void
}

/** Chooses an agent for each waiting task. */
export class Dispatcher {
  private readonly sessions = new Set<AgentSession>()
  private readonly waiting = new WaitingTasks()
  private isPumpScheduled = false
  private readonly expiry: settings.TimerHandle

  constructor (private readonly options: DispatcherOptions) {
    this.expiry = options.timers.every(EXPIRY_PERIOD_MS, () => { this.dropExpired() })
  }

  get waitingCount (): number {
    return this.waiting.size
  }

  stop (): void {
    this.expiry.cancel()
  }

  /** Returns true when an agent has announced the service. */
  knowsService (service: string): boolean {
    for (const session of this.sessions) {
      if (session.service === service) return true
    }
    return false
  }

  addAgent (session: AgentSession): void {
    this.sessions.add(session)
    this.schedulePump()
  }

  removeAgent (session: AgentSession): void {
    this.sessions.delete(session)
  }

  /** Queues all tasks of a job that have not ended. */
  enqueue (job: Job): void {
    for (let index = 0; index < job.taskCount; index++) {
      if (!job.hasEnded(index)) this.waiting.push({ job, index, attempt: 0 })
    }
    this.schedulePump()
  }

  /** Takes one task's report. */
  settle (task: WaitingTask, report: protocol.wire.ITaskReport): void {
    if (!isFinal(report)) return
    if (this.canMove(task, report)) {
      this.waiting.push({ job: task.job, index: task.index, attempt: task.attempt + 1 })
      this.schedulePump()
      return
    }
    if (task.job.settle(report)) this.options.onJobEnded(task.job)
  }

  /** Cancels a job: what waits won't run, and each agent that has tasks of it gets one message. */
  cancel (job: Job): void {
    job.isCancelled = true
    for (const task of this.waiting.remove(waiting => waiting.job === job)) this.refuse(task, wire.RefusalReason.REFUSAL_REASON_CANCELLED)
    for (const session of this.sessions) session.cancel(job)
  }

  /** Sends waiting tasks soon, so that one batch takes what arrives together. */
  schedulePump (): void {
    if (this.isPumpScheduled) return
    this.isPumpScheduled = true
    setImmediate(() => {
      this.isPumpScheduled = false
      this.pump()
    })
  }

  private canMove (task: WaitingTask, report: protocol.wire.ITaskReport): boolean {
    if (task.job.isCancelled || report.state !== wire.TaskState.TASK_STATE_NOT_RUN) return false
    return MOVABLE_REFUSALS.has(report.refusal ?? wire.RefusalReason.REFUSAL_REASON_NONE)
  }

  private pump (): void {
    const nowWallMs = this.options.timers.wallClockMs()
    const blocked: WaitingTask[] = []
    for (let task = this.waiting.shift(); task !== undefined; task = this.waiting.shift()) {
      if (isExpired(task, nowWallMs)) {
        this.refuse(task, wire.RefusalReason.REFUSAL_REASON_DEADLINE_PASSED)
        continue
      }
      const session = this.choose(task)
      if (session === undefined) blocked.push(task)
      else this.start(session, task)
      if (blocked.length > 0 && !this.hasFreeSlots()) break
    }
    this.waiting.restore(blocked)
    for (const session of this.sessions) session.flushStarts()
  }

  private start (session: AgentSession, task: WaitingTask): void {
    const grant = this.options.guard.checkStart(task.job.partition)
    if (grant === undefined) this.refuse(task, wire.RefusalReason.REFUSAL_REASON_LEASE_EXPIRED)
    else session.addStart(task, grant)
  }

  private choose (task: WaitingTask): AgentSession | undefined {
    let best: AgentSession | undefined
    for (const session of this.sessions) {
      if (session.service !== task.job.submission.service || session.freeSlots <= 0) continue
      if (best === undefined || session.freeSlots > best.freeSlots) best = session
    }
    return best
  }

  private hasFreeSlots (): boolean {
    for (const session of this.sessions) {
      if (session.freeSlots > 0) return true
    }
    return false
  }

  private dropExpired (): void {
    const nowWallMs = this.options.timers.wallClockMs()
    for (const task of this.waiting.remove(waiting => isExpired(waiting, nowWallMs))) {
      this.refuse(task, wire.RefusalReason.REFUSAL_REASON_DEADLINE_PASSED)
    }
  }

  private refuse (task: WaitingTask, refusal: protocol.wire.RefusalReason): void {
    const report = { index: task.index, attempt: task.attempt, state: wire.TaskState.TASK_STATE_NOT_RUN, refusal }
    if (task.job.settle(report)) this.options.onJobEnded(task.job)
  }
}

function isExpired (task: WaitingTask, nowWallMs: number): boolean {
  const deadlineAtMs = task.job.submission.deadlineAtMs ?? 0
  return deadlineAtMs > 0 && nowWallMs > deadlineAtMs
}

function isFinal (report: protocol.wire.ITaskReport): boolean {
  return report.state !== wire.TaskState.TASK_STATE_QUEUED && report.state !== wire.TaskState.TASK_STATE_RUNNING
}
