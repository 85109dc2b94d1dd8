/** Sends waiting tasks to agents with free slots and takes their reports. */
import * as protocol from '@egretvalve/protocol'
import type * as settings from '@egretvalve/settings'
import type { Job } from '../jobs/job.ts'
import type { AgentSession } from '../links/agentSession.ts'
import type { StartGuard } from '../owners/router.ts'
import { findRefusal } from './admissionCheck.ts'
import { AgentFleet } from './agentFleet.ts'
import { RetryPolicy } from './retryPolicy.ts'
import { type Lane, ServiceQueue, type WaitingGroup } from './serviceQueue.ts'
import { createTaskGroups, declaredRunMs, type TaskGroup, type WaitingTask } from './taskGroup.ts'

const { wire } = protocol

/** Period in which deadlines and urgencies are looked at while nothing else happens, in milliseconds. */
const TICK_PERIOD_MS = 10
/** Period in which tasks of partitions without a grant are tried again, in milliseconds. */
const UNPARK_PERIOD_MS = 50
/** Most tasks of one job that are placed before the order of the queue is looked at again. */
const MAX_PLACED_TOGETHER = 64

/** What the dispatcher needs of its entry. */
export interface DispatcherOptions {
  timers: settings.Timers
  log: settings.Log
  failureDomain: string
  guard: StartGuard
  /** Weight of a team's share in force now. */
  weightOf: (team: string) => number
  /** Called when the last task of a job has ended. */
  onJobEnded: (job: Job) => void
}

/** Counts of starts since the entry began. */
export interface DispatchCounters {
  /** Starts that agents refused. */
  refusedStarts: number
}

/** Admits submissions and chooses an agent for each waiting task. */
export class Dispatcher {
  readonly counters: DispatchCounters = { refusedStarts: 0 }
  private readonly fleet: AgentFleet
  private readonly services = new Map<string, ServiceQueue>()
  private readonly waitingGroups = new Map<Job, WaitingGroup[]>()
  private readonly retries = new RetryPolicy()
  private readonly parked: TaskGroup[] = []
  private isPumpScheduled = false
  private readonly tick: settings.TimerHandle
  private readonly unparkTick: settings.TimerHandle

  constructor (private readonly options: DispatcherOptions) {
    this.fleet = new AgentFleet(options.failureDomain, options.timers, options.log)
    this.tick = options.timers.every(TICK_PERIOD_MS, () => { this.pump() })
    this.unparkTick = options.timers.every(UNPARK_PERIOD_MS, () => { this.unpark() })
  }

  get waitingCount (): number {
    let count = 0
    for (const group of this.parked) count += group.indexes.length
    for (const service of this.services.values()) count += service.taskCount
    return count
  }

  stop (): void {
    this.tick.cancel()
    this.unparkTick.cancel()
  }

  /** Returns true when an agent has announced the service. */
  knowsService (service: string): boolean {
    return this.fleet.knowsService(service)
  }

  addAgent (session: AgentSession): void {
    this.fleet.add(session)
    this.schedulePump()
  }

  removeAgent (session: AgentSession): void {
    this.fleet.remove(session)
  }

  /** Takes over the load that an agent has just reported. */
  receiveLoad (session: AgentSession): void {
    this.fleet.applyLoad(session)
    this.schedulePump()
  }

  /** Returns the refusal of a submission that can't run, or not in time; nothing of it has started. */
  findRefusal (submission: protocol.wire.ISubmission): protocol.wire.IAnswer | undefined {
    return findRefusal(submission, this.resolveService(submission.service ?? ''), this.fleet, this.options.timers.wallClockMs())
  }

  /** Queues all tasks of a job that have not ended. */
  enqueue (job: Job): void {
    const { short, long } = createTaskGroups(job)
    this.push(short)
    this.push(long)
    this.retries.noteFirstAttempts(short.indexes.length + long.indexes.length)
    this.schedulePump()
  }

  /** Takes one task's report. `agentId` names the agent that the task was sent to. */
  settle (task: WaitingTask, report: protocol.wire.ITaskReport, agentId: string): void {
    if (!isFinal(report) || task.job.isMoved) return
    if (report.state === wire.TaskState.TASK_STATE_NOT_RUN) this.counters.refusedStarts++
    this.fleet.noteOutcome(agentId, report)
    if (report.state === wire.TaskState.TASK_STATE_FINISHED) this.observeRun(task, report)
    const next = this.retries.resolveNextAttempt(task, report, agentId, this.options.timers.wallClockMs())
    if (next !== undefined) {
      this.push({ job: next.job, indexes: [next.index], attempt: next.attempt, excludedAgentIds: next.excludedAgentIds })
      this.schedulePump()
      return
    }
    this.end(task.job, report)
  }

  /** Takes the tasks of a job that wait out of the queues: another entry owns it now. */
  release (job: Job): void {
    const groups = this.waitingGroups.get(job) ?? []
    this.waitingGroups.delete(job)
    for (const group of groups) this.serviceOf(job).cancel(group)
  }

  /** Takes what an agent has recorded of a task that an earlier owner sent. */
  adopt (job: Job, report: protocol.wire.ITaskReport): void {
    if (isFinal(report)) this.end(job, report)
  }

