/** A lightweight agent for measuring entries: real streams to entries, simulated tasks. */
import * as protocol from '@egretvalve/protocol'
import * as runtime from '@egretvalve/runtime'
import type * as settings from '@egretvalve/settings'

const { wire } = protocol

/** Same as the heartbeat period of a real agent. */
const HEARTBEAT_PERIOD_MS = 60_000
const RESULT = Buffer.from('{}')
const CONNECTIONS = 64

export interface LightAgentOptions {
  agentId: string
  service: string
  slots: number
  entryAddresses: readonly string[]
  timers: settings.Timers
  /** Run time of each task in milliseconds. */
  runMs: number
}

interface OpenLink {
  outbox: runtime.Outbox<protocol.wire.IAgentToEntry>
  close: () => void
  reports: Map<string, protocol.wire.IJobReport>
  receivedTasks: number
  isFlushScheduled: boolean
}

/** Reports each task as finished after its run time, in batches as a real agent does. */
export class LightAgent {
  started = 0
  private running = 0
  private readonly links: OpenLink[] = []
  private readonly heartbeats: settings.TimerHandle[] = []

  constructor (private readonly options: LightAgentOptions) {}

  /** Opens a stream to each entry and resolves once all entries have sent their hello. */
  async start (): Promise<void> {
    await Promise.all(this.options.entryAddresses.map(address => this.open(address)))
  }

  /** Closes all streams. */
  stop (): void {
    for (const heartbeat of this.heartbeats) heartbeat.cancel()
    for (const link of this.links) link.close()
  }

  private async open (address: string): Promise<void> {
    const dialed = runtime.dialLink(address, protocol.agentLink.exchange)
    const link: OpenLink = { outbox: new runtime.Outbox(dialed.stream), close: dialed.close, reports: new Map(), receivedTasks: 0, isFlushScheduled: false }
    this.links.push(link)
    const { timers, agentId } = this.options
    link.outbox.send({ hello: { agentId, incarnation: protocol.createIncarnation(), wallClockMs: timers.wallClockMs(), load: this.createLoad(link) } })
    this.heartbeats.push(timers.every(HEARTBEAT_PERIOD_MS, () => { link.outbox.send({ heartbeat: { wallClockMs: timers.wallClockMs() } }) }))
    await new Promise<void>(resolve => { this.serve(dialed.stream, link, resolve).catch(() => {}) })
  }

  private async serve (stream: AsyncIterable<protocol.wire.EntryToAgent>, link: OpenLink, onGreeted: () => void): Promise<void> {
    for await (const message of stream) {
      if (message.hello != null) onGreeted()
      if (message.fence != null) link.outbox.send({ fenceAnswer: { fenceId: message.fence.fenceId, jobs: [], last: true } })
      for (const job of message.start?.jobs ?? []) this.startJob(job, link)
    }
  }

  private startJob (job: protocol.wire.IJobStart, link: OpenLink): void {
    for (const task of job.tasks ?? []) {
      this.started++
      link.receivedTasks++
      this.running++
      if (this.options.runMs === 0) this.finish(job, task, link)
      else this.options.timers.after(this.options.runMs, () => { this.finish(job, task, link) })
    }
  }

  private finish (job: protocol.wire.IJobStart, task: protocol.wire.ITaskStart, link: OpenLink): void {
    this.running--
    const keyText = protocol.submissionKeyText(job.key!)
    const report: protocol.wire.ITaskReport = {
      index: task.index,
      attempt: task.attempt,
      state: wire.TaskState.TASK_STATE_FINISHED,
      statusCode: 200,
      body: RESULT,
      contentType: 'application/json',
      runMs: this.options.runMs
    }
    const pending = link.reports.get(keyText)
    if (pending !== undefined) pending.tasks!.push(report)
    else link.reports.set(keyText, { key: job.key, taskCount: job.taskCount, partition: job.partition, epoch: job.epoch, tasks: [report] })
    this.scheduleFlush(link)
  }

  private scheduleFlush (link: OpenLink): void {
    if (link.isFlushScheduled) return
    link.isFlushScheduled = true
    setImmediate(() => {
      link.isFlushScheduled = false
      const jobs = [...link.reports.values()]
      link.reports = new Map()
      link.outbox.send({ report: { jobs, load: this.createLoad(link) } })
    })
  }

  private createLoad (link: OpenLink): protocol.wire.ILoadReport {
    const { service, slots } = this.options
    const capacity = { slots, connections: CONNECTIONS, cores: 30, memoryMb: 128_000, accelerators: 0 }
    const freeSlots = Math.max(0, slots - this.running)
    return {
      service,
      freeSlots,
      freeLongSlots: freeSlots,
      queued: 0,
      running: this.running,
      receivedTasks: link.receivedTasks,
      total: capacity,
      free: capacity,
      rack: 'rack-1'
    }
  }
}
