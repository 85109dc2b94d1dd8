/** The agent's side of a link: a connection to one entry, redialled until it is closed. */
import * as protocol from '@egretvalve/protocol'
import * as runtime from '@egretvalve/runtime'
import type * as settings from '@egretvalve/settings'
import type * as workers from '@egretvalve/workers'
import { BUSY_HEARTBEAT_MS, BUSY_LINK_TIMEOUT_MS, IDLE_HEARTBEAT_MS, IDLE_LINK_TIMEOUT_MS, MAX_REDIAL_MS, MIN_REDIAL_MS, REDIAL_SHARE } from './defaults.ts'
import { events } from './events.ts'
import { PeerActivity } from './liveness.ts'
import { repeatUntilAborted } from './loops.ts'

/** Callbacks of a connection to its agent. */
export interface ConnectionHandler {
  createGreeting: (connection: EntryConnection) => protocol.runs.IAgentGreeting
  /** Called when the entry's greeting has arrived. */
  onOpen: (connection: EntryConnection, greeting: protocol.runs.IEntryGreeting) => void
  /** `heardAtMs` is the time of the agent's last message that the entry had read when it sent this one. Called for the greeting too, before `onOpen`. */
  onHeard: (connection: EntryConnection, heardAtMs: number) => void
  onMessage: (connection: EntryConnection, message: protocol.runs.IFromEntry) => void
  /** True while the agent holds tasks of the entry. */
  isBusy: (connection: EntryConnection) => boolean
  createHeartbeat: (connection: EntryConnection) => protocol.runs.IBeat
}

/** Dependencies of a connection. */
export interface ConnectionServices {
  timers: settings.Timers
  log: settings.Log
  /** Clock whose time the agent's messages carry. */
  clock: workers.ElapsedClock
  /** Opens a stream to an entry. Defaults to one over gRPC. */
  dialLink?: (address: string) => runtime.DialedLink<protocol.runs.FromEntry, protocol.runs.IFromAgent>
  /** Returns a random number from 0 to 1, for the jitter of redials. */
  random?: () => number
}

/** A connection to the address of one entry. */
export class EntryConnection {
  /** Incarnation from the last greeting; empty before the first. */
  incarnation = ''
  /** Version of the configuration last sent on the current stream. */
  sentConfigVersion = 0
  /** Highest revision of the evacuations that the entry has reported or was sent on the current stream. */
  evacuationRevision = 0
  /** Monotonic time of the greeting on the current stream, in milliseconds. */
  openedAtMs = 0
  /** Time at which the list of held tasks was sent on the current stream, on the agent's clock. Infinite before. */
  heldSentAtMs = Number.POSITIVE_INFINITY
  /** Number of tasks received on the current stream. */
  received = 0
  /** True if the entry is overloaded, by its last heartbeat. */
  isOverloaded = false
  /** Whether the entry was last told that others have room. */
  toldOthersHaveRoom = false
  /** Sequence number of the load last reported to the entry. */
  reportedLoadSequence = 0
  /** Load last reported to the entry. */
  reportedLoad: workers.ExecutorLoad | undefined
  /** Value of `received` in that report: the entry deducts the tasks that it sent later. */
  reportedReceived = 0
  /** Monotonic time at which the entry was notified that the link will close, in milliseconds; undefined while the link stays open. */
  closingSinceMs: number | undefined
  private readonly activity: PeerActivity
  private outbox: runtime.Outbox<protocol.runs.IFromAgent> | undefined
  private isGreeted = false
  private closedSinceMs: number
  private lastSentAtMs = 0
  private stopStream: () => void = () => {}
  private readonly abort = new AbortController()

  constructor (readonly address: string, private readonly handler: ConnectionHandler, private readonly services: ConnectionServices) {
    this.activity = new PeerActivity(services.timers)
    this.closedSinceMs = services.timers.nowMs()
  }

  /** True once the entry has greeted on the current stream. */
  get isOpen (): boolean {
    return this.isGreeted
  }

  /** Time since the link closed, in milliseconds; 0 while it is open. */
  get closedMs (): number {
    return this.isGreeted ? 0 : this.services.timers.nowMs() - this.closedSinceMs
  }

