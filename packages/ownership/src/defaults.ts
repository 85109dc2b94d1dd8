/** Periods and bounds of ownership. */
import * as protocol from '@egretvalve/protocol'

/** Settings of one entry's ownership. */
export interface OwnershipSettings {
  region: string
  partitionCount: number
  /** Length of the store lease. */
  leaseMs: number
  /** Period of renewals, counted from the start of one call to the start of the next. */
  renewMs: number
  /** Time by which the holder counts its lease shorter than the store does. */
  leaseMarginMs: number
  /** Length of a promise not to take over. */
  promiseMs: number
  /** Period at which a member asks for promises while it can't renew. */
  promiseRequestMs: number
  /** Time for which a member goes on promising after the store answers again. */
  promiseGraceMs: number
  /** Longest time that an owner goes on past its lease. */
  outageLimitMs: number
  /** Period at which members without a lease are looked for. */
  takeoverCheckMs: number
  /** Time given to an agent to answer a fence. */
  gatherTimeoutMs: number
  /** Period at which agents that did not answer a fence are asked again. */
  gatherRetryMs: number
  /** Longest wait of one watch call. */
  watchMs: number
  /** Pause after a failed store call. */
  retryMs: number
  /** Largest difference between two nodes' wall clocks. */
  clockBoundMs: number
  /** Time for which starts are remembered. */
  retentionMs: number
  /** Lets a member pass partitions to members that have fewer. */
  rebalances: boolean
}

/** Returns the standard settings with the given ones over them. */
export function resolveOwnershipDefaults (given: Partial<OwnershipSettings> & { region: string }): OwnershipSettings {
  return {
    partitionCount: protocol.PARTITION_COUNT,
    leaseMs: 6_000,
    renewMs: 2_000,
    leaseMarginMs: 200,
    promiseMs: 6_000,
    promiseRequestMs: 1_000,
    promiseGraceMs: 10_000,
    outageLimitMs: 1_800_000,
    takeoverCheckMs: 250,
    gatherTimeoutMs: 1_500,
    gatherRetryMs: 1_000,
    watchMs: 30_000,
    retryMs: 500,
    clockBoundMs: protocol.CLOCK_BOUND_MS,
    retentionMs: protocol.RETENTION_MS,
    rebalances: true,
    ...given
  }
}
