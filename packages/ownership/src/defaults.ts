/** Settings of ownership and their defaults. */
import * as protocol from '@egretvalve/protocol'

/** Settings of one entry's ownership. Times are in milliseconds. */
export interface OwnershipSettings {
  region: string
  partitionCount: number
  /** Duration of the store lease. */
  leaseMs: number
  /** Period of lease renewals, from the start of one call to the start of the next. */
  renewMs: number
  /** Time by which the holder considers a lease expired earlier than its grantor does. */
  leaseMarginMs: number
  /** Duration of a peer lease, and time-out of a request for one. */
  peerLeaseMs: number
  /** Period of peer lease requests while the store lease can't be renewed; also the time-out of release requests and of the check that a process has ended. */
  peerLeaseRequestMs: number
  /** Time after the store is reachable again during which peer leases are still granted to members without a store lease. */
  peerLeaseGraceMs: number
  /** Maximum time for which peer leases extend an owner's authority past its store lease. */
  outageLimitMs: number
  /** Period of the check for members without a lease. */
  takeoverCheckMs: number
  /** Time-out of an agent's answer to a fence. */
  gatherTimeoutMs: number
  /** Pause between fences sent to an unresponsive agent. */
  gatherRetryMs: number
  /** Maximum wait of one watch call. */
  watchMs: number
  /** Pause after a failed store call, and the minimum pause between lease renewals. */
  retryMs: number
  /** Maximum difference between the wall clocks of two nodes. */
  clockBoundMs: number
  /** Time for which agents retain records of starts. */
  retentionMs: number
  /** Enables handing partitions over to members that own fewer. */
  rebalances: boolean
}

/** Merges the given settings into the defaults. */
export function resolveOwnershipDefaults (overrides: Partial<OwnershipSettings> & { region: string }): OwnershipSettings {
  return {
    partitionCount: protocol.PARTITION_COUNT,
    leaseMs: 6_000,
    renewMs: 2_000,
    leaseMarginMs: 200,
    peerLeaseMs: 6_000,
    peerLeaseRequestMs: 1_000,
    peerLeaseGraceMs: 10_000,
    outageLimitMs: 1_800_000,
    takeoverCheckMs: 250,
    gatherTimeoutMs: 1_500,
    gatherRetryMs: 1_000,
    watchMs: 30_000,
    retryMs: 500,
    clockBoundMs: protocol.MAX_CLOCK_SKEW_MS,
    retentionMs: protocol.RETENTION_MS,
    rebalances: true,
    ...overrides
  }
}
