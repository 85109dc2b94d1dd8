/**
 * Peer leases: while a member can't renew its store lease, the other members guarantee for a limited time not to take over
 * its partitions. They are requested and granted by the messages `PromiseRequest` and `StorePromise`.
 */
import type * as settings from '@egretvalve/settings'
import type { Member } from './assignment.ts'
import type { OwnershipSettings } from './defaults.ts'

/** Identifies one store lease of one member. */
export interface LeaseIdentity {
  incarnation: string
  leaseCount: number
}

function leaseKey (lease: LeaseIdentity): string {
  return `${lease.incarnation}#${lease.leaseCount}`
}

/** Peer leases that this entry has granted, by store lease of the holder. A released store lease is never granted another one. */
export class GrantedPeerLeases {
  private readonly expiresAtMsByLease = new Map<string, number>()
  private readonly released = new Set<string>()

  constructor (private readonly options: OwnershipSettings, private readonly timers: settings.Timers) {}

  /**
   * Grants or extends a peer lease; returns its duration in milliseconds, 0 if refused. It is refused once the store has been
   * reachable from here for `peerLeaseGraceMs` and no longer holds the member's store lease.
   */
  grant (lease: LeaseIdentity, isLeaseHeld: boolean, reachableSinceMs: number | undefined): number {
    const key = leaseKey(lease)
    if (this.released.has(key)) return 0
    const isGraceOver = reachableSinceMs !== undefined && this.timers.nowMs() - reachableSinceMs >= this.options.peerLeaseGraceMs
    if (isGraceOver && !isLeaseHeld) return 0
    this.expiresAtMsByLease.set(key, this.timers.nowMs() + this.options.peerLeaseMs)
    return this.options.peerLeaseMs
  }

  /** Releases a store lease, so that it is never granted a peer lease again; returns false while a granted one is valid. */
  tryRelease (lease: LeaseIdentity): boolean {
    const key = leaseKey(lease)
    if ((this.expiresAtMsByLease.get(key) ?? 0) > this.timers.nowMs()) return false
    this.expiresAtMsByLease.delete(key)
    this.released.add(key)
    return true
  }
}

/** Peer leases that this entry has received, by incarnation of the grantor. */
export class ReceivedPeerLeases {
  private readonly expiresAtMsByMember = new Map<string, number>()

  constructor (private readonly options: OwnershipSettings) {}

  /** Records a peer lease, which counts from before its request was sent. A duration of 0 ends an earlier one. */
  record (incarnation: string, requestedAtMs: number, holdsForMs: number): void {
    if (holdsForMs <= 0) {
      this.expiresAtMsByMember.delete(incarnation)
      return
    }
    const expiresAtMs = requestedAtMs + holdsForMs - this.options.leaseMarginMs
    this.expiresAtMsByMember.set(incarnation, Math.max(expiresAtMs, this.expiresAtMsByMember.get(incarnation) ?? 0))
  }

  /** Returns the monotonic time until which all given members have granted a peer lease; 0 without members. */
  grantedByAllUntilMs (members: readonly Member[]): number {
    if (members.length === 0) return 0
    return Math.min(...members.map(member => this.expiresAtMsByMember.get(member.incarnation) ?? 0))
  }
}
