/** Orders to stop runs. An order stands until the end of its run is known, and is repeated on every link that opens meanwhile. */
import type * as settings from '@egretvalve/settings'
import * as workers from '@egretvalve/workers'
import type { AgentPort, AgentRecord } from './agents.ts'
import { events } from './events.ts'
import type { SentTask } from './sentTasks.ts'

/** A task attempt that an agent reports as held. */
export interface HeldTask {
  ref: workers.TaskRef
  attempt: number
}

/** Why a run has outlived the order to stop it. */
enum StaleReason {
  /** No link was open when the stop was ordered. */
  LinkClosed = 'link was closed',
  /** The link that carried the order has closed since. */
  LinkLost = 'link was lost',
  /** The agent has not reported the end of the run in time. */
  Unconfirmed = 'end not reported',
  /** The entry has no record of the run. */
  Unknown = 'run unknown to the entry'
}

interface StopOrder {
  readonly agent: AgentRecord
  readonly orderedAtMs: number
  /** Time of the last message; undefined while none could be sent. */
  sentAtMs: number | undefined
  /** True once the run has been counted and logged as stale. */
  isStale: boolean
}

/** Runs of one job at one agent that are stopped late for the same reason. */
interface StaleRuns {
  jobId: string
  agentId: string
  reason: StaleReason
  /** Each as step, index and attempt. */
  tasks: string[]
  /** Longest time since the stop was first ordered, in milliseconds; undefined for unknown runs. */
  sinceOrderedMs?: number
}

/** Dependencies of the orders. */
export interface StopOrdersContext {
  timers: settings.Timers
  log: settings.Log
  /** Time without a report of the run's end after which an order is repeated on an open link, in milliseconds. */
  repeatMs: number
}

/** Stop orders of one entry. */
export class StopOrders {
  /** Number of runs that went on after this entry had ordered their stop or given them up, and that were stopped later. */
  staleCount = 0
  private readonly orders = new Map<SentTask, StopOrder>()
  /** Runs with a standing order, by the key of their task. */
  private readonly runs = new Map<string, SentTask>()
  private readonly unlogged = new Map<string, StaleRuns>()

  constructor (private readonly context: StopOrdersContext) {}

  /** Orders the stop of a run. Does nothing if it has been ordered already. */
  order (agent: AgentRecord, sent: SentTask): void {
    if (this.orders.has(sent)) return
    this.runs.set(workers.taskKey(sent.task.ref), sent)
    this.orders.set(sent, { agent, orderedAtMs: this.nowMs, sentAtMs: agent.port === undefined ? undefined : this.nowMs, isStale: false })
    agent.port?.stop(sent.task.ref)
  }

  /** Withdraws the order for a run that has ended or is certain to have ended. */
  withdraw (sent: SentTask | undefined): void {
    if (sent === undefined || !this.orders.delete(sent)) return
    const key = workers.taskKey(sent.task.ref)
    if (this.runs.get(key) === sent) this.runs.delete(key)
  }

  /** Returns the agent of a run of the task that is being stopped. Until its end is known, the task may be sent only there, as that agent starts it after the end. */
  findHolder (task: workers.TaskRef): string | undefined {
    if (this.runs.size === 0) return undefined
    const sent = this.runs.get(workers.taskKey(task))
    return sent === undefined ? undefined : this.orders.get(sent)?.agent.agentId
  }

  /** Repeats the standing orders for an agent on a link that has just opened. */
  repeatOn (agent: AgentRecord): void {
    for (const [sent, order] of this.orders) {
      if (order.agent === agent) this.repeat(sent, order, order.sentAtMs === undefined ? StaleReason.LinkClosed : StaleReason.LinkLost)
    }
    this.writeLog()
  }

  /** Repeats the orders whose runs have not ended in time. Called periodically. */
  repeatOverdue (): void {
    for (const [sent, order] of this.orders) {
      if (this.nowMs - (order.sentAtMs ?? 0) >= this.context.repeatMs) this.repeat(sent, order, StaleReason.Unconfirmed)
    }
    this.writeLog()
  }

  /** Stops runs that the agent holds and of which this entry has no record. */
  stopUnknown (port: AgentPort, held: readonly HeldTask[]): void {
    for (const { ref, attempt } of held) {
      port.stop(ref)
      this.record(port.agentId, ref, attempt, StaleReason.Unknown)
    }
    this.writeLog()
  }

  private get nowMs (): number {
    return this.context.timers.nowMs()
  }

  private repeat (sent: SentTask, order: StopOrder, delay: StaleReason): void {
    const { port, incarnation } = order.agent
    if (port?.incarnation !== incarnation) return
    port.stop(sent.task.ref)
    order.sentAtMs = this.nowMs
    if (order.isStale) return
    order.isStale = true
    this.record(order.agent.agentId, sent.task.ref, sent.attempt, delay, this.nowMs - order.orderedAtMs)
  }

  private record (agentId: string, { jobId, step, index }: workers.TaskRef, attempt: number, reason: StaleReason, sinceOrderedMs?: number): void {
    this.staleCount++
    const key = `${agentId} ${jobId} ${reason}`
    const stale = this.unlogged.get(key) ?? { jobId, agentId, reason, tasks: [] }
    stale.tasks.push(`${step}.${index}#${attempt}`)
    if (sinceOrderedMs !== undefined) stale.sinceOrderedMs = Math.max(stale.sinceOrderedMs ?? 0, Math.round(sinceOrderedMs))
    this.unlogged.set(key, stale)
  }

  /** Writes one line for each job, agent and reason of the runs recorded since the last call. */
  private writeLog (): void {
    for (const { tasks, ...stale } of this.unlogged.values()) this.context.log.event(events.StaleRunStopped, { ...stale, tasks: tasks.join(' ') })
    this.unlogged.clear()
  }
}
