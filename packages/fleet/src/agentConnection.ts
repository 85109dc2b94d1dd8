/** The entry's side of a link to an agent. */
import * as protocol from '@egretvalve/protocol'
import * as runtime from '@egretvalve/runtime'
import type * as scheduler from '@egretvalve/scheduler'
import type * as settings from '@egretvalve/settings'
import * as workers from '@egretvalve/workers'
import { BUSY_BEAT_MS, BUSY_SILENCE_MS, IDLE_BEAT_MS, IDLE_SILENCE_MS, VERSION_BEAT_MS } from './defaults.ts'
import { encodeDemand, encodeOrder } from './messages.ts'
import { Heard } from './watchdog.ts'

/** A stream on which an agent has greeted. */
export class AgentConnection implements scheduler.AgentPort {
  readonly agentId: string
  readonly life: string
  readonly failureDomain: string
  /** Version of the configuration that the agent is known to have. */
  configVersion: number
  private readonly heard: Heard
  private orders: protocol.runs.IRunOrder[] = []
  private lastSentAtMs = 0
  private lastBeatAtMs = 0
  /** Tasks sent and not reported, by key. */
  private readonly busy = new Set<string>()

  constructor (
    greeting: protocol.runs.IAgentGreeting,
    private readonly outbox: runtime.Outbox<protocol.runs.IFromEntry>,
    private readonly timers: settings.Timers,
    private readonly createBeat: () => protocol.runs.IBeat,
    private readonly onSilent: () => void
  ) {
    this.agentId = greeting.agentId ?? ''
    this.life = greeting.life ?? ''
    this.failureDomain = greeting.failureDomain ?? ''
    this.configVersion = greeting.configVersion ?? 0
    this.heard = new Heard(timers)
  }

  silentMs (): number {
    return this.heard.silentMs
  }

  noteHeard (): void {
    this.heard.note()
  }

  /** Sends a task soon, with the others of this turn. */
  order (job: scheduler.Job, task: scheduler.Task, expiresInMs: number): void {
    this.busy.add(workers.taskKey(task.ref))
    const last = this.orders.at(-1)
    const { jobId, step } = task.ref
    if (last?.jobId === jobId && last.step === step) {
      last.tasks!.push({ index: task.ref.index, attempt: task.attempt })
      return
    }
    this.orders.push(encodeOrder(job, task, expiresInMs))
    if (this.orders.length === 1) setImmediate(() => { this.flush() })
  }

  stop (ref: workers.TaskRef): void {
    this.flush()
    this.send({ stop: { jobId: ref.jobId, step: ref.step, indexes: [ref.index] } })
  }

  tellDemand (demand: workers.Demand | undefined): void {
    this.flush()
    this.send({ demand: encodeDemand(demand, this.timers.nowMs()) })
  }

  /** Notes the tasks that have ended. */
  noteEnds (ends: readonly scheduler.ReportedEnd[]): void {
    for (const end of ends) this.busy.delete(workers.taskKey(end.ref))
  }

  send (message: protocol.runs.IFromEntry): void {
    if (this.outbox.send(message)) this.lastSentAtMs = this.timers.nowMs()
  }

  /** Ends the stream. */
  close (): void {
    this.outbox.end()
    this.outbox.close()
  }

  private flush (): void {
    if (this.orders.length === 0) return
    const orders = this.orders
    this.orders = []
    this.send({ orders: { orders } })
  }

  beat (): void {
    this.lastBeatAtMs = this.timers.nowMs()
    this.send({ beat: this.createBeat() })
  }

  /** Sends a beat when nothing else was sent, and ends a stream on which the agent is silent. */
  keepAlive (): void {
    const isBusy = this.busy.size > 0
    const nowMs = this.timers.nowMs()
    if (nowMs - this.lastSentAtMs > (isBusy ? BUSY_BEAT_MS : IDLE_BEAT_MS) || nowMs - this.lastBeatAtMs > VERSION_BEAT_MS) {
      this.beat()
    }
    if (this.silentMs() > (isBusy ? 2 * BUSY_SILENCE_MS : IDLE_SILENCE_MS)) this.onSilent()
  }
}
