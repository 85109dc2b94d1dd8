/**
 * Limits what unfinished requests and connections of a process hold, for clients that send many bodies, headers or streams and never
 * finish them. The choice of what to drop is a function of the holders; `RequestBudget` counts and carries it out.
 */
import { readFileSync } from 'node:fs'
import * as os from 'node:os'
import * as settings from '@egretvalve/settings'
import { events } from './events.ts'

/** Memory of a connection with its parser and headers of ordinary size, in bytes. */
export const CONNECTION_BYTES = 16 * 1024
/** Bytes that count as progress. Fewer are a trickle. */
export const PROGRESS_BYTES = 1_024
/** A request without progress for this long may be dropped for others, in milliseconds. Ordinary bodies arrive within a few hundred. */
const FRESH_MS = 1_000
/** The same while connections of which nothing has been read wait for room, in milliseconds: most of them bring small requests. */
const CROWDED_FRESH_MS = 100
/** A request without progress for this long is closed, in milliseconds. */
export const STALL_LIMIT_MS = 10_000
/** A fresh request is dropped only if it holds more than the largest body on the platform. */
const MAX_ORDINARY_BYTES = 262_144 + CONNECTION_BYTES
/** A request that holds no more than this is received although the budget is full, up to `RESERVE_FACTOR` times the budget. */
const SMALL_REQUEST_BYTES = 16 * 1024 + CONNECTION_BYTES
const RESERVE_FACTOR = 1.25
/** Space that a waiting request needs before it is read further, in bytes: that of one read from a socket. */
const READ_BYTES = 64 * 1024
/** An idle connection is closed only if its socket was polled within this time, in milliseconds: what has come since then is lost. */
const MAX_UNREAD_MS = 100
const CHECK_PERIOD_MS = 500
/** Period in which some of the connections that wait are read although there is no room, in milliseconds, so that idle ones are told from others. */
const GRANT_PERIOD_MS = 50
/** Number of connections that are read in each such period. */
const GRANTED_READS = 16
const REPORT_PERIOD_MS = 1_000

/** Share of the memory that unfinished requests may hold, and its bounds. 32 MB leave room below a growth of 128 MB for the garbage of chunks. */
const MEMORY_SHARE = 1 / 8
const MIN_BUDGET_BYTES = 8 * 1024 * 1024
const MAX_BUDGET_BYTES = 32 * 1024 * 1024
const CONNECTIONS_SHARE = 0.75
const DEFAULT_OPEN_FILES = 4_096

export enum HolderState {
  /** A request is received in part. */
  Receiving = 'receiving',
  Idle = 'idle',
  /** A request has been read completely. */
  Answering = 'answering'
}

/** What a connection holds. */
export interface Holder {
  peer: string
  state: HolderState
  heldBytes: number
  /** Monotonic time at which it last delivered a kilobyte, was accepted or became idle, in milliseconds. */
  progressAtMs: number
}

function findOldest<H extends Holder> (holders: readonly H[]): H | undefined {
  let oldest: H | undefined
  for (const holder of holders) if (oldest === undefined || holder.progressAtMs < oldest.progressAtMs) oldest = holder
  return oldest
}

/** Returns the holders of the peer that holds the most among them. */
function selectLargestPeer<H extends Holder> (holders: readonly H[]): H[] {
  const bytesByPeer = new Map<string, number>()
  for (const { peer, heldBytes } of holders) bytesByPeer.set(peer, (bytesByPeer.get(peer) ?? 0) + heldBytes)
  const [largest] = [...bytesByPeer].sort((left, right) => right[1] - left[1])
  return holders.filter(({ peer }) => peer === largest?.[0])
}

/**
 * Returns the holder to drop when too many bytes are held: without progress for the longest time, of the peer that holds the most.
 * Then come large bodies that still make progress, then idle connections. Fresh ordinary requests and those read completely are never chosen.
 */
export function chooseDropped<H extends Holder> (holders: readonly H[], nowMs: number, freshMs = FRESH_MS): H | undefined {
  const receiving = holders.filter(({ state }) => state === HolderState.Receiving)
  const isStale = ({ progressAtMs }: H): boolean => nowMs - progressAtMs >= freshMs
  const candidates = [
    receiving.filter(isStale),
    receiving.filter(({ heldBytes }) => heldBytes > MAX_ORDINARY_BYTES),
    holders.filter(holder => holder.state === HolderState.Idle && isStale(holder))
  ].find(({ length }) => length > 0)
  return candidates === undefined ? undefined : findOldest(selectLargestPeer(candidates))
}

