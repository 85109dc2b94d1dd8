/** Waiting work of one service: a queue for each size of task, so that large tasks do not hold up small ones. */
import * as admission from '@egretvalve/admission'
import * as placement from '@egretvalve/placement'
import * as protocol from '@egretvalve/protocol'
import type { Job } from '../jobs/job.ts'
import { declaredRunMs, resolveDeadlineMs, type TaskGroup } from './taskGroup.ts'

const { wire } = protocol

/** Time between a task's end and its caller's answer, in milliseconds. */
const ANSWER_MARGIN_MS = 10

/** Waiting tasks of one size. */
export interface Lane {
  wanted: placement.Capacity
  isLong: boolean
  queue: admission.WaitingQueue<TaskGroup>
  admission: admission.Admission
}

/** A group in its queue. */
export type WaitingGroup = admission.WaitingItem<TaskGroup>

/** Queues and run times of one service. */
export class ServiceQueue {
  readonly runTimes = new admission.RunTimeEstimate()
  readonly urgency = new admission.UrgencyTracker(admission.DEFAULT_URGENCY)
  private readonly lanes = new Map<string, Lane>()
  private readonly shares: admission.TeamShares

  constructor (readonly service: string, resolveWeight: admission.WeightResolver) {
    this.shares = new admission.TeamShares(admission.DEFAULT_QUEUE.usageHalfLifeMs, resolveWeight)
  }

  /** Number of tasks that wait. */
  get taskCount (): number {
    let count = 0
    for (const lane of this.lanes.values()) count += lane.queue.taskCount
    return count
  }

  /** Returns the lane for tasks of a size. */
  resolveLane (wanted: placement.Capacity, isLong: boolean): Lane {
    const key = `${isLong}/${Object.values(wanted).join('/')}`
    let lane = this.lanes.get(key)
    if (lane === undefined) {
      const queue = new admission.WaitingQueue<TaskGroup>(admission.DEFAULT_QUEUE, this.shares)
      lane = { wanted, isLong, queue, admission: new admission.Admission(admission.DEFAULT_ADMISSION, queue) }
      this.lanes.set(key, lane)
    }
    return lane
  }

  /** Adds a group to its lane; an empty group is ignored. */
  push (group: TaskGroup, nowMs: number): WaitingGroup | undefined {
    const first = group.indexes[0]
    if (first === undefined) return undefined
    const { submission } = group.job
    const expectedRunMs = this.runTimes.expectedRunMs(declaredRunMs(group.job, first))
    const team = submission.key!.team ?? ''
    const latestStartAtMs = resolveLatestStartMs(resolveDeadlineMs(submission), expectedRunMs, nowMs)
    return this.laneOf(group.job, first).queue.push({
      team,
      requestClass: submission.requestClass ?? wire.RequestClass.REQUEST_CLASS_ORDINARY,
      dueAtMs: resolveDueMs(submission, latestStartAtMs),
      latestStartAtMs,
      enqueuedAtMs: nowMs,
      expectedRunMs,
      taskCount: group.indexes.length,
      payload: group
    })
  }

  /** Returns the lane, not among those blocked, whose head is most urgent. */
  nextLane (blocked: ReadonlySet<Lane>, nowMs: number): Lane | undefined {
    let best: Lane | undefined
    let bestHead: WaitingGroup | undefined
    for (const lane of this.lanes.values()) {
      if (lane.queue.taskCount === 0 || blocked.has(lane)) continue
      const head = lane.queue.peek(nowMs)
      if (head === undefined || (bestHead !== undefined && !isMoreUrgent(head, bestHead))) continue
      best = lane
      bestHead = head
    }
    return best
  }

  /** Removes a group that is cancelled from its lane. */
  cancel (item: WaitingGroup): void {
    const { job, indexes } = item.payload
    if (indexes.length > 0) this.laneOf(job, indexes[0]!).queue.cancel(item)
  }

  /** Removes and returns the groups that can't start in time any more. */
  dropExpired (nowMs: number): WaitingGroup[] {
    const expired: WaitingGroup[] = []
    for (const lane of this.lanes.values()) {
      if (lane.queue.taskCount > 0) expired.push(...lane.queue.dropExpired(nowMs))
    }
    return expired
  }

  /** Returns the urgency to announce, or undefined while the announced one holds. */
  updateUrgency (nowMs: number): protocol.wire.Urgency | undefined {
    let urgency = wire.Urgency.URGENCY_IDLE
    for (const lane of this.lanes.values()) {
      if (lane.queue.taskCount === 0) continue
      urgency = Math.max(urgency, admission.resolveUrgency(lane.queue.peek(nowMs), nowMs, admission.DEFAULT_URGENCY))
    }
    return this.urgency.update(urgency, nowMs)
  }

  private laneOf (job: Job, index: number): Lane {
    return this.resolveLane(placement.resolveWanted(job.submission.wanted), declaredRunMs(job, index) >= protocol.LONG_RUN_MS)
  }
}

function isMoreUrgent (left: WaitingGroup, right: WaitingGroup): boolean {
  if (left.requestClass !== right.requestClass) return left.requestClass > right.requestClass
  return left.dueAtMs < right.dueAtMs
}

/** A task that could never meet its deadline by its declared run time may start until the deadline itself. */
function resolveLatestStartMs (deadlineAtMs: number, expectedRunMs: number, nowMs: number): number {
  const latestStartAtMs = deadlineAtMs - expectedRunMs - ANSWER_MARGIN_MS
  return latestStartAtMs > nowMs ? latestStartAtMs : deadlineAtMs
}

/**
 * Pressing work goes by its latest start, which meets the most deadlines. Ordinary work goes by its deadline,
 * so that short tasks do not wait behind long ones that came later.
 */
function resolveDueMs (submission: protocol.wire.ISubmission, latestStartAtMs: number): number {
  const isPressing = submission.requestClass === wire.RequestClass.REQUEST_CLASS_PRESSING
  return isPressing ? latestStartAtMs : resolveDeadlineMs(submission)
}