  /** Cancels a job: what waits won't run, and each agent that has tasks of it gets one message. */
  cancel (job: Job): void {
    job.isCancelled = true
    const groups = this.waitingGroups.get(job) ?? []
    this.waitingGroups.delete(job)
    for (const session of this.fleet.connected) session.cancel(job)
    for (const group of groups) {
      this.serviceOf(job).cancel(group)
      this.refuse(group.payload, wire.RefusalReason.REFUSAL_REASON_CANCELLED)
    }
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

  private push (group: TaskGroup): void {
    const item = this.serviceOf(group.job).push(group, this.options.timers.wallClockMs())
    if (item === undefined) return
    const items = this.waitingGroups.get(group.job)
    if (items === undefined) this.waitingGroups.set(group.job, [item])
    else items.push(item)
  }

  private pump (): void {
    const nowWallMs = this.options.timers.wallClockMs()
    for (const service of this.services.values()) {
      if (service.taskCount > 0) this.pumpService(service, nowWallMs)
      this.updateUrgency(service, nowWallMs)
    }
    for (const session of this.fleet.connected) session.flushStarts()
  }

  private pumpService (service: ServiceQueue, nowWallMs: number): void {
    for (const expired of service.dropExpired(nowWallMs)) this.refuse(expired.payload, wire.RefusalReason.REFUSAL_REASON_DEADLINE_PASSED)
    const blocked = new Set<Lane>()
    for (let lane = service.nextLane(blocked, nowWallMs); lane !== undefined; lane = service.nextLane(blocked, nowWallMs)) {
      if (!this.placeHead(service, lane, nowWallMs)) blocked.add(lane)
    }
  }

  /** Places tasks of the lane's most urgent group, or returns false when none finds a slot. */
  private placeHead (service: ServiceQueue, lane: Lane, nowWallMs: number): boolean {
    const head = lane.queue.peek(nowWallMs)!
    const group = head.payload
    const grant = this.options.guard.checkStart(group.job.partition)
    if (grant === undefined) {
      this.park(lane, head)
      return true
    }
    const count = Math.min(head.taskCount, MAX_PLACED_TOGETHER)
    const request = { service: service.service, wanted: lane.wanted, isLong: lane.isLong, count, excludedAgentIds: group.excludedAgentIds }
    const placements = this.fleet.view.choose(request, this.options.timers.nowMs())
    let placed = 0
    for (const { agentId, count: sent } of placements) {
      const session = this.fleet.get(agentId)!
      for (let task = 0; task < sent; task++) {
        session.addStart({ job: group.job, index: group.indexes.pop()!, attempt: group.attempt, excludedAgentIds: group.excludedAgentIds }, grant)
      }
      placed += sent
    }
    lane.queue.take(head, placed, nowWallMs)
    lane.admission.noteStarted(placed * head.expectedRunMs, nowWallMs)
    return placed > 0
  }

  /**
   * Sets aside tasks whose partition this entry may not start now: it may be on its way to another entry, or its
   * lease be renewed soon. They wait, at most until their deadlines, without holding up other partitions.
   */
  private park (lane: Lane, item: WaitingGroup): void {
    lane.queue.cancel(item)
    this.parked.push(item.payload)
  }

  private unpark (): void {
    for (const group of this.parked.splice(0)) {
      if (!group.job.isMoved) this.push(group)
    }
    this.schedulePump()
  }

  private updateUrgency (service: ServiceQueue, nowWallMs: number): void {
    service.updateUrgency(nowWallMs)
    const { announced } = service.urgency
    if (service.taskCount > 0 || announced === wire.Urgency.URGENCY_IDLE) this.fleet.announceUrgency(service.service, announced, service.taskCount)
    if (service.taskCount === 0 && announced !== wire.Urgency.URGENCY_IDLE) this.fleet.returnCredits(service.service)
  }

  private observeRun (task: WaitingTask, report: protocol.wire.ITaskReport): void {
    this.serviceOf(task.job).runTimes.observe(declaredRunMs(task.job, task.index), report.runMs ?? 0)
  }

  private serviceOf (job: Job): ServiceQueue {
    return this.resolveService(job.submission.service ?? '')
  }

  private resolveService (name: string): ServiceQueue {
    let service = this.services.get(name)
    if (service === undefined) {
      service = new ServiceQueue(name, this.options.weightOf)
      this.services.set(name, service)
    }
    return service
  }

  private refuse (group: TaskGroup, refusal: protocol.wire.RefusalReason): void {
    for (const index of group.indexes.splice(0)) {
      this.end(group.job, { index, attempt: group.attempt, state: wire.TaskState.TASK_STATE_NOT_RUN, refusal })
    }
  }

  private end (job: Job, report: protocol.wire.ITaskReport): void {
    if (job.isMoved || !job.settle(report)) return
    this.waitingGroups.delete(job)
    this.options.onJobEnded(job)
  }
}

function isFinal (report: protocol.wire.ITaskReport): boolean {
  return report.state !== wire.TaskState.TASK_STATE_QUEUED && report.state !== wire.TaskState.TASK_STATE_RUNNING
}