/**
 * Returns the connection to close when there are too many: the one whose request has made no progress for the longest time, then the
 * one idle for longest. Connections with progress at or after `polledAtMs` are not chosen: their sockets may hold a request that was not read yet.
 */
export function chooseClosed<H extends Holder> (holders: readonly H[], polledAtMs: number): H | undefined {
  const polled = holders.filter(({ progressAtMs }) => progressAtMs < polledAtMs)
  return findOldest(polled.filter(({ state }) => state === HolderState.Receiving)) ?? findOldest(polled.filter(({ state }) => state === HolderState.Idle))
}

export enum DropCause {
  BudgetFull = 'budget full',
  TooManyConnections = 'too many connections',
  Stalled = 'stalled'
}

/** A connection as the budget sees it. */
export interface BudgetHolder extends Holder {
  /** Bytes read from the socket. */
  readonly bytesRead: number
  /** Bytes held besides the connection itself, for holders that do not count them as they come. */
  readonly measuredBytes?: number
  /** Value of `bytesRead` at the last progress. */
  progressBytes: number
  /** True while the budget keeps it from being read. */
  isPaused: boolean
  /** True if a request was being received at the last check. */
  wasReceiving: boolean
  /** Stops reads until `resume` is called. Missing for connections that are always read. */
  pause?: () => void
  resume: () => void
  /** Ends the unfinished request and closes the connection. */
  drop: (cause: DropCause) => void
}

/** Limits of a process. */
export interface BudgetLimits {
  maxHeldBytes: number
  maxConnections: number
}

/** Derives the limits from the memory and the file descriptors of the machine. */
export function deriveLimits (memoryBytes: number, maxOpenFiles: number): BudgetLimits {
  return {
    maxHeldBytes: Math.min(MAX_BUDGET_BYTES, Math.max(MIN_BUDGET_BYTES, Math.floor(memoryBytes * MEMORY_SHARE))),
    maxConnections: Math.max(1, Math.floor(maxOpenFiles * CONNECTIONS_SHARE))
  }
}

/** Replaces what the settings state; 0 keeps what was derived. */
export function overrideLimits (limits: BudgetLimits, { requestMaxBytes, maxConnections }: { requestMaxBytes: number, maxConnections: number }): BudgetLimits {
  return { maxHeldBytes: requestMaxBytes || limits.maxHeldBytes, maxConnections: maxConnections || limits.maxConnections }
}

/** Limits from the smallest of the stated, the machine's and the container's memory, and from the stated descriptors or those of the process. */
export function detectLimits (memoryBytes = Number.POSITIVE_INFINITY, maxOpenFiles = readMaxOpenFiles()): BudgetLimits {
  return deriveLimits(Math.min(memoryBytes, os.totalmem(), process.constrainedMemory() || Number.POSITIVE_INFINITY), maxOpenFiles)
}

function readMaxOpenFiles (): number {
  try {
    return Number(/^Max open files\s+(\d+)/m.exec(readFileSync('/proc/self/limits', 'utf8'))?.[1] ?? DEFAULT_OPEN_FILES)
  } catch {
    return DEFAULT_OPEN_FILES
  }
}

/** Counts of the budget since the start of the process. */
export interface BudgetCounters {
  requestsDroppedFull: number
  requestsDroppedStalled: number
  connectionsClosedOverLimit: number
}

/** The budget of a process, shared by its listeners. */
export class RequestBudget {
  heldBytes = 0
  readonly counters: BudgetCounters = { requestsDroppedFull: 0, requestsDroppedStalled: 0, connectionsClosedOverLimit: 0 }
  private readonly holders = new Set<BudgetHolder>()
  private readonly waiting = new Set<BudgetHolder>()
  private isPassScheduled = false
  private retry: settings.TimerHandle | undefined
  private grantedAtMs = Number.NEGATIVE_INFINITY
  /** True once all connections that may be paused were, until some are read again. */
  private areReadsStopped = false
  private checks: settings.TimerHandle | undefined

  constructor (private limits: BudgetLimits, private readonly timers: settings.Timers) {}

  setLimits (limits: BudgetLimits): void {
    this.limits = limits
  }

  get connectionCount (): number {
    return this.holders.size
  }

