/** Promises not to take over: those that this entry has given and those that it has received. */
import type * as settings from '@egretvalve/settings'
import type { Member } from './assignment.ts'
import type { OwnershipSettings } from './defaults.ts'

/** Identifies one lease of one member. */
export interface LeaseIdentity {
  incarnation: string
  leaseCount: number
}

function leaseText (lease: LeaseIdentity): string {
  return `${lease.incarnation}#${lease.leaseCount}`
}

/** Promises that this entry has given. A released lease never gets another one. */
export class GivenPromises {
  private readonly heldUntilMs = new Map<string, number>()
  private readonly released = new Set<string>()

  constructor (private readonly options: OwnershipSettings, private readonly timers: settings.Timers) {}

  /**
   * Promises not to take over from a lease; returns the length of the promise, 0 for none. A lease gets none once the
   * store has answered for a while and no longer holds it.
   */
  give (lease: LeaseIdentity, isLeaseHeld: boolean, reachableSinceMs: number | undefined): number {
    const key = leaseText(lease)
    if (this.released.has(key)) return 0
    const isSettled = reachableSinceMs !== undefined && this.timers.nowMs() - reachableSinceMs >= this.options.promiseGraceMs
    if (isSettled && !isLeaseHeld) return 0
    this.heldUntilMs.set(key, this.timers.nowMs() + this.options.promiseMs)
    return this.options.promiseMs
  }

  /** Ends all promises to a lease for good, unless one of them still holds. */
  tryRelease (lease: LeaseIdentity): boolean {
    const key = leaseText(lease)
    if ((this.heldUntilMs.get(key) ?? 0) > this.timers.nowMs()) return false
    this.heldUntilMs.delete(key)
    this.released.add(key)
    return true
  }
}

/** Promises that this entry has received, by the incarnation of the member that gave them. */
export class ReceivedPromises {
  private readonly heldUntilMs = new Map<string, number>()

  constructor (private readonly options: OwnershipSettings) {}

  /** Notes a promise, counted from before its request was sent. A promise of no length ends an earlier one. */
  note (incarnation: string, requestedAtMs: number, holdsForMs: number): void {
    if (holdsForMs <= 0) {
      this.heldUntilMs.delete(incarnation)
      return
    }
    const untilMs = requestedAtMs + holdsForMs - this.options.leaseMarginMs
    this.heldUntilMs.set(incarnation, Math.max(untilMs, this.heldUntilMs.get(incarnation) ?? 0))
  }

  /** Returns the time until which every one of the members has promised; 0 without members. */
  heldByAllUntilMs (members: readonly Member[]): number {
    if (members.length === 0) return 0
    return Math.min(...members.map(member => this.heldUntilMs.get(member.incarnation) ?? 0))
  }
}
