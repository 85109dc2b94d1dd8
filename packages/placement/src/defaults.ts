/** Default options of placement. */

/** Options of agent views and the choice of agents. */
export interface PlacementOptions {
  /** Age at which a load report counts half against the mean of the fleet, in milliseconds. */
  reportHalfLifeMs: number
  /** Seed of the generator that breaks ties. */
  seed: number
}

export const DEFAULT_PLACEMENT: PlacementOptions = {
  reportHalfLifeMs: 60,
  seed: 1
}

/** Options of the ejection of servers on their failure rate. */
export interface EjectionOptions {
  /** Minimum number of outcomes before a server can be ejected. */
  minOutcomes: number
  /** Lowest failure rate at which a server is ejected, from 0 to 1. */
  failureRate: number
  /** A server is ejected only when its failure rate is this many times the median of its peers. */
  peerFactor: number
  /** Largest share of the servers that may be ejected or on trial at a time, from 0 to 1. */
  maxEjectedShare: number
  /** Length of the first ejection, in milliseconds; it doubles with each failed trial. */
  firstEjectionMs: number
  /** Longest ejection, in milliseconds. */
  maxEjectionMs: number
  /** Consecutive successful trial tasks that end an ejection. */
  trialSuccesses: number
  /** Number of outcomes after which the counts are halved, so that older outcomes weigh less. */
  windowOutcomes: number
}

export const DEFAULT_EJECTION: EjectionOptions = {
  minOutcomes: 4,
  failureRate: 0.5,
  peerFactor: 3,
  maxEjectedShare: 1 / 3,
  firstEjectionMs: 2_000,
  maxEjectionMs: 30_000,
  trialSuccesses: 3,
  windowOutcomes: 50
}