  /** Numbers for the metrics of a process. */
  get metrics (): Record<string, number> {
    return { requestBytesHeld: this.heldBytes, connectionsHeld: this.connectionCount, connectionsWaiting: this.waiting.size, ...this.counters }
  }

  add (holder: BudgetHolder): void {
    this.holders.add(holder)
    this.grow(holder, CONNECTION_BYTES)
    this.checks ??= this.timers.every(CHECK_PERIOD_MS, () => { this.runAfterPoll((polledAtMs, nowMs) => { this.check(polledAtMs, nowMs) }) })
    if (this.isOverLimits) this.schedulePass()
    if (this.isReserveFull) this.makeWait(holder)
  }

  remove (holder: BudgetHolder): void {
    if (!this.holders.delete(holder)) return
    this.waiting.delete(holder)
    this.heldBytes -= holder.heldBytes
    holder.heldBytes = 0
    if (this.waiting.size > 0) this.schedulePass()
    if (this.holders.size > 0) return
    this.checks?.cancel()
    this.checks = undefined
  }

  /** Counts further bytes. Returns false if the holder must not be read until `resume` is called. */
  hold (holder: BudgetHolder, bytes: number): boolean {
    if (!this.holders.has(holder)) return true
    this.grow(holder, bytes)
    const { maxHeldBytes } = this.limits
    if (this.heldBytes <= maxHeldBytes) return true
    this.schedulePass()
    if (this.isReserveFull) this.stopReads()
    else if (holder.heldBytes <= SMALL_REQUEST_BYTES) return true
    holder.isPaused = true
    this.waiting.add(holder)
    return false
  }

  release (holder: BudgetHolder, bytes: number): void {
    if (!this.holders.has(holder)) return
    this.grow(holder, -bytes)
    if (this.waiting.size > 0) this.schedulePass()
  }

  /** Logs what was dropped, once per second at most. */
  startReports (log: settings.Log): settings.TimerHandle {
    let reported = { ...this.counters }
    return this.timers.every(REPORT_PERIOD_MS, () => {
      const { requestsDroppedFull, requestsDroppedStalled, connectionsClosedOverLimit } = this.counters
      const before = reported
      reported = { ...this.counters }
      const counts = { droppedFull: requestsDroppedFull - before.requestsDroppedFull, droppedStalled: requestsDroppedStalled - before.requestsDroppedStalled, closedOverLimit: connectionsClosedOverLimit - before.connectionsClosedOverLimit }
      if (Object.values(counts).some(count => count > 0)) log.event(events.RequestsDropped, { ...counts, heldBytes: this.heldBytes, connections: this.connectionCount })
    })
  }

  private get isReserveFull (): boolean {
    return this.heldBytes > this.limits.maxHeldBytes * RESERVE_FACTOR
  }

  /** Pauses all connections but those whose request has been read, since each could bring as much as one read takes in this turn of the event loop. */
  private stopReads (): void {
    if (this.areReadsStopped) return
    this.areReadsStopped = true
    for (const holder of this.holders) if (holder.state !== HolderState.Answering) this.makeWait(holder)
  }

  private makeWait (holder: BudgetHolder): void {
    if (holder.isPaused || holder.pause === undefined) return
    holder.isPaused = true
    this.waiting.add(holder)
    holder.pause()
  }

  private get isOverLimits (): boolean {
    return this.heldBytes > this.limits.maxHeldBytes || this.holders.size > this.limits.maxConnections
  }

  private grow (holder: BudgetHolder, bytes: number): void {
    holder.heldBytes += bytes
    this.heldBytes += bytes
  }

  private schedulePass (): void {
    if (this.isPassScheduled) return
    this.isPassScheduled = true
    this.runAfterPoll((polledAtMs, nowMs) => {
      this.isPassScheduled = false
      this.refresh(polledAtMs)
      this.makeRoom(polledAtMs, nowMs)
    })
  }

  /** Calls back after a whole turn of the event loop, which reads what waited in the sockets, with the times of its start and end. */
  private runAfterPoll (callback: (polledAtMs: number, nowMs: number) => void): void {
    setImmediate(() => {
      const polledAtMs = this.timers.nowMs()
      setImmediate(() => { callback(polledAtMs, this.timers.nowMs()) })
    })
  }