  /** Time since the entry's last message, in milliseconds. */
  get sinceLastMessageMs (): number {
    return this.activity.sinceLastMessageMs
  }

  /** Dials and redials until `close`, with jitter and longer pauses the longer the link has been closed. */
  async run (): Promise<void> {
    await repeatUntilAborted('link.dial', this.services, this.abort.signal, async () => {
      await this.exchange()
      return this.nextRedialMs()
    })
  }

  /** Sends a message. Returns false if no stream is open. */
  send (message: protocol.runs.IFromAgent): boolean {
    if (this.outbox?.send({ ...message, sentAtMs: this.services.clock.nowMs() }) !== true) return false
    this.lastSentAtMs = this.services.timers.nowMs()
    return true
  }

  /** Sends the list of tasks that the agent holds for the entry. */
  sendHeld (runs: protocol.runs.IHeldRun[]): void {
    this.heldSentAtMs = this.services.clock.nowMs()
    this.send({ held: { runs } })
  }

  close (): void {
    this.abort.abort()
  }

  private async exchange (): Promise<void> {
    const dialed = this.services.dialLink?.(this.address) ?? runtime.dialLink(this.address, protocol.runLink.exchange)
    const stop = (): void => { dialed.close() }
    this.abort.signal.addEventListener('abort', stop, { once: true })
    this.outbox = new runtime.Outbox(dialed.stream)
    this.received = 0
    this.heldSentAtMs = Number.POSITIVE_INFINITY
    this.activity.record()
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
    this.handleClosed(reason)
  }

  private receive (message: protocol.runs.FromEntry): void {
    this.activity.record()
    if (message.greeting != null) this.incarnation = message.greeting.life ?? ''
    // Entries of earlier versions don't return the time; their messages count from their arrival.
    this.handler.onHeard(this, message.heardAtMs ?? this.services.clock.nowMs())
    if (message.greeting != null) this.handleGreeting(message.greeting)
    else this.handler.onMessage(this, message)
  }

  private handleGreeting (greeting: protocol.runs.IEntryGreeting): void {
    this.isGreeted = true
    this.openedAtMs = this.services.timers.nowMs()
    this.sentConfigVersion = 0
    this.isOverloaded = false
    this.toldOthersHaveRoom = false
    this.services.log.event(events.LinkOpened, { peer: this.address, entryId: greeting.entryId ?? '', life: this.incarnation })
    this.handler.onOpen(this, greeting)
  }

  /** Sends a heartbeat, which the entry answers immediately. */
  sendHeartbeat (): void {
    this.send({ beat: this.handler.createHeartbeat(this) })
  }

  /** Sends a heartbeat if nothing else was sent within its period, and closes the stream of an unresponsive entry. */
  keepAlive (): void {
    if (this.outbox === undefined) return
    const isBusy = this.handler.isBusy(this)
    if (this.services.timers.nowMs() - this.lastSentAtMs > (isBusy ? BUSY_HEARTBEAT_MS : IDLE_HEARTBEAT_MS)) this.sendHeartbeat()
    if (this.sinceLastMessageMs > (isBusy ? BUSY_LINK_TIMEOUT_MS : IDLE_LINK_TIMEOUT_MS)) this.stopStream()
  }

  private handleClosed (reason: string): void {
    this.outbox?.close()
    this.outbox = undefined
    if (!this.isGreeted) return
    this.isGreeted = false
    this.closedSinceMs = this.services.timers.nowMs()
    this.services.log.event(events.LinkClosed, { peer: this.address, step: 'link.read', reason, silentMs: Math.round(this.sinceLastMessageMs) })
  }

  private nextRedialMs (): number {
    return redialDelayMs(this.closedMs, (this.services.random ?? Math.random)())
  }
}

/** Returns the delay before a link is redialled that has been closed for `closedMs`, in milliseconds. `random` is a number from 0 to 1. */
export function redialDelayMs (closedMs: number, random: number): number {
  return Math.min(MAX_REDIAL_MS, Math.max(MIN_REDIAL_MS, closedMs * REDIAL_SHARE)) * (0.5 + random)
}
