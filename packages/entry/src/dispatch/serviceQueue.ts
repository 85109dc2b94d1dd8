/** Waiting tasks of one service, with one queue (lane) per task size so that large tasks don't block small ones. */
import * as admission from '@egretvalve/admission'
import * as placement from '@egretvalve/placement'
import * as protocol from '@egretvalve/protocol'
import type { Job } from '../jobs/job.ts'
import { declaredRunMs, resolveDeadlineMs, type TaskGroup } from './taskGroup.ts'

const { wire } = protocol

/** Time reserved between the end of a task and the answer to its caller, in milliseconds. */
const ANSWER_MARGIN_MS = 10

/** Queue and admission for tasks of one size and one run-time class (short or long). */
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

  /** Returns the lane for tasks of a size, creating it on first use. */
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

  /** Adds a group to its lane. Returns undefined for an empty group. */
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

  /** Returns the unblocked lane whose head is most urgent, or undefined if none has waiting tasks. */
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

  /** Removes a cancelled group from its lane. */
  cancel (item: WaitingGroup): void {
    const { job, indexes } = item.payload
    if (indexes.length > 0) this.laneOf(job, indexes[0]!).queue.cancel(item)
  }

  /** Removes and returns the groups whose latest start has passed. */
  dropExpired (nowMs: number): WaitingGroup[] {
    const expired: WaitingGroup[] = []
    for (const lane of this.lanes.values()) {
      if (lane.queue.taskCount > 0) expired.push(...lane.queue.dropExpired(nowMs))
    }
    return expired
  }

  /** Returns the urgency to announce, or undefined if the announced one is unchanged. */
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

/**
 * Returns the latest useful start. A task whose expected run time doesn't fit before the deadline even if it starts now
 * may start until the deadline itself.
 */
function resolveLatestStartMs (deadlineAtMs: number, expectedRunMs: number, nowMs: number): number {
  const latestStartAtMs = deadlineAtMs - expectedRunMs - ANSWER_MARGIN_MS
  return latestStartAtMs > nowMs ? latestStartAtMs : deadlineAtMs
}

/**
 * Returns the time by which a lane orders its groups. Pressing tasks are ordered by latest start, which meets the most
 * deadlines. Ordinary tasks are ordered by deadline, so that short ones don't wait behind long ones that arrived later.
 */
function resolveDueMs (submission: protocol.wire.ISubmission, latestStartAtMs: number): number {
  const isPressing = submission.requestClass === wire.RequestClass.REQUEST_CLASS_PRESSING
  return isPressing ? latestStartAtMs : resolveDeadlineMs(submission)
}