  /** Applies the time limit and makes room. */
  private check (polledAtMs: number, nowMs: number): void {
    this.refresh(polledAtMs)
    for (const holder of [...this.holders]) {
      if (holder.state !== HolderState.Receiving || holder.isPaused || polledAtMs - holder.progressAtMs < STALL_LIMIT_MS) continue
      this.counters.requestsDroppedStalled++
      this.drop(holder, DropCause.Stalled)
    }
    this.makeRoom(polledAtMs, nowMs)
  }

  /** Records the progress since the last call. A request starts with its first byte, which the parser does not report. */
  private refresh (nowMs: number): void {
    for (const holder of this.holders) {
      if (holder.measuredBytes !== undefined) this.grow(holder, CONNECTION_BYTES + holder.measuredBytes - holder.heldBytes)
      const isReceiving = holder.state === HolderState.Receiving
      const isStart = isReceiving && !holder.wasReceiving
      holder.wasReceiving = isReceiving
      if (!isStart && holder.bytesRead - holder.progressBytes < PROGRESS_BYTES) continue
      holder.progressBytes = holder.bytesRead
      if (isReceiving) holder.progressAtMs = nowMs
    }
  }

  private makeRoom (polledAtMs: number, nowMs: number): void {
    const { maxHeldBytes, maxConnections } = this.limits
    while (this.holders.size > maxConnections) {
      const holder = chooseClosed(this.polledHolders, polledAtMs) ?? chooseClosed([...this.holders], polledAtMs)
      if (holder === undefined || (holder.state === HolderState.Idle && !holder.isPaused && nowMs - polledAtMs > MAX_UNREAD_MS)) break
      this.counters.connectionsClosedOverLimit++
      this.drop(holder, DropCause.TooManyConnections)
    }
    const freshMs = [...this.waiting].some(({ heldBytes }) => heldBytes <= CONNECTION_BYTES) ? CROWDED_FRESH_MS : FRESH_MS
    while (this.heldBytes > maxHeldBytes - (this.waiting.size > 0 ? READ_BYTES : 0)) {
      const holder = chooseDropped(this.polledHolders, polledAtMs, freshMs)
      if (holder === undefined || (holder.state === HolderState.Idle && nowMs - polledAtMs > MAX_UNREAD_MS)) break
      this.dropFull(holder)
    }
    // A TLS connection delivers what came with the end of its handshake although it is paused.
    while (this.isReserveFull) {
      const holder = chooseDropped([...this.holders].filter(({ state }) => state === HolderState.Receiving), polledAtMs, 0)
      if (holder === undefined) break
      this.dropFull(holder)
    }
    this.resumeWaiting(nowMs)
  }

  /** Holders whose sockets were read, or would have been. A connection that waits, and of which nothing was read, may bring a request. */
  private get polledHolders (): BudgetHolder[] {
    return [...this.holders].filter(({ state, isPaused }) => state !== HolderState.Idle || !isPaused)
  }

  /** Lets connections be read again while there is room for what one read brings, and a few in any case; those that hold the least come first. */
  private resumeWaiting (nowMs: number): void {
    if (this.waiting.size === 0) return
    const { maxHeldBytes } = this.limits
    let expectedBytes = this.heldBytes
    let granted = nowMs - this.grantedAtMs >= GRANT_PERIOD_MS ? GRANTED_READS : 0
    if (granted > 0) this.grantedAtMs = nowMs
    for (const holder of [...this.waiting].sort((left, right) => left.heldBytes - right.heldBytes)) {
      const isSmall = holder.heldBytes <= SMALL_REQUEST_BYTES
      expectedBytes += READ_BYTES
      if (expectedBytes > (isSmall ? maxHeldBytes * RESERVE_FACTOR : maxHeldBytes) && (!isSmall || granted-- <= 0)) break
      this.waiting.delete(holder)
      this.areReadsStopped = false
      holder.isPaused = false
      holder.progressAtMs = nowMs
      holder.resume()
    }
    if (this.waiting.size === 0 || this.retry !== undefined) return
    this.retry = this.timers.after(GRANT_PERIOD_MS, () => {
      this.retry = undefined
      if (this.waiting.size > 0) this.schedulePass()
    })
  }

  private dropFull (holder: BudgetHolder): void {
    this.counters.requestsDroppedFull++
    this.drop(holder, DropCause.BudgetFull)
  }

  private drop (holder: BudgetHolder, cause: DropCause): void {
    this.remove(holder)
    holder.drop(cause)
  }
}

/** The budget of this process. Programs with limits of their own set them before they listen. */
export const processBudget = new RequestBudget(detectLimits(), new settings.TimerService())
