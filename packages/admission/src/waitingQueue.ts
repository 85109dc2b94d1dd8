/** Work that waits at an entry for a free slot. */
import * as protocol from '@egretvalve/protocol'
import { DueHeap } from './dueHeap.ts'
import type { QueueOptions } from './defaults.ts'
import { TeamShares } from './teamShares.ts'

const { wire } = protocol

/** What is known of the tasks of one submission that are to wait. */
export interface WaitingWork<T> {
  team: string
  requestClass: protocol.wire.RequestClass
  /** Time that decides the order within a class: the earlier goes first. */
  dueAtMs: number
  /** Time after which a task of it is not worth a start any more; positive infinity for none. */
  latestStartAtMs: number
  enqueuedAtMs: number
  /** Expected run time of one task. */
  expectedRunMs: number
  /** Number of equal tasks. */
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

  /** Adds work and returns its item, by which it can be cancelled. */
  push (work: WaitingWork<T>): WaitingItem<T> {
    const item: WaitingItem<T> = { ...work, sequence: this.nextSequence++ }
    const queue = this.queueOf(item.requestClass)
    let heap = queue.heaps.get(item.team)
    if (heap === undefined) {
      heap = new DueHeap()
      queue.heaps.set(item.team, heap)
    }
    heap.push(item)
    count(queue, item, item.taskCount)
    return item
  }

  /** Returns the item whose tasks go next. */
  peek (nowMs: number): WaitingItem<T> | undefined {
    const first = this.prefersOrdinary() ? this.ordinary : this.pressing
    const second = first === this.ordinary ? this.pressing : this.ordinary
    return this.headOf(first, nowMs) ?? this.headOf(second, nowMs)
  }

  /** Takes some tasks of an item that `peek` returned, as they start. */
  take (item: WaitingItem<T>, taskCount: number, nowMs: number): void {
    const taken = Math.min(taskCount, item.taskCount)
    item.taskCount -= taken
    count(this.queueOf(item.requestClass), item, -taken)
    this.shares.noteStarted(item.team, taken * item.expectedRunMs, nowMs)
    this.noteStreak(item.requestClass, taken)
  }

  /** Removes an item that is cancelled. */
  cancel (item: WaitingItem<T>): void {
    count(this.queueOf(item.requestClass), item, -item.taskCount)
    item.taskCount = 0
  }

  /** Removes and returns the most urgent items whose latest start has passed, each with the tasks it still had. */
  dropExpired (nowMs: number): Array<WaitingItem<T>> {
    return [...this.dropExpiredOf(this.pressing, nowMs), ...this.dropExpiredOf(this.ordinary, nowMs)]
  }

  /** Expected work of a class that waits, in milliseconds of run time. */
  waitingWorkMs (requestClass: protocol.wire.RequestClass): number {
    return this.queueOf(requestClass).workMs
  }

  /** Expected work of a class that waits for one team, in milliseconds of run time. */
  teamWorkMs (requestClass: protocol.wire.RequestClass, team: string): number {
    return this.queueOf(requestClass).heaps.get(team)?.workMs ?? 0
  }

  /** Teams with waiting work in a class. */
  activeTeams (requestClass: protocol.wire.RequestClass): Iterable<string> {
    return this.queueOf(requestClass).heaps.keys()
  }

  private queueOf (requestClass: protocol.wire.RequestClass): ClassQueue<T> {
    return requestClass === wire.RequestClass.REQUEST_CLASS_PRESSING ? this.pressing : this.ordinary
  }

  private prefersOrdinary (): boolean {
    return this.pressingStreak >= this.options.maxPressingStreak && this.ordinary.taskCount > 0
  }

  private noteStreak (requestClass: protocol.wire.RequestClass, taskCount: number): void {
    const delaysOrdinary = requestClass === wire.RequestClass.REQUEST_CLASS_PRESSING && this.ordinary.taskCount > 0
    this.pressingStreak = delaysOrdinary ? this.pressingStreak + taskCount : 0
  }

  /**
   * The earliest due time of all; under contention that lasts, the earliest among the teams within their share.
   * Brief queues stay in order of urgency, because usage over a short time says little about a team.
   */
  private headOf (queue: ClassQueue<T>, nowMs: number): WaitingItem<T> | undefined {
    if (queue.taskCount === 0) {
      queue.heaps.clear()
      return undefined
    }
    if (queue.heaps.size === 1) return this.onlyHead(queue)
    const fairUsageMs = this.shares.fairUsageMs(queue.heaps.keys(), nowMs)
    let earliest: WaitingItem<T> | undefined
    let fair: WaitingItem<T> | undefined
    for (const [team, heap] of queue.heaps) {
      const first = pruneHead(heap)
      if (first === undefined) {
        queue.heaps.delete(team)
        continue
      }
      if (isEarlier(first, earliest)) earliest = first
      if (isEarlier(first, fair) && this.shares.weightedUsageMs(team, nowMs) <= fairUsageMs) fair = first
    }
    const isContended = earliest !== undefined && nowMs - earliest.enqueuedAtMs >= this.options.fairAfterMs
    return isContended ? fair ?? earliest : earliest
  }

  private onlyHead (queue: ClassQueue<T>): WaitingItem<T> | undefined {
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
        count(queue, first, -first.taskCount)
        first.taskCount = 0
      }
    }
    return expired
  }
}

function isEarlier<T> (item: WaitingItem<T>, other: WaitingItem<T> | undefined): boolean {
  return other === undefined || item.dueAtMs < other.dueAtMs
}

function count<T> (queue: ClassQueue<T>, item: WaitingItem<T>, taskCount: number): void {
  const workMs = taskCount * item.expectedRunMs
  queue.taskCount += taskCount
  queue.workMs += workMs
  const heap = queue.heaps.get(item.team)
  if (heap !== undefined) heap.workMs += workMs
}

/** Drops items that have left the queue from the head of a heap. */
function pruneHead<T> (heap: DueHeap<T>): WaitingItem<T> | undefined {
  while (heap.first !== undefined && heap.first.taskCount === 0) heap.shift()
  return heap.first
}
