/** Determines until when this entry may start tasks: by its store lease, or by peer leases of all other members. */
import type * as settings from '@egretvalve/settings'
import type { Member } from './assignment.ts'
import type { OwnershipSettings } from './defaults.ts'
import type { LeaseHolder } from './leaseHolder.ts'
import { ReceivedPeerLeases } from './peerLeases.ts'

/** Combines the store lease with the peer leases of the other members. */
export class Authority {
  /** Number of this entry's lease in the assignment; 0 before the entry has joined. */
  registeredLeaseCount = 0
  readonly receivedPeerLeases: ReceivedPeerLeases
  private latestLeaseExpiryMs = 0

  constructor (private readonly lease: LeaseHolder, private readonly options: OwnershipSettings, private readonly timers: settings.Timers) {
    this.receivedPeerLeases = new ReceivedPeerLeases(options)
  }

  /**
   * Returns the monotonic time at which the authority ends, given the other members of the assignment. Peer leases extend
   * it by `outageLimitMs` past the store lease at most.
   */
  endsAtMs (otherMembers: readonly Member[]): number {
    const leaseExpiresAtMs = this.leaseExpiresAtMs()
    this.latestLeaseExpiryMs = Math.max(this.latestLeaseExpiryMs, leaseExpiresAtMs)
    const grantedUntilMs = this.receivedPeerLeases.grantedByAllUntilMs(otherMembers)
    const limitMs = this.latestLeaseExpiryMs + this.options.outageLimitMs
    return Math.max(leaseExpiresAtMs, Math.min(grantedUntilMs, limitMs))
  }

  /** True when the store is unreachable or less than half of the store lease remains. */
  needsPeerLeases (): boolean {
    if (this.registeredLeaseCount === 0) return false
    if (this.lease.reachableSinceMs === undefined) return true
    return this.leaseExpiresAtMs() - this.timers.nowMs() < this.options.leaseMs / 2
  }

  /** A lease counts only once the assignment names it; returns 0 before. */
  private leaseExpiresAtMs (): number {
    if (this.registeredLeaseCount === 0 || this.lease.leaseCount !== this.registeredLeaseCount) return 0
    return this.lease.expiresAtMs
  }
}
