/** Queue of the work that waits at an entry for a free slot. */
import * as protocol from '@egretvalve/protocol'
import { DueHeap } from './dueHeap.ts'
import type { QueueOptions } from './defaults.ts'
import { TeamShares } from './teamShares.ts'

const { wire } = protocol

/** Equal tasks of one submission to be queued. */
export interface WaitingWork<T> {
  team: string
  requestClass: protocol.wire.RequestClass
  /** Time that determines the order within a class, earliest first. */
  dueAtMs: number
  /** Latest useful start, after which the tasks are dropped; positive infinity for none. */
  latestStartAtMs: number
  enqueuedAtMs: number
  /** Expected run time of one task, in milliseconds. */
  expectedRunMs: number
  taskCount: number
  payload: T
}

/** Tasks of one submission in the queue. */
export interface WaitingItem<T> extends Readonly<Omit<WaitingWork<T>, 'taskCount'>> {
  readonly sequence: number
  /** Tasks that still wait; 0 once the item has left the queue. */
  taskCount: number
}

/** Waiting work of one class. */
interface ClassQueue<T> {
  heaps: Map<string, DueHeap<T>>
  taskCount: number
  workMs: number
}

function createClassQueue<T> (): ClassQueue<T> {
  return { heaps: new Map(), taskCount: 0, workMs: 0 }
}

/** Orders waiting work by class, then by the teams' shares, then by due time. */
export class WaitingQueue<T> {
  private readonly pressing = createClassQueue<T>()
  private readonly ordinary = createClassQueue<T>()
  private pressingStreak = 0
  private nextSequence = 1

  constructor (private readonly options: QueueOptions, readonly shares = new TeamShares(options.usageHalfLifeMs)) {}

  /** Number of tasks that wait. */
  get taskCount (): number {
    return this.pressing.taskCount + this.ordinary.taskCount
  }

  /** Adds work and returns its item, which can be passed to `cancel`. */
  push (work: WaitingWork<T>): WaitingItem<T> {
    const item: WaitingItem<T> = { ...work, sequence: this.nextSequence++ }
    const queue = this.queueOf(item.requestClass)
    let heap = queue.heaps.get(item.team)
    if (heap === undefined) {
      heap = new DueHeap()
      queue.heaps.set(item.team, heap)
    }
    heap.push(item)
    adjustCounts(queue, item, item.taskCount)
    return item
  }

  /** Returns the item whose tasks are to start next. */
  peek (nowMs: number): WaitingItem<T> | undefined {
    const first = this.prefersOrdinary() ? this.ordinary : this.pressing
    const second = first === this.ordinary ? this.pressing : this.ordinary
    return this.headOf(first, nowMs) ?? this.headOf(second, nowMs)
  }

  /** Removes started tasks of an item that `peek` returned, and records them in the team's usage. */
  take (item: WaitingItem<T>, taskCount: number, nowMs: number): void {
    const taken = Math.min(taskCount, item.taskCount)
    item.taskCount -= taken
    adjustCounts(this.queueOf(item.requestClass), item, -taken)
    this.shares.recordStarted(item.team, taken * item.expectedRunMs, nowMs)
    this.updatePressingStreak(item.requestClass, taken)
  }

  /** Removes a cancelled item. */
  cancel (item: WaitingItem<T>): void {
    adjustCounts(this.queueOf(item.requestClass), item, -item.taskCount)
    item.taskCount = 0
  }

  /** Removes the items at the heads of the heaps whose latest start has passed. Returns copies with the number of tasks that still waited. */
  dropExpired (nowMs: number): Array<WaitingItem<T>> {
    return [...this.dropExpiredOf(this.pressing, nowMs), ...this.dropExpiredOf(this.ordinary, nowMs)]
  }

  /** Returns the expected waiting work of a class, in milliseconds of run time. */
  waitingWorkMs (requestClass: protocol.wire.RequestClass): number {
    return this.queueOf(requestClass).workMs
  }

