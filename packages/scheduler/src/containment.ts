/**
 * Containment of queues whose tasks crash workers again and again: such a queue keeps a small group of the workers, its cell, and all
 * other queues keep the rest. Answers the load in which a share of one queue's jobs crashes its workers faster than these return.
 */
import { createHash } from 'node:crypto'
import type * as settings from '@egretvalve/settings'
import type { AgentRecord, Agents } from './agents.ts'

/** Jobs with a task that was given up within the window from which their queue is contained. */
const MIN_JOBS = 2
const VERDICT_WINDOW_MS = 5_000
/** Time after the last crash by a task of the queue at which the containment ends, in milliseconds. A crashed worker is back sooner. */
const QUIET_MS = 5_000
/** Share of the workers in the cell. */
const CELL_SHARE = 0.4
/** Workers in the smallest cell: one for suspects and one for the other jobs. A service with too few workers for it is not divided. */
const MIN_CELL_SIZE = 2
/** Share of the recent work above which a queue is not contained, since the cell could not carry it and there is little else to protect. */
const MAX_WORK_SHARE = 0.5
/** Time in which the weight of past work halves, in milliseconds. */
const WORK_HALF_LIFE_MS = 10_000
/** Recent work below which a queue is forgotten. */
const MIN_WORK_CORE_MS = 1

interface QueueState {
  /** Time of the latest crash for which a task of each job was given up, by the job's id. */
  verdictsAtMs: Map<string, number>
  containedUntilMs: number
}

interface RecentWork {
  coreMs: number
  atMs: number
}

/** Decides which workers each queue may use. */
export class Containment {
  private readonly queues = new Map<string, QueueState>()
  private readonly work = new Map<string, RecentWork>()
  private readonly ranks = new Map<string, number>()

  constructor (private readonly timers: settings.Timers, private readonly agents: Agents, private readonly onChange: (queue: string, isContained: boolean) => void) {}

  /** Records work that arrives for a queue, in core-milliseconds by its estimate. */
  recordWork (queue: string, coreMs: number): void {
    this.work.set(queue, { coreMs: this.recentWorkOf(queue) + coreMs, atMs: this.timers.nowMs() })
  }

  /** Records that a task of a job was given up for a crash at `crashedAtMs`. Contains the queue when that happens to several jobs. */
  recordVerdict (queue: string, jobId: string, crashedAtMs = this.timers.nowMs()): void {
    const nowMs = this.timers.nowMs()
    const state = this.queues.get(queue) ?? { verdictsAtMs: new Map(), containedUntilMs: Number.NEGATIVE_INFINITY }
    this.queues.set(queue, state)
    state.verdictsAtMs.set(jobId, Math.max(crashedAtMs, state.verdictsAtMs.get(jobId) ?? crashedAtMs))
    dropOldVerdicts(state, nowMs)
    if (state.verdictsAtMs.size < MIN_JOBS || this.workShareOf(queue) > MAX_WORK_SHARE) return
    const untilMs = Math.max(...state.verdictsAtMs.values()) + QUIET_MS
    if (state.containedUntilMs < nowMs) this.onChange(queue, true)
    state.containedUntilMs = Math.max(state.containedUntilMs, untilMs)
  }

  /** Records a crash at `crashedAtMs` that ended runs of only this queue. Prolongs its containment. */
  recordCrash (queue: string, crashedAtMs = this.timers.nowMs()): void {
    const state = this.queues.get(queue)
    if (state !== undefined && this.isContained(queue)) state.containedUntilMs = Math.max(state.containedUntilMs, crashedAtMs + QUIET_MS)
  }

  isContained (queue: string): boolean {
    const state = this.queues.get(queue)
    return state !== undefined && state.containedUntilMs > this.timers.nowMs()
  }

  /** True while any queue is contained. */
  get isActive (): boolean {
    for (const queue of this.queues.keys()) {
      if (this.isContained(queue)) return true
    }
    return false
  }

  /** Ends containments whose time is up, and forgets queues without recent verdicts. */
  sweep (): void {
    const nowMs = this.timers.nowMs()
    for (const [queue, state] of this.queues) {
      dropOldVerdicts(state, nowMs)
      if (state.containedUntilMs > nowMs || state.verdictsAtMs.size > 0) continue
      if (state.containedUntilMs > Number.NEGATIVE_INFINITY) this.onChange(queue, false)
      this.queues.delete(queue)
    }
    for (const queue of this.work.keys()) {
      if (this.recentWorkOf(queue) < MIN_WORK_CORE_MS) this.work.delete(queue)
    }
  }

  /**
   * Returns a test of the workers of a service that the tasks of a queue may use now. The first worker of the cell is left to the
   * suspects of contained queues, so that they don't take the others from the jobs that may end well.
   */
  filterFor (queue: string, service: string, isSuspect = false): (agent: AgentRecord) => boolean {
    if (!this.isActive) return () => true
    const cell = this.cellOf(service)
    if (cell.length < MIN_CELL_SIZE) return () => true
    const [quarantine, ...rest] = cell
    if (!this.isContained(queue)) return ({ agentId }) => agentId !== quarantine && !rest.includes(agentId)
    return ({ agentId }) => isSuspect ? agentId === quarantine : rest.includes(agentId)
  }

  /** Returns the cell of a service, without workers in evacuated failure domains. Every entry orders the workers alike, so that their cells agree as far as they know the same workers. */
  private cellOf (service: string): string[] {
    const ids = [...this.agents.usable].filter(({ view }) => view.service === service).map(({ agentId }) => agentId)
    ids.sort((left, right) => this.rankOf(left) - this.rankOf(right))
    return ids.slice(0, Math.floor(ids.length * CELL_SHARE))
  }

  private rankOf (agentId: string): number {
    const known = this.ranks.get(agentId)
    if (known !== undefined) return known
    const rank = createHash('sha1').update(agentId).digest().readUInt32BE(0)
    this.ranks.set(agentId, rank)
    return rank
  }

  private workShareOf (queue: string): number {
    let total = 0
    for (const each of this.work.keys()) total += this.recentWorkOf(each)
    return total === 0 ? 0 : this.recentWorkOf(queue) / total
  }

  private recentWorkOf (queue: string): number {
    const recent = this.work.get(queue)
    return recent === undefined ? 0 : recent.coreMs * 0.5 ** ((this.timers.nowMs() - recent.atMs) / WORK_HALF_LIFE_MS)
  }
}

function dropOldVerdicts ({ verdictsAtMs }: QueueState, nowMs: number): void {
  for (const [jobId, atMs] of verdictsAtMs) {
    if (atMs <= nowMs - VERDICT_WINDOW_MS) verdictsAtMs.delete(jobId)
  }
}
