/** Until when this entry may start tasks of its partitions: by its lease, or by every other member's promise. */
import type * as settings from '@egretvalve/settings'
import type { Member } from './assignment.ts'
import type { OwnershipSettings } from './defaults.ts'
import type { LeaseHolder } from './leaseHolder.ts'
import { ReceivedPromises } from './promiseBook.ts'

/** Combines the lease with the promises of the other members. */
export class Authority {
  /** Number of the lease that stands in the assignment; 0 before this entry has joined. */
  assertedLeaseCount = 0
  readonly received: ReceivedPromises
  private leaseEndedAtMs = 0

  constructor (private readonly lease: LeaseHolder, private readonly options: OwnershipSettings, private readonly timers: settings.Timers) {
    this.received = new ReceivedPromises(options)
  }

  /** Returns the monotonic time at which the authority ends, given the other members of the assignment. */
  endsAtMs (otherMembers: readonly Member[]): number {
    const leaseEndsAtMs = this.leaseEndsAtMs()
    this.leaseEndedAtMs = Math.max(this.leaseEndedAtMs, leaseEndsAtMs)
    const promisedUntilMs = this.received.heldByAllUntilMs(otherMembers)
    const limitMs = this.leaseEndedAtMs + this.options.outageLimitMs
    return Math.max(leaseEndsAtMs, Math.min(promisedUntilMs, limitMs))
  }

  /** True when the lease may run out before the next renewal. */
  needsPromises (): boolean {
    if (this.assertedLeaseCount === 0) return false
    if (this.lease.reachableSinceMs === undefined) return true
    return this.leaseEndsAtMs() - this.timers.nowMs() < this.options.leaseMs / 2
  }

  /** A lease that replaced an expired one counts only once the assignment names it. */
  private leaseEndsAtMs (): number {
    if (this.assertedLeaseCount === 0 || this.lease.leaseCount !== this.assertedLeaseCount) return 0
    return this.lease.expiresAtMs
  }
}