  /** Returns the expected waiting work of one team in a class, in milliseconds of run time. */
  teamWorkMs (requestClass: protocol.wire.RequestClass, team: string): number {
    return this.queueOf(requestClass).heaps.get(team)?.workMs ?? 0
  }

  /** Returns the teams with waiting work in a class. May include teams whose work has just left the queue. */
  activeTeams (requestClass: protocol.wire.RequestClass): Iterable<string> {
    return this.queueOf(requestClass).heaps.keys()
  }

  private queueOf (requestClass: protocol.wire.RequestClass): ClassQueue<T> {
    return requestClass === wire.RequestClass.REQUEST_CLASS_PRESSING ? this.pressing : this.ordinary
  }

  private prefersOrdinary (): boolean {
    return this.pressingStreak >= this.options.maxPressingStreak && this.ordinary.taskCount > 0
  }

  private updatePressingStreak (requestClass: protocol.wire.RequestClass, taskCount: number): void {
    const delaysOrdinary = requestClass === wire.RequestClass.REQUEST_CLASS_PRESSING && this.ordinary.taskCount > 0
    this.pressingStreak = delaysOrdinary ? this.pressingStreak + taskCount : 0
  }

  /**
   * Returns the item with the earliest due time; under lasting contention, the earliest of the teams within their share.
   * Short-lived queues are ordered by due time alone, because usage over a short time says little about a team.
   */
  private headOf (queue: ClassQueue<T>, nowMs: number): WaitingItem<T> | undefined {
    if (queue.taskCount === 0) {
      queue.heaps.clear()
      return undefined
    }
    if (queue.heaps.size === 1) return this.singleTeamHead(queue)
    const fairUsageMs = this.shares.fairUsageMs(queue.heaps.keys(), nowMs)
    let earliest: WaitingItem<T> | undefined
    let earliestWithinShare: WaitingItem<T> | undefined
    for (const [team, heap] of queue.heaps) {
      const first = pruneHead(heap)
      if (first === undefined) {
        queue.heaps.delete(team)
        continue
      }
      if (isEarlier(first, earliest)) earliest = first
      if (isEarlier(first, earliestWithinShare) && this.shares.weightedUsageMs(team, nowMs) <= fairUsageMs) earliestWithinShare = first
    }
    const isContended = earliest !== undefined && nowMs - earliest.enqueuedAtMs >= this.options.fairAfterMs
    return isContended ? earliestWithinShare ?? earliest : earliest
  }

  private singleTeamHead (queue: ClassQueue<T>): WaitingItem<T> | undefined {
    for (const heap of queue.heaps.values()) {
      const first = pruneHead(heap)
      if (first !== undefined) return first
    }
    return undefined
  }

  private dropExpiredOf (queue: ClassQueue<T>, nowMs: number): Array<WaitingItem<T>> {
    const expired: Array<WaitingItem<T>> = []
    for (const heap of queue.heaps.values()) {
      for (let first = pruneHead(heap); first !== undefined && first.latestStartAtMs <= nowMs; first = pruneHead(heap)) {
        heap.shift()
        expired.push({ ...first })
        adjustCounts(queue, first, -first.taskCount)
        first.taskCount = 0
      }
    }
    return expired
  }
}

function isEarlier<T> (item: WaitingItem<T>, other: WaitingItem<T> | undefined): boolean {
  return other === undefined || item.dueAtMs < other.dueAtMs
}

function adjustCounts<T> (queue: ClassQueue<T>, item: WaitingItem<T>, taskCount: number): void {
  const workMs = taskCount * item.expectedRunMs
  queue.taskCount += taskCount
  queue.workMs += workMs
  const heap = queue.heaps.get(item.team)
  if (heap !== undefined) heap.workMs += workMs
}

/** Removes items without waiting tasks from the head of a heap and returns the new head. */
function pruneHead<T> (heap: DueHeap<T>): WaitingItem<T> | undefined {
  while (heap.first !== undefined && heap.first.taskCount === 0) heap.shift()
  return heap.first
}
