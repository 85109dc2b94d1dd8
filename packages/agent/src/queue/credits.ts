/** Credits: free slots reserved for the entries with the most urgent waiting work. */
import * as protocol from '@egretvalve/protocol'
import type * as settings from '@egretvalve/settings'

const { wire } = protocol

/** Time after which an unused credit expires, in milliseconds. */
export const CREDIT_LIFETIME_MS = 50
/** Number of credits by which an entry with a pending report may be ahead of the others: a grant sent along with the report saves a message. */
const MAX_CREDITS_AHEAD = 2

/** An entry's claim on free slots. */
interface Claim<L> {
  link: L
  urgency: protocol.wire.Urgency
  /** Times at which the outstanding credits expire, oldest first. */
  expiriesAtMs: number[]
  /** Credits granted so far; starts at the lowest count of the active claims, so that a new claim is treated as their equal. */
  granted: number
}

/** Dependencies and callbacks of a credit ledger. */
export interface CreditLedgerOptions<L> {
  timers: settings.Timers
  /** Called when the credits of a link have changed and its entry must be notified. */
  onChange: (link: L) => void
  /** Called after expired credits have freed their slots. */
  onExpiry: () => void
}

/** Grants free slots to entries as credits that expire. */
export class CreditLedger<L> {
  private readonly claims = new Map<L, Claim<L>>()
  private expiryTimer: settings.TimerHandle | undefined

  constructor (private readonly options: CreditLedgerOptions<L>) {}

  /** Credits that are granted and neither used nor expired. */
  get outstanding (): number {
    let count = 0
    for (const claim of this.claims.values()) count += claim.expiriesAtMs.length
    return count
  }

  creditsOf (link: L): number {
    return this.claims.get(link)?.expiriesAtMs.length ?? 0
  }

  /** Sets the urgency of an entry's waiting work. */
  setUrgency (link: L, urgency: protocol.wire.Urgency): void {
    const claim = this.claims.get(link) ?? { link, urgency: wire.Urgency.URGENCY_IDLE, expiriesAtMs: [], granted: 0 }
    if (claim.urgency === wire.Urgency.URGENCY_IDLE) claim.granted = this.lowestGranted()
    claim.urgency = urgency
    this.claims.set(link, claim)
  }

  /** Uses up the oldest credits for tasks that have arrived. */
  consume (link: L, count: number): void {
    this.claims.get(link)?.expiriesAtMs.splice(0, count)
  }

  /** Releases credits returned by an entry without waiting work. It receives no more until it reports its urgency again. */
  release (link: L, count: number): void {
    const claim = this.claims.get(link)
    if (claim === undefined) return
    claim.expiriesAtMs.splice(0, count)
    claim.urgency = wire.Urgency.URGENCY_IDLE
  }

  /** Removes the claim of an entry whose link has closed. */
  remove (link: L): void {
    this.claims.delete(link)
  }

  /** Grants free slots to the entries with the most urgent work. `isReportPending` returns true for links with an unsent report. */
  distribute (freeSlots: number, isReportPending: (link: L) => boolean): void {
    for (let free = freeSlots; free > 0; free--) {
      const claim = this.pickClaim(isReportPending)
      if (claim === undefined) return
      claim.granted++
      claim.expiriesAtMs.push(this.options.timers.nowMs() + CREDIT_LIFETIME_MS)
      this.options.onChange(claim.link)
    }
    this.armExpiryTimer()
  }

  private pickClaim (isReportPending: (link: L) => boolean): Claim<L> | undefined {
    const urgency = this.highestUrgency()
    if (urgency === wire.Urgency.URGENCY_IDLE) return undefined
    let best: Claim<L> | undefined
    let bestRank = 0
    for (const claim of this.claims.values()) {
      if (claim.urgency !== urgency) continue
      const rank = claim.granted - (isReportPending(claim.link) ? MAX_CREDITS_AHEAD : 0)
      if (best !== undefined && rank >= bestRank) continue
      best = claim
      bestRank = rank
    }
    return best
  }

  private highestUrgency (): protocol.wire.Urgency {
    let highest = wire.Urgency.URGENCY_IDLE
    for (const claim of this.claims.values()) highest = Math.max(highest, claim.urgency)
    return highest
  }

  private lowestGranted (): number {
    let least = Number.POSITIVE_INFINITY
    for (const claim of this.claims.values()) {
      if (claim.urgency !== wire.Urgency.URGENCY_IDLE) least = Math.min(least, claim.granted)
    }
    return Number.isFinite(least) ? least : 0
  }

  private armExpiryTimer (): void {
    if (this.expiryTimer !== undefined || this.outstanding === 0) return
    this.expiryTimer = this.options.timers.after(CREDIT_LIFETIME_MS, () => { this.dropExpired() })
  }

  private dropExpired (): void {
    this.expiryTimer = undefined
    const nowMs = this.options.timers.nowMs()
    let hasExpired = false
    for (const claim of this.claims.values()) {
      const before = claim.expiriesAtMs.length
      claim.expiriesAtMs = claim.expiriesAtMs.filter(expiresAtMs => expiresAtMs > nowMs)
      if (claim.expiriesAtMs.length === before) continue
      hasExpired = true
      this.options.onChange(claim.link)
    }
    this.armExpiryTimer()
    if (hasExpired) this.options.onExpiry()
  }
}
