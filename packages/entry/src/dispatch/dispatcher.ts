/** Sends waiting tasks to agents with free slots and handles the reports of their outcome. */
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

/** Period of the dispatch pass that checks deadlines and urgency when no other event triggers one, in milliseconds. */
const PASS_PERIOD_MS = 10
/** Period at which parked tasks are requeued, in milliseconds. */
const UNPARK_PERIOD_MS = 50
/** Maximum number of tasks of one job that are placed before the queue is consulted for the next job. */
const MAX_TASKS_PER_PLACEMENT = 64

/** Dependencies of the dispatcher. */
export interface DispatcherOptions {
  timers: settings.Timers
  log: settings.Log
  failureDomain: string
  guard: StartGuard
  /** Returns the weight currently in force for a team's share. */
  weightOf: (team: string) => number
  /** Called when the last task of a job has ended. */
  onJobEnded: (job: Job) => void
}

/** Counters since the dispatcher was created. */
export interface DispatchCounters {
  /** Task starts that agents refused. */
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
  private isPassScheduled = false
  private readonly passTimer: settings.TimerHandle
  private readonly unparkTimer: settings.TimerHandle

  constructor (private readonly options: DispatcherOptions) {
    this.fleet = new AgentFleet(options.failureDomain, options.timers, options.log)
    this.passTimer = options.timers.every(PASS_PERIOD_MS, () => { this.runPass() })
    this.unparkTimer = options.timers.every(UNPARK_PERIOD_MS, () => { this.unpark() })
  }

  get waitingCount (): number {
    let count = 0
    for (const group of this.parked) count += group.indexes.length
    for (const service of this.services.values()) count += service.taskCount
    return count
  }

  stop (): void {
    this.passTimer.cancel()
    this.unparkTimer.cancel()
  }

  /** Returns true if a connected agent has announced the service. */
  knowsService (service: string): boolean {
    return this.fleet.knowsService(service)
  }

  addAgent (session: AgentSession): void {
    this.fleet.add(session)
    this.schedulePass()
  }

  removeAgent (session: AgentSession): void {
    this.fleet.remove(session)
  }

  /** Applies a new load report and schedules a dispatch pass. */
  receiveLoad (session: AgentSession): void {
    this.fleet.applyLoad(session)
    this.schedulePass()
  }

  /** Returns a refusal if no server can run the submission or its deadline can't be met. */
  findRefusal (submission: protocol.wire.ISubmission): protocol.wire.IAnswer | undefined {
    return findRefusal(submission, this.resolveService(submission.service ?? ''), this.fleet, this.options.timers.wallClockMs())
  }

  /** Queues the tasks of a job that have neither ended nor been sent by an earlier owner. */
  enqueue (job: Job): void {
    const { short, long } = createTaskGroups(job)
    this.enqueueGroup(short)
    this.enqueueGroup(long)
    this.retries.recordFirstAttempts(short.indexes.length + long.indexes.length)
    this.schedulePass()
  }

  /** Handles the report of one task: queues another attempt or records the outcome. `agentId` is the agent that the task was sent to. */
  handleReport (task: WaitingTask, report: protocol.wire.ITaskReport, agentId: string): void {
    if (!isFinal(report) || task.job.isMoved) return
    if (report.state === wire.TaskState.TASK_STATE_NOT_RUN) this.counters.refusedStarts++
    this.fleet.recordOutcome(agentId, report)
    if (report.state === wire.TaskState.TASK_STATE_FINISHED) this.observeRun(task, report)
    const next = this.retries.resolveNextAttempt(task, report, agentId, this.options.timers.wallClockMs())
    if (next !== undefined) {
      this.enqueueGroup({ job: next.job, indexes: [next.index], attempt: next.attempt, excludedAgentIds: next.excludedAgentIds })
      this.schedulePass()
      return
    }
    this.recordFinalReport(task.job, report)
  }

  /** Removes the waiting tasks of a job that another entry now owns. */
  release (job: Job): void {
    const groups = this.waitingGroups.get(job) ?? []
    this.waitingGroups.delete(job)
    for (const group of groups) this.serviceOf(job).cancel(group)
  }

  /** Records the final outcome of a task of an adopted job, without further attempts. */
  handleAdoptedReport (job: Job, report: protocol.wire.ITaskReport): void {
    if (isFinal(report)) this.recordFinalReport(job, report)
  }

  /** Cancels a job: its waiting tasks are refused, and each agent with outstanding tasks of the job gets one cancel message. */
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

  /** Schedules a dispatch pass after the current I/O events, so that tasks that arrive together are sent in one batch. */
  schedulePass (): void {
    if (this.isPassScheduled) return
    this.isPassScheduled = true
    setImmediate(() => {
      this.isPassScheduled = false
      this.runPass()
    })
  }

  private enqueueGroup (group: TaskGroup): void {
    const item = this.serviceOf(group.job).push(group, this.options.timers.wallClockMs())
    if (item === undefined) return
    const items = this.waitingGroups.get(group.job)
    if (items === undefined) this.waitingGroups.set(group.job, [item])
    else items.push(item)
  }

  private runPass (): void {
    const nowWallMs = this.options.timers.wallClockMs()
    for (const service of this.services.values()) {
      if (service.taskCount > 0) this.dispatchService(service, nowWallMs)
      this.updateUrgency(service, nowWallMs)
    }
    for (const session of this.fleet.connected) session.flushStarts()
  }

  private dispatchService (service: ServiceQueue, nowWallMs: number): void {
    for (const expired of service.dropExpired(nowWallMs)) this.refuse(expired.payload, wire.RefusalReason.REFUSAL_REASON_DEADLINE_PASSED)
    const blocked = new Set<Lane>()
    for (let lane = service.nextLane(blocked, nowWallMs); lane !== undefined; lane = service.nextLane(blocked, nowWallMs)) {
      if (!this.placeHead(service, lane, nowWallMs)) blocked.add(lane)
    }
  }

  /** Places tasks from the head of a lane. Returns false if no agent has a free slot for them. */
  private placeHead (service: ServiceQueue, lane: Lane, nowWallMs: number): boolean {
    const head = lane.queue.peek(nowWallMs)!
    const group = head.payload
    const grant = this.options.guard.checkStart(group.job.partition)
    if (grant === undefined) {
      this.park(lane, head)
      return true
    }
    const count = Math.min(head.taskCount, MAX_TASKS_PER_PLACEMENT)
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
    lane.admission.recordStarted(placed * head.expectedRunMs, nowWallMs)
    return placed > 0
  }

  /**
   * Parks tasks of a partition for which this entry holds no start grant, because the partition is being handed over
   * or the lease is about to be renewed. They don't block other partitions, and they still expire at their deadlines.
   */
  private park (lane: Lane, item: WaitingGroup): void {
    lane.queue.cancel(item)
    this.parked.push(item.payload)
  }

  private unpark (): void {
    for (const group of this.parked.splice(0)) {
      if (!group.job.isMoved) this.enqueueGroup(group)
    }
    this.schedulePass()
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
      this.recordFinalReport(group.job, { index, attempt: group.attempt, state: wire.TaskState.TASK_STATE_NOT_RUN, refusal })
    }
  }

  private recordFinalReport (job: Job, report: protocol.wire.ITaskReport): void {
    if (job.isMoved || !job.recordReport(report)) return
    this.waitingGroups.delete(job)
    this.options.onJobEnded(job)
  }
}

function isFinal (report: protocol.wire.ITaskReport): boolean {
  return report.state !== wire.TaskState.TASK_STATE_QUEUED && report.state !== wire.TaskState.TASK_STATE_RUNNING
}
