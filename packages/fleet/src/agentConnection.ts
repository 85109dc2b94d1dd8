/** The entry's side of a link to an agent. */
import * as protocol from '@egretvalve/protocol'
import * as runtime from '@egretvalve/runtime'
import type * as scheduler from '@egretvalve/scheduler'
import type * as settings from '@egretvalve/settings'
import * as workers from '@egretvalve/workers'
import { BUSY_HEARTBEAT_MS, BUSY_LINK_TIMEOUT_MS, IDLE_HEARTBEAT_MS, IDLE_LINK_TIMEOUT_MS, VERSION_HEARTBEAT_MS } from './defaults.ts'
import { PeerActivity } from './liveness.ts'
import { encodeDemand, encodeOrder } from './messages.ts'

/** A stream on which the greeting of an agent has arrived. */
export class AgentConnection implements scheduler.AgentPort {
  readonly agentId: string
  readonly incarnation: string
  readonly failureDomain: string
  /** Highest configuration version that the agent has reported or was sent. */
  configVersion: number
  /** Highest revision of the evacuations that the agent has reported or was sent. */
  evacuationRevision: number
  /** True if the agent is linked to another entry that isn't overloaded. */
  othersHaveRoom = false
  private readonly activity: PeerActivity
  /** Messages of this event loop turn. At most one of the two lists holds any, so that orders and stops leave in their order. */
  private orders: protocol.runs.IRunOrder[] = []
  private stops: protocol.runs.IStopRuns[] = []
  private isFlushScheduled = false
  /** Time of the last message read, on the agent's clock. */
  private heardAtMs = 0
  private lastSentAtMs = 0
  private lastHeartbeatAtMs = 0
  /** Keys of tasks that were sent and whose end has not been reported. */
  private readonly unreportedTasks = new Set<string>()

  constructor (
    greeting: protocol.runs.IAgentGreeting,
    private readonly outbox: runtime.Outbox<protocol.runs.IFromEntry>,
    private readonly timers: settings.Timers,
    private readonly createHeartbeat: () => protocol.runs.IBeat,
    private readonly onUnresponsive: () => void
  ) {
    this.agentId = greeting.agentId ?? ''
    this.incarnation = greeting.life ?? ''
    this.failureDomain = greeting.failureDomain ?? ''
    this.configVersion = greeting.configVersion ?? 0
    this.evacuationRevision = greeting.evacuations?.revision ?? 0
    this.activity = new PeerActivity(timers)
  }

  sinceLastMessageMs (): number {
    return this.activity.sinceLastMessageMs
  }

  /** Records that a message has arrived. `sentAtMs` is the time at which the agent sent it, on the agent's clock; the agent's owner lease counts from it. */
  recordMessage (sentAtMs: number): void {
    this.activity.record()
    this.heardAtMs = sentAtMs
  }

  /** Queues a task; all tasks of one event loop turn are sent in one message. */
  sendTask (job: scheduler.Job, task: scheduler.Task, expiresInMs: number, suspicion: scheduler.Suspicion): void {
    this.unreportedTasks.add(workers.taskKey(task.ref))
    this.flushStops()
    const last = this.orders.at(-1)
    const { jobId, step } = task.ref
    if (last?.jobId === jobId && last.step === step) {
      last.tasks!.push({ index: task.ref.index, attempt: task.attempt, ...suspicion })
      return
    }
    this.orders.push(encodeOrder(job, task, expiresInMs, suspicion))
    this.scheduleFlush()
  }

  /** Queues a stop; all stops of a job's step in one event loop turn are sent in one message. */
  stop ({ jobId, step, index }: workers.TaskRef): void {
    this.flushOrders()
    const last = this.stops.at(-1)
    if (last?.jobId === jobId && last.step === step) last.indexes!.push(index)
    else this.stops.push({ jobId, step, indexes: [index] })
    this.scheduleFlush()
  }

  sendDemand (demand: workers.Demand | undefined): void {
    this.flush()
    this.send({ demand: encodeDemand(demand, this.timers.nowMs()) })
  }

  /** Removes ended tasks from those that await a report. */
  recordEnds (ends: readonly scheduler.ReportedEnd[]): void {
    for (const end of ends) this.unreportedTasks.delete(workers.taskKey(end.ref))
  }

  send (message: protocol.runs.IFromEntry): void {
    if (this.outbox.send({ ...message, heardAtMs: this.heardAtMs })) this.lastSentAtMs = this.timers.nowMs()
  }

  /** Ends the stream. */
  close (): void {
    this.flush()
    this.outbox.end()
    this.outbox.close()
  }

  private scheduleFlush (): void {
    if (this.isFlushScheduled) return
    this.isFlushScheduled = true
    setImmediate(() => {
      this.isFlushScheduled = false
      this.flush()
    })
  }

  private flush (): void {
    this.flushOrders()
    this.flushStops()
  }

  private flushStops (): void {
    const stops = this.stops
    this.stops = []
    for (const stop of stops) this.send({ stop })
  }

  private flushOrders (): void {
    if (this.orders.length === 0) return
    const orders = this.orders
    this.orders = []
    this.send({ orders: { orders } })
  }

  sendHeartbeat (): void {
    this.flush()
    this.lastHeartbeatAtMs = this.timers.nowMs()
    this.send({ beat: this.createHeartbeat() })
  }

  /** Sends a heartbeat if nothing else was sent within its period or the version heartbeat is due, and calls back when the agent is unresponsive. */
  keepAlive (): void {
    const isBusy = this.unreportedTasks.size > 0
    const nowMs = this.timers.nowMs()
    if (nowMs - this.lastSentAtMs > (isBusy ? BUSY_HEARTBEAT_MS : IDLE_HEARTBEAT_MS) || nowMs - this.lastHeartbeatAtMs > VERSION_HEARTBEAT_MS) {
      this.sendHeartbeat()
    }
    if (this.sinceLastMessageMs() > (isBusy ? 2 * BUSY_LINK_TIMEOUT_MS : IDLE_LINK_TIMEOUT_MS)) this.onUnresponsive()
  }
}
