/** A claimant's link to one registrar, redialled until it is closed. */
import * as claims from '@egretvalve/claims'
import * as protocol from '@egretvalve/protocol'
import * as runtime from '@egretvalve/runtime'
import type * as settings from '@egretvalve/settings'
import { decodeAnswer } from './claimMessages.ts'
import { CLAIM_LINK_DIAL_TIMEOUT_MS, CLAIM_LINK_OPEN_MS, MAX_REDIAL_MS, MIN_REDIAL_MS } from './defaults.ts'
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
  /** False once the entry is no longer registered. The link is then not dialled again when it closes. */
  isListed = true
  /** True if nothing listens at the address: the process that did has ended. */
  isRefused = false
  /** Incarnation of the process that greeted last; empty before. */
  incarnation = ''
  private isOpen = false
  /** Monotonic time at which the link closed last, in milliseconds. */
  private lastOpenAtMs = Number.NEGATIVE_INFINITY
  private redialMs = MIN_REDIAL_MS
  private readonly abort = new AbortController()

  constructor (readonly entryId: string, readonly address: string, private readonly services: RegistrarLinkServices) {}

  /** Dials and redials until `close`, or until the link of an entry that is no longer registered has closed. */
  async run (): Promise<void> {
    await repeatUntilAborted('claims.dial', this.services, this.abort.signal, async () => {
      const wasOpen = await this.exchange()
      if (!this.isListed) this.close()
      if (wasOpen) return 0
      const delayMs = this.redialMs * (0.5 + Math.random())
      this.redialMs = Math.min(this.redialMs * 2, MAX_REDIAL_MS)
      return delayMs
    })
  }

  get isClosed (): boolean {
    return this.abort.signal.aborted
  }

  close (): void {
    this.abort.abort()
  }

  /** Returns true if the link was open. */
  private async exchange (): Promise<boolean> {
    const { timers, log } = this.services
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
    }
    this.abort.signal.removeEventListener('abort', stop)
    for (const wait of waits) wait.cancel()
    outbox.close()
    stop()
    const wasOpen = this.isOpen
    this.isOpen = false
    if (wasOpen) this.lastOpenAtMs = timers.nowMs()
    this.reportClosed(this.isReopening ? claims.LinkState.Reopening : claims.LinkState.Absent)
    if (this.isRefused) this.services.onProcess(this)
    if (wasOpen) log.event(events.ClaimLinkClosed, { peer: this.entryId, step: 'claims.read', reason })
    return wasOpen
  }

  /** True shortly after the link has closed, also if further attempts to open it fail, unless nothing listens there any more. */
  private get isReopening (): boolean {
    return this.isListed && !this.isRefused && this.services.timers.nowMs() - this.lastOpenAtMs < CLAIM_LINK_OPEN_MS
  }

  /** Another link may have taken the place of one that was closed here. */
  private reportClosed (state: claims.LinkState.Reopening | claims.LinkState.Absent): void {
    if (!this.isClosed) this.services.claims.handleClosed(this.entryId, state)
  }

  private receive (message: protocol.runs.FromRegistrar, outbox: runtime.Outbox<protocol.runs.IFromClaimant>, stop: () => void): void {
    if (this.isClosed) return
    if (message.greeting != null) this.handleGreeting(message.greeting, outbox, stop)
    else if (message.answers != null) this.services.claims.handleAnswers(this.entryId, (message.answers.answers ?? []).map(decodeAnswer))
  }

  private handleGreeting (greeting: protocol.runs.IClaimGreeting, outbox: runtime.Outbox<protocol.runs.IFromClaimant>, stop: () => void): void {
    if (greeting.entryId !== this.entryId) {
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
