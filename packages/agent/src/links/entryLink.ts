/** The agent's stream to one entry: connects, exchanges hello messages and handles messages until the agent stops. */
import * as protocol from '@egretvalve/protocol'
import * as runtime from '@egretvalve/runtime'
import type * as settings from '@egretvalve/settings'
import { events } from '../events.ts'

const MIN_BACKOFF_MS = 100
const MAX_BACKOFF_MS = 2_000
const HEARTBEAT_PERIOD_MS = 60_000

/** Callbacks of a link into its agent. */
export interface EntryLinkHandler {
  createHello: (link: EntryLink) => protocol.wire.IAgentHello
  createLoad: (link: EntryLink) => protocol.wire.ILoadReport
  onMessage: (link: EntryLink, message: protocol.wire.EntryToAgent) => void
  onClosed: (link: EntryLink) => void
}

/** Services shared by all links. */
export interface EntryLinkServices {
  timers: settings.Timers
  log: settings.Log
  tls: runtime.LinkTls | undefined
}

/** Keeps a stream to one entry open and reconnects with exponential backoff. */
export class EntryLink {
  /** Id from the entry's hello message; empty until it arrives and while the stream is closed. */
  entryId = ''
  incarnation = ''
  /** Tasks received since the stream opened. */
  receivedTasks = 0
  private outbox: runtime.Outbox<protocol.wire.IAgentToEntry> | undefined
  private dialed: { close: () => void } | undefined
  private readonly abort = new AbortController()
  private reports = new Map<string, protocol.wire.IJobReport>()
  private isFlushScheduled = false
  private backoffMs = MIN_BACKOFF_MS
  private ended = Promise.resolve()

  constructor (
    readonly address: string,
    private readonly handler: EntryLinkHandler,
    private readonly services: EntryLinkServices
  ) {}

  /** True while the stream is open and the entry's hello message has arrived. */
  get isOpen (): boolean {
    return this.outbox !== undefined && this.entryId !== ''
  }

  /** True while a flush of reports and load is scheduled. */
  get isReportPending (): boolean {
    return this.isFlushScheduled
  }

  /** Starts the reconnect loop, which runs until `stop`. */
  run (): void {
    this.ended = this.exchangeUntilStopped()
  }

  private async exchangeUntilStopped (): Promise<void> {
    while (!this.abort.signal.aborted) {
      await this.exchange()
      if (this.abort.signal.aborted) return
      await this.services.timers.sleep(this.nextBackoffMs(), this.abort.signal)
    }
  }

  /** Sends a message; returns false if the stream is closed. */
  send (message: protocol.wire.IAgentToEntry): boolean {
    return this.outbox?.send(message) ?? false
  }

  /** Adds a task's report to the next batch. */
  report (job: protocol.wire.IJobStart, task: protocol.wire.ITaskReport): void {
    const keyText = protocol.submissionKeyText(job.key!)
    const pending = this.reports.get(keyText)
    if (pending === undefined) {
      this.reports.set(keyText, { key: job.key, taskCount: job.taskCount, partition: job.partition, epoch: job.epoch, tasks: [task] })
    } else {
      pending.tasks!.push(task)
    }
    this.scheduleFlush()
  }

  /** Schedules a flush at the end of the current event-loop turn, so that reports of one turn share a message. */
  scheduleFlush (): void {
    if (this.isFlushScheduled) return
    this.isFlushScheduled = true
    setImmediate(() => { this.flush() })
  }

  /** Sends the pending reports and the current load immediately. */
  flush (): void {
    this.isFlushScheduled = false
    const jobs = [...this.reports.values()]
    this.reports = new Map()
    this.send({ report: { jobs, load: this.handler.createLoad(this) } })
  }

  /** Flushes, sends a goodbye and closes the stream without reconnecting; resolves when the entry has read everything and ended the stream, or the stream broke. */
  async stop (reason: string): Promise<void> {
    this.flush()
    this.send({ goodbye: { reason } })
    this.abort.abort()
    if (!this.isOpen) this.dialed?.close()
    this.outbox?.end()
    await this.ended
  }

  private async exchange (): Promise<void> {
    const dialed = runtime.dialLink(this.address, protocol.agentLink.exchange, this.services.tls)
    this.dialed = dialed
    this.outbox = new runtime.Outbox(dialed.stream)
    this.receivedTasks = 0
    this.outbox.send({ hello: this.handler.createHello(this) })
    const heartbeat = this.services.timers.every(HEARTBEAT_PERIOD_MS, () => {
      this.send({ heartbeat: { wallClockMs: this.services.timers.wallClockMs() } })
    })
    let reason = 'ended by the entry'
    try {
      for await (const message of dialed.stream) this.receive(message)
    } catch (thrown) {
      reason = protocol.toStepError(thrown, 'link.read', this.address).describe()
    }
    heartbeat.cancel()
    dialed.close()
    this.close(reason)
  }

  private receive (message: protocol.wire.EntryToAgent): void {
    if (message.hello !== null && message.hello !== undefined) this.handleHello(message.hello)
    this.countTasks(message.start)
    this.handler.onMessage(this, message)
  }

  private countTasks (start: protocol.wire.IStartBatch | null | undefined): void {
    for (const job of start?.jobs ?? []) this.receivedTasks += job.tasks?.length ?? 0
  }

  private handleHello (hello: protocol.wire.IEntryHello): void {
    this.entryId = hello.entryId ?? ''
    this.incarnation = hello.incarnation ?? ''
    this.backoffMs = MIN_BACKOFF_MS
    this.services.log.event(events.LinkOpened, { peer: this.address, entryId: this.entryId })
    const offsetMs = Math.abs((hello.wallClockMs ?? 0) - this.services.timers.wallClockMs())
    if (offsetMs > protocol.MAX_CLOCK_SKEW_MS) this.services.log.event(events.ClockOff, { peer: this.address, offsetMs })
    // The load may have changed since the agent's own hello message was written.
    this.scheduleFlush()
  }

  private close (reason: string): void {
    const wasOpen = this.isOpen
    this.outbox?.close()
    this.outbox = undefined
    this.entryId = ''
    if (!wasOpen) return
    this.services.log.event(events.LinkClosed, { peer: this.address, step: 'link.read', reason })
    this.handler.onClosed(this)
  }

  private nextBackoffMs (): number {
    const delayMs = this.backoffMs * (0.5 + Math.random())
    this.backoffMs = Math.min(this.backoffMs * 2, MAX_BACKOFF_MS)
    return delayMs
  }
}
