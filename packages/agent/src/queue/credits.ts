/** Credits: freed slots that are reserved for the entry whose waiting work is most urgent. */
import * as protocol from '@egretvalve/protocol'
import type * as settings from '@egretvalve/settings'

const { wire } = protocol

/** Time after which an unused credit lapses, in milliseconds. */
export const CREDIT_LIFETIME_MS = 50
/** Credits that the entry with a report under way may be ahead of the others, to save a message. */
const MAX_CREDITS_AHEAD = 2

/** An entry's claim on freed slots. */
interface Claim<L> {
  link: L
  urgency: protocol.wire.Urgency
  /** Times at which the outstanding credits lapse, oldest first. */
  lapsesAtMs: number[]
  /** Credits granted since the claim became active, relative to the other claims. */
  granted: number
}

/** What the ledger needs of its agent. */
export interface CreditLedgerOptions<L> {
  timers: settings.Timers
  /** Called when the credits of a link have changed and its entry must be told. */
  onChange: (link: L) => void
  /** Called when reserved slots became free again. */
  onLapse: () => void
}

/** Grants freed slots to entries. */
export class CreditLedger<L> {
  private readonly claims = new Map<L, Claim<L>>()
  private lapse: settings.TimerHandle | undefined

  constructor (private readonly options: CreditLedgerOptions<L>) {}

  /** Credits that are granted and not used. */
  get outstanding (): number {
    let count = 0
    for (const claim of this.claims.values()) count += claim.lapsesAtMs.length
    return count
  }

  creditsOf (link: L): number {
    return this.claims.get(link)?.lapsesAtMs.length ?? 0
  }

  /** Takes an entry's notice of the urgency of its waiting work. */
  setUrgency (link: L, urgency: protocol.wire.Urgency): void {
    const claim = this.claims.get(link) ?? { link, urgency: wire.Urgency.URGENCY_IDLE, lapsesAtMs: [], granted: 0 }
    if (claim.urgency === wire.Urgency.URGENCY_IDLE) claim.granted = this.leastGranted()
    claim.urgency = urgency
    this.claims.set(link, claim)
  }

  /** Uses credits for tasks that have arrived. */
  consume (link: L, count: number): void {
    this.claims.get(link)?.lapsesAtMs.splice(0, count)
  }

  /** Takes back credits from an entry that has no waiting work; it gets no more until its next notice. */
  giveBack (link: L, count: number): void {
    const claim = this.claims.get(link)
    if (claim === undefined) return
    claim.lapsesAtMs.splice(0, count)
    claim.urgency = wire.Urgency.URGENCY_IDLE
  }

  /** Forgets an entry whose link has closed. */
  remove (link: L): void {
    this.claims.delete(link)
  }

  /** Grants free slots to the entries with the most urgent work. `reporting` are links on which a report is under way. */
  distribute (freeSlots: number, isReporting: (link: L) => boolean): void {
    for (let free = freeSlots; free > 0; free--) {
      const claim = this.pickClaim(isReporting)
      if (claim === undefined) return
      claim.granted++
      claim.lapsesAtMs.push(this.options.timers.nowMs() + CREDIT_LIFETIME_MS)
      this.options.onChange(claim.link)
    }
    this.armLapse()
  }

  private pickClaim (isReporting: (link: L) => boolean): Claim<L> | undefined {
    const urgency = this.highestUrgency()
    if (urgency === wire.Urgency.URGENCY_IDLE) return undefined
    let best: Claim<L> | undefined
    let bestRank = 0
    for (const claim of this.claims.values()) {
      if (claim.urgency !== urgency) continue
      const rank = claim.granted - (isReporting(claim.link) ? MAX_CREDITS_AHEAD : 0)
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

  private leastGranted (): number {
    let least = Number.POSITIVE_INFINITY
    for (const claim of this.claims.values()) {
      if (claim.urgency !== wire.Urgency.URGENCY_IDLE) least = Math.min(least, claim.granted)
    }
    return Number.isFinite(least) ? least : 0
  }

  private armLapse (): void {
    if (this.lapse !== undefined || this.outstanding === 0) return
    this.lapse = this.options.timers.after(CREDIT_LIFETIME_MS, () => { this.dropLapsed() })
  }

  private dropLapsed (): void {
    this.lapse = undefined
    const nowMs = this.options.timers.nowMs()
    let hasLapsed = false
    for (const claim of this.claims.values()) {
      const before = claim.lapsesAtMs.length
      claim.lapsesAtMs = claim.lapsesAtMs.filter(lapsesAtMs => lapsesAtMs > nowMs)
      if (claim.lapsesAtMs.length === before) continue
      hasLapsed = true
      this.options.onChange(claim.link)
    }
    this.armLapse()
    if (hasLapsed) this.options.onLapse()
  }
}
