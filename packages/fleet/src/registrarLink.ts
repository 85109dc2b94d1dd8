/** A claimant's link to one registrar, redialled until it is closed. */
import * as claims from '@egretvalve/claims'
import * as protocol from '@egretvalve/protocol'
import * as runtime from '@egretvalve/runtime'
import type * as settings from '@egretvalve/settings'
import { decodeAnswer } from './claimMessages.ts'
import { CLAIM_LINK_DIAL_TIMEOUT_MS, CLAIM_LINK_OPEN_MS, MAX_REDIAL_MS, MIN_REDIAL_MS, UNLISTED_RETENTION_MS } from './defaults.ts'
import { events } from './events.ts'
import { repeatUntilAborted } from './loops.ts'

/** Dependencies of a link. */
export interface RegistrarLinkServices {
  timers: settings.Timers
  log: settings.Log
  claims: claims.JobClaims
  /** Called when the address refuses connections, or when a process greets. */
  onProcess: (link: RegistrarLink) => void
  createGreeting: () => protocol.runs.IClaimGreeting
}

/** A link to the registrar of one entry. */
export class RegistrarLink {
  /** True if nothing listens at the address: the process that did has ended. */
  isRefused = false
  /** True if another entry answers at the address: the process that was there has ended. */
  private isReplaced = false
  /** True if the process is of a version without claims, which confirms none. */
  private isUnsupported = false
  /** False once the entry is no longer registered. The link is then given up when it does not open any more. */
  private isRegistered = true
  /** Incarnation of the process that greeted last; empty before. */
  incarnation = ''
  private isOpen = false
  /** Monotonic time at which the link closed last, in milliseconds. */
  private lastOpenAtMs = Number.NEGATIVE_INFINITY
  /** Monotonic time of the last sign that the process of the entry runs, in milliseconds. */
  private lastSeenAtMs = Number.NEGATIVE_INFINITY
  /** Monotonic time at which the current attempt to open the link began, in milliseconds; undefined between two attempts. */
  private dialedAtMs: number | undefined
  private redialMs = MIN_REDIAL_MS
  private readonly abort = new AbortController()

  constructor (readonly entryId: string, readonly address: string, private readonly services: RegistrarLinkServices) {}

  /** Dials and redials until `close`, or until an entry that is no longer registered has left. */
  async run (): Promise<void> {
    await repeatUntilAborted('claims.dial', this.services, this.abort.signal, async () => {
      const wasOpen = await this.exchange()
      if (this.hasLeft) this.close()
      if (wasOpen) return 0
      const delayMs = this.redialMs * (0.5 + Math.random())
      this.redialMs = Math.min(this.redialMs * 2, MAX_REDIAL_MS)
      return delayMs
    })
  }

  get isClosed (): boolean {
    return this.abort.signal.aborted
  }

  get isListed (): boolean {
    return this.isRegistered
  }

  /** True while the link is not open and no attempt has begun a moment ago. */
  get isStuck (): boolean {
    return !this.isOpen && (this.dialedAtMs === undefined || this.services.timers.nowMs() - this.dialedAtMs > CLAIM_LINK_OPEN_MS)
  }

  /** Records whether the entry is registered. One that isn't, and has no link, has left. */
  setListed (isListed: boolean): void {
    this.isRegistered = isListed
    if (this.isOpen || !this.hasLeft) return
    this.reportClosed(claims.LinkState.Ended)
    this.close()
  }

  /** Records that the process of the entry has sent something on its own link. */
  recordSeen (): void {
    this.lastSeenAtMs = this.services.timers.nowMs()
  }

  close (): void {
    this.abort.abort()
  }

  /** Returns true if the link was open. */
  private async exchange (): Promise<boolean> {
    const { timers, log } = this.services
    this.dialedAtMs = timers.nowMs()
    this.isReplaced = false
    this.isUnsupported = false
    const dialed = runtime.dialLink(this.address, protocol.claimLink.exchange)
    const stop = (): void => { dialed.close() }
    this.abort.signal.addEventListener('abort', stop, { once: true })
    const outbox = new runtime.Outbox<protocol.runs.IFromClaimant>(dialed.stream)
    const waits = [
      timers.after(CLAIM_LINK_OPEN_MS, () => { if (!this.isOpen) this.reportClosed(claims.LinkState.Absent) }),
      timers.after(CLAIM_LINK_DIAL_TIMEOUT_MS, () => { if (!this.isOpen) stop() })
    ]
    outbox.send({ greeting: this.services.createGreeting() })
    let reason = 'ended by the entry'
    try {
      for await (const message of dialed.stream) this.receive(message, outbox, stop)
    } catch (thrown) {
      reason = protocol.toStepError(thrown, 'claims.read', this.address).describe()
      this.isRefused = reason.includes('ECONNREFUSED')
      this.isUnsupported = reason.includes('UNIMPLEMENTED')
    }
    this.abort.signal.removeEventListener('abort', stop)
    for (const wait of waits) wait.cancel()
    outbox.close()
    stop()
    const wasOpen = this.isOpen
    this.isOpen = false
    this.dialedAtMs = undefined
    if (wasOpen) this.lastOpenAtMs = timers.nowMs()
    this.reportClosed(this.closedState)
    if (this.isRefused) this.services.onProcess(this)
    if (wasOpen) log.event(events.ClaimLinkClosed, { peer: this.entryId, step: 'claims.read', reason })
    return wasOpen
  }

  /** The state after the link has closed, or could not be opened. It counts as reopening for a short time, also if attempts to open it fail, unless the entry is leaving. */
  private get closedState (): claims.ClosedState {
    if (this.isRefused || this.isReplaced || this.isUnsupported || this.hasLeft) return claims.LinkState.Ended
    const isReopening = this.isRegistered && this.services.timers.nowMs() - this.lastOpenAtMs < CLAIM_LINK_OPEN_MS
    return isReopening ? claims.LinkState.Reopening : claims.LinkState.Absent
  }

  /** True for an entry that isn't registered and whose process has ended, or has shown no sign for a while. */
  private get hasLeft (): boolean {
    if (this.isRegistered) return false
    return this.isRefused || this.isReplaced || this.services.timers.nowMs() - Math.max(this.lastOpenAtMs, this.lastSeenAtMs) > UNLISTED_RETENTION_MS
  }

  /** Another link may have taken the place of one that was closed here. */
  private reportClosed (state: claims.ClosedState): void {
    if (!this.isClosed) this.services.claims.handleClosed(this.entryId, state)
  }

  private receive (message: protocol.runs.FromRegistrar, outbox: runtime.Outbox<protocol.runs.IFromClaimant>, stop: () => void): void {
    if (this.isClosed) return
    if (message.greeting != null) this.handleGreeting(message.greeting, outbox, stop)
    else if (message.answers != null) this.services.claims.handleAnswers(this.entryId, (message.answers.answers ?? []).map(decodeAnswer))
  }

  private handleGreeting (greeting: protocol.runs.IClaimGreeting, outbox: runtime.Outbox<protocol.runs.IFromClaimant>, stop: () => void): void {
    if (greeting.entryId !== this.entryId) {
      this.isReplaced = true
      stop()
      return
    }
    this.isOpen = true
    this.isRefused = false
    this.incarnation = greeting.life ?? ''
    this.services.onProcess(this)
    this.redialMs = MIN_REDIAL_MS
    this.services.log.event(events.ClaimLinkOpened, { peer: this.entryId, life: greeting.life ?? '' })
    this.services.claims.handleOpened(this.entryId, { send: requests => { outbox.send({ requests }) }, reset: stop }, greeting.upMs ?? 0)
  }
}
