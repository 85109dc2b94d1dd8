/** An entry's view of one agent and the backend server beside it. */
import type * as protocol from '@egretvalve/protocol'
import * as capacity from './capacity.ts'

/** Consecutively sent tasks of one size. */
interface SentGroup {
  wanted: capacity.Capacity
  isLong: boolean
  count: number
}

/** Last load report of an agent, corrected by the tasks that this entry has sent and the agent had not yet received. */
export class AgentView {
  service = ''
  rack = ''
  draining = false
  queued = 0
  runningLong = 0
  total = capacity.resolveCapacity(undefined)
  /** Free and unreserved slots at the last report. */
  freeSlots = 0
  /** Free slots that long tasks may take at the last report. */
  freeLongSlots = 0
  /** Tasks of all entries that ran or were queued at the last report. */
  busy = 0
  /** Slots that the agent reserved for this entry. */
  credits = 0
  reportedAtMs: number
  private free = capacity.resolveCapacity(undefined)
  private ownSlots = 0
  private received = 0
  private inTransit: SentGroup[] = []

  constructor (readonly agentId: string, readonly failureDomain: string, nowMs: number) {
    this.reportedAtMs = nowMs
  }

  /** Slots in use by other entries, or reserved for them, at the last report. */
  get otherSlots (): number {
    return Math.max(0, this.total.slots - this.freeSlots - this.credits - this.ownSlots)
  }

  /** Slots that this entry does not use itself, at the last report. */
  get sharedSlots (): number {
    return Math.max(0, this.total.slots - this.ownSlots)
  }

  /** Applies a load report. `ownTasks` is the number of this entry's tasks that were sent to the agent and have not ended. */
  applyLoad (load: protocol.wire.ILoadReport, nowMs: number, ownTasks = 0): void {
    this.service = load.service ?? this.service
    this.rack = load.rack ?? this.rack
    this.draining = load.draining ?? false
    this.queued = load.queued ?? 0
    this.runningLong = load.runningLong ?? 0
    this.freeSlots = load.freeSlots ?? 0
    this.freeLongSlots = load.freeLongSlots ?? 0
    this.busy = (load.running ?? 0) + this.queued
    this.credits = load.credits ?? 0
    this.free = capacity.resolveCapacity(load.free)
    this.total = capacity.resolveCapacity(load.total)
    this.reportedAtMs = nowMs
    this.dropReceived(load.receivedTasks ?? 0)
    this.ownSlots = Math.max(0, ownTasks - this.transitSlots())
  }

  /** Counts tasks that this entry has just sent. */
  recordSent (count: number, wanted: capacity.Capacity, isLong = false): void {
    const last = this.inTransit.at(-1)
    if (last !== undefined && last.wanted === wanted && last.isLong === isLong) last.count += count
    else this.inTransit.push({ wanted, isLong, count })
  }

  /** Slots that long tasks may take now, by the last report. */
  knownFreeLongSlots (): number {
    let slots = this.freeLongSlots
    for (const group of this.inTransit) slots -= group.isLong ? group.wanted.slots * group.count : 0
    return slots
  }

  /** Releases the credits that this entry does not use, and returns their number. */
  releaseUnusedCredits (): number {
    const unused = Math.max(0, Math.min(this.credits, this.knownFreeSlots()))
    this.credits -= unused
    return unused
  }

  /** Slots that this entry may fill now, by the last report; can be negative. */
  knownFreeSlots (): number {
    return this.freeSlots + this.credits - this.transitSlots()
  }

  /**
   * Returns the number of slots expected to be free. This entry's own use is known. The share of the remaining slots
   * that other entries use moves from the last report towards the mean of the fleet as the report ages. Unused credits
   * always count as free.
   */
  expectedFreeSlots (nowMs: number, meanOtherShare: number, reportHalfLifeMs: number): number {
    const ageMs = nowMs - this.reportedAtMs
    const ageShare = ageMs / (ageMs + reportHalfLifeMs)
    const expected = this.knownFreeSlots() + (this.otherSlots - meanOtherShare * this.sharedSlots) * ageShare
    return Math.max(expected, this.credits - this.transitSlots())
  }

  /** Returns how many tasks of a size fit the server's resources other than slots. */
  countFittingResources (wanted: capacity.Capacity): number {
    const free = { ...this.free, slots: Number.POSITIVE_INFINITY }
    for (const group of this.inTransit) subtract(free, group)
    return capacity.countFitting(free, wanted)
  }

  private transitSlots (): number {
    let slots = 0
    for (const group of this.inTransit) slots += group.wanted.slots * group.count
    return slots
  }

  private dropReceived (received: number): void {
    let arrived = received - this.received
    if (arrived <= 0) return
    this.received = received
    while (arrived > 0 && this.inTransit.length > 0) {
      const group = this.inTransit[0]!
      const count = Math.min(arrived, group.count)
      group.count -= count
      arrived -= count
      if (group.count === 0) this.inTransit.shift()
    }
  }
}

function subtract (free: capacity.Capacity, group: SentGroup): void {
  free.connections -= group.wanted.connections * group.count
  free.cores -= group.wanted.cores * group.count
  free.memoryMb -= group.wanted.memoryMb * group.count
  free.accelerators -= group.wanted.accelerators * group.count
}
