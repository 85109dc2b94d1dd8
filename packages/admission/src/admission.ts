/** Admission of work by its predicted wait and deadline, per class and team. */
import * as protocol from '@egretvalve/protocol'
import * as prand from 'pure-rand'
import type { AdmissionOptions } from './defaults.ts'
import { WorkRate } from './workRate.ts'
import type { WaitingQueue } from './waitingQueue.ts'

const { wire } = protocol

/** Capacity of a service as seen by one entry. */
export interface EntryCapacity {
  /** Slots of all servers of the service. */
  slots: number
  /** Free slots as last known to this entry. */
  freeSlots: number
  /** Estimated number of entries that share the servers; may be fractional, at least 1. */
  entries: number
}

/** Tasks of one submission that request admission. */
export interface AdmissionRequest {
  team: string
  requestClass: protocol.wire.RequestClass
  taskCount: number
  /** Mean expected run time of the tasks, in milliseconds. */
  expectedRunMs: number
  /** Deadline in Unix milliseconds; positive infinity for none. */
  deadlineAtMs: number
}

/** Outcome of an admission decision. */
export enum AdmissionKind {
  Admitted = 'admitted',
  Refused = 'refused'
}

export interface Admitted {
  kind: AdmissionKind.Admitted
  predictedWaitMs: number
}

export interface Refused {
  kind: AdmissionKind.Refused
  code: protocol.AnswerCode.Overloaded | protocol.AnswerCode.QuotaExceeded | protocol.AnswerCode.DeadlinePassed
  message: string
  retryAfterMs: number
}

export type AdmissionDecision = Admitted | Refused

/** A retry-after is multiplied by a random factor from `MIN_JITTER_FACTOR` to `MIN_JITTER_FACTOR + JITTER_FACTOR_RANGE`. */
const MIN_JITTER_FACTOR = 0.5
const JITTER_FACTOR_RANGE = 1

/** Admission decisions for one waiting queue. */
export class Admission {
  private readonly started: WorkRate
  private readonly pressingArrivals: WorkRate
  private readonly random: prand.RandomGenerator
  private backlogSinceMs: number | undefined

  constructor (private readonly options: AdmissionOptions, private readonly queue: WaitingQueue<unknown>) {
    this.started = new WorkRate(options.rateWindowMs)
    this.pressingArrivals = new WorkRate(options.rateWindowMs)
    this.random = prand.xoroshiro128plus(options.seed)
  }

  /** Records work that was sent to agents, in milliseconds of run time. */
  recordStarted (workMs: number, nowMs: number): void {
    this.started.add(workMs, nowMs)
  }

  /** Admits or refuses work before any of its tasks is queued or started. */
  decide (request: AdmissionRequest, capacity: EntryCapacity, nowMs: number): AdmissionDecision {
    this.updateBacklogStart(nowMs)
    const isPressing = request.requestClass === wire.RequestClass.REQUEST_CLASS_PRESSING
    const workMs = request.taskCount * request.expectedRunMs
    if (nowMs >= request.deadlineAtMs) return refuseExpired()
    const predictedWaitMs = this.predictWaitMs(request, capacity, nowMs)
    const excessMs = predictedWaitMs === 0 ? 0 : nowMs + predictedWaitMs + request.expectedRunMs - request.deadlineAtMs
    if (excessMs > 0) return this.refuse(request, predictedWaitMs, excessMs, nowMs)
    if (isPressing) this.pressingArrivals.add(workMs, nowMs)
    return { kind: AdmissionKind.Admitted, predictedWaitMs }
  }

