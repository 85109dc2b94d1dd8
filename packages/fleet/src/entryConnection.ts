/** The agent's side of a link: one connection to an entry, kept open until it is given up. */
import * as protocol from '@egretvalve/protocol'
import * as runtime from '@egretvalve/runtime'
import type * as settings from '@egretvalve/settings'
import type * as workers from '@egretvalve/workers'
import { BUSY_BEAT_MS, BUSY_SILENCE_MS, IDLE_BEAT_MS, IDLE_SILENCE_MS, MAX_REDIAL_MS, MIN_REDIAL_MS } from './defaults.ts'
import { events } from './events.ts'
import { Heard } from './watchdog.ts'

/** What the agent does for its connections. */
export interface ConnectionHandler {
  createGreeting: (connection: EntryConnection) => protocol.runs.IAgentGreeting
  /** Called once the entry has greeted. */
  onOpen: (connection: EntryConnection, greeting: protocol.runs.IEntryGreeting) => void
  onMessage: (connection: EntryConnection, message: protocol.runs.IFromEntry) => void
  /** True while the agent holds tasks of the entry. */
  isBusy: (connection: EntryConnection) => boolean
  createBeat: (connection: EntryConnection) => protocol.runs.IBeat
}

/** Services of a connection. */
export interface ConnectionServices {
  timers: settings.Timers
  log: settings.Log
}

/** A connection to one entry's address. */
export class EntryConnection {
  /** Life of the entry that greeted last. */
  life = ''
  /** Version of the configuration that the entry was sent on the current stream. */
  sentConfigVersion = 0
  /** Steady time at which the entry greeted on the current stream. */
  openedAtMs = 0
  /** Tasks received on the current stream. */
  received = 0
  /** Number of the load that the entry was told last. */
  toldLoadNumber = 0
  /** That load. */
  toldLoad: workers.ExecutorLoad | undefined
  /** Steady time since which the entry knows that the agent gives up the link; undefined while the link is wanted. */
  leavingSinceMs: number | undefined
  private readonly heard: Heard
  private outbox: runtime.Outbox<protocol.runs.IFromAgent> | undefined
  private isGreeted = false
  private closedSinceMs: number
  private lastSentAtMs = 0
  private redialMs = MIN_REDIAL_MS
  private stopStream: () => void = () => {}
  private readonly abort = new AbortController()

  constructor (readonly address: string, private readonly handler: ConnectionHandler, private readonly services: ConnectionServices) {
    this.heard = new Heard(services.timers)
    this.closedSinceMs = services.timers.nowMs()
  }

  get isOpen (): boolean {
    return this.isGreeted
  }

  /** Time for which no link to the entry has been open, in milliseconds; 0 while one is. */
  get closedMs (): number {
    return this.isGreeted ? 0 : this.services.timers.nowMs() - this.closedSinceMs
  }

  /** Time since the entry's last message, in milliseconds. */
  get silentMs (): number {
    return this.heard.silentMs
  }

  /** Dials until `close`. */
  async run (): Promise<void> {
    while (!this.abort.signal.aborted) {
      await this.exchange()
      await this.services.timers.sleep(this.nextRedialMs(), this.abort.signal)
    }
  }

  /** Sends a message, or returns false when no stream is open. */
  send (message: protocol.runs.IFromAgent): boolean {
    if (this.outbox?.send(message) !== true) return false
    this.lastSentAtMs = this.services.timers.nowMs()
    return true
  }

  close (): void {
    this.abort.abort()
  }

  private async exchange (): Promise<void> {
    const dialed = runtime.dialLink(this.address, protocol.runLink.exchange)
    const stop = (): void => { dialed.close() }
    this.abort.signal.addEventListener('abort', stop, { once: true })
    this.outbox = new runtime.Outbox(dialed.stream)
    this.received = 0
    this.heard.note()
    this.send({ greeting: this.handler.createGreeting(this) })
    this.stopStream = stop
    let reason = 'ended by the entry'
    try {
      for await (const message of dialed.stream) this.receive(message)
    } catch (thrown) {
      reason = protocol.toStepError(thrown, 'link.read', this.address).describe()
    }
    this.abort.signal.removeEventListener('abort', stop)
    stop()
    this.noteClosed(reason)
  }

  private receive (message: protocol.runs.FromEntry): void {
    this.heard.note()
    if (message.greeting != null) this.greet(message.greeting)
    else this.handler.onMessage(this, message)
  }

  private greet (greeting: protocol.runs.IEntryGreeting): void {
    this.life = greeting.life ?? ''
    this.isGreeted = true
    this.openedAtMs = this.services.timers.nowMs()
    this.sentConfigVersion = 0
    this.redialMs = MIN_REDIAL_MS
    this.services.log.event(events.LinkOpened, { peer: this.address, entryId: greeting.entryId ?? '', life: this.life })
    this.handler.onOpen(this, greeting)
  }

  /** Sends a beat when nothing else was sent, and closes a stream on which the entry is silent. */
  keepAlive (): void {
    if (this.outbox === undefined) return
    const isBusy = this.handler.isBusy(this)
    if (this.services.timers.nowMs() - this.lastSentAtMs > (isBusy ? BUSY_BEAT_MS : IDLE_BEAT_MS)) this.send({ beat: this.handler.createBeat(this) })
    if (this.silentMs > (isBusy ? BUSY_SILENCE_MS : IDLE_SILENCE_MS)) this.stopStream()
  }

  private noteClosed (reason: string): void {
    this.outbox?.close()
    this.outbox = undefined
    if (!this.isGreeted) return
    this.isGreeted = false
    this.closedSinceMs = this.services.timers.nowMs()
    this.services.log.event(events.LinkClosed, { peer: this.address, step: 'link.read', reason, silentMs: Math.round(this.silentMs) })
  }

  private nextRedialMs (): number {
    const delayMs = this.redialMs * (0.5 + Math.random())
    this.redialMs = Math.min(this.redialMs * 2, MAX_REDIAL_MS)
    return delayMs
  }
}