  /** Returns the predicted wait of the last task before its start, in milliseconds. */
  predictWaitMs (request: AdmissionRequest, capacity: EntryCapacity, nowMs: number): number {
    if (this.queue.taskCount === 0 && request.taskCount <= capacity.freeSlots) return 0
    const slots = this.usableSlots(capacity, nowMs)
    const ownWorkMs = Math.max(0, request.taskCount - Math.max(1, capacity.freeSlots)) * request.expectedRunMs
    const classSlots = this.classSlots(request.requestClass, slots, nowMs)
    const classWaitMs = (this.workAheadMs(request.requestClass) + ownWorkMs) / classSlots
    if (this.isOverShare(request, nowMs)) return classWaitMs
    const share = this.queue.shares.shareAmong(request.team, this.queue.activeTeams(request.requestClass))
    const teamWorkMs = this.queue.teamWorkMs(request.requestClass, request.team)
    return Math.min(classWaitMs, (teamWorkMs + ownWorkMs) / (classSlots * share))
  }

  private workAheadMs (requestClass: protocol.wire.RequestClass): number {
    const pressingMs = this.queue.waitingWorkMs(wire.RequestClass.REQUEST_CLASS_PRESSING)
    if (requestClass === wire.RequestClass.REQUEST_CLASS_PRESSING) return pressingMs
    return pressingMs + this.queue.waitingWorkMs(wire.RequestClass.REQUEST_CLASS_ORDINARY)
  }

  /** Returns the slots available to a class. Ordinary work gets what pressing work leaves, and at least `minOrdinaryShare`. */
  private classSlots (requestClass: protocol.wire.RequestClass, slots: number, nowMs: number): number {
    if (requestClass === wire.RequestClass.REQUEST_CLASS_PRESSING) return slots
    return Math.max(slots * this.options.minOrdinaryShare, slots - this.pressingArrivals.slots(nowMs))
  }

  /**
   * Returns the slots available to this entry: at least its equal share, or the measured start rate if that is higher. Once a backlog has
   * lasted for two rate windows, the measured rate alone counts, as it then shows the entry's real share.
   */
  private usableSlots (capacity: EntryCapacity, nowMs: number): number {
    const equalShare = Math.max(1, capacity.slots / Math.max(1, capacity.entries))
    const measuredSlots = this.started.slots(nowMs)
    const isBacklogLasting = this.backlogSinceMs !== undefined && nowMs - this.backlogSinceMs > 2 * this.options.rateWindowMs
    return isBacklogLasting ? Math.max(1, measuredSlots) : Math.max(equalShare, measuredSlots)
  }

  private updateBacklogStart (nowMs: number): void {
    if (this.queue.taskCount === 0) this.backlogSinceMs = undefined
    else this.backlogSinceMs ??= nowMs
  }

  private refuse (request: AdmissionRequest, predictedWaitMs: number, excessMs: number, nowMs: number): Refused {
    const isOverShare = this.isOverShare(request, nowMs)
    return {
      kind: AdmissionKind.Refused,
      code: isOverShare ? protocol.AnswerCode.QuotaExceeded : protocol.AnswerCode.Overloaded,
      message: `predicted wait of ${Math.round(predictedWaitMs)} ms exceeds the deadline by ${Math.round(excessMs)} ms; nothing was run`,
      retryAfterMs: this.retryAfterMs(excessMs)
    }
  }

  private isOverShare (request: AdmissionRequest, nowMs: number): boolean {
    const { shares } = this.queue
    const teams = [...this.queue.activeTeams(request.requestClass)]
    if (teams.length < 2) return false
    return shares.weightedUsageMs(request.team, nowMs) > shares.fairUsageMs(teams, nowMs)
  }

  private retryAfterMs (excessMs: number): number {
    const jitter = MIN_JITTER_FACTOR + JITTER_FACTOR_RANGE * prand.unsafeUniformIntDistribution(0, 1_000, this.random) / 1_000
    const afterMs = Math.max(this.options.minRetryAfterMs, excessMs) * jitter
    return Math.round(Math.min(this.options.maxRetryAfterMs, afterMs))
  }
}

function refuseExpired (): Refused {
  return {
    kind: AdmissionKind.Refused,
    code: protocol.AnswerCode.DeadlinePassed,
    message: 'the deadline had passed before any task could start; nothing was run',
    retryAfterMs: 0
  }
}
