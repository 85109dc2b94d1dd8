/** Default timings and limits for runs on a leased worker. */

/** Options of leases, calls and the local queue. */
export interface WorkerOptions {
  /** Duration of the lease from each renewal. Runs of a dead agent end after this time, well before the 1,300 ms after which a caller resubmits its job. */
  leaseMs: number
  /** Longest lease that a worker grants. One that has started again unnoticed takes a time on its earlier clock for a lease of this length. */
  maxLeaseMs: number
  /** Shortest lease with which a run is started. */
  minStartLeaseMs: number
  /** Period of lease renewals: four may be lost before the lease expires. */
  renewPeriodMs: number
  /** Longest time that a query may wait at the worker for the next end of a run. */
  endWaitMs: number
  /** Timeout of a call, in addition to its wait. A worker on the same VM answers within a few milliseconds. */
  callTimeoutMs: number
  /** Time without an answer after which the worker gets no new runs and its lease is left to expire. */
  unresponsiveAfterMs: number
  /** Time without a report after which the worker counts as lost; it reports every 1.5 s. */
  reportTimeoutMs: number
  /** Attempts to stop a run after which the missing acknowledgement is logged. The stop is repeated until the run has ended. */
  stopAttemptsUntilWarning: number
  /** Longest time that a stop takes on the worker's clock, by the platform's bounds. */
  stopDurationMs: number
  /** Largest ratio between the rates of the monotonic clocks of two VMs. */
  clockDrift: number
}

export const DEFAULT_WORKER_OPTIONS: WorkerOptions = {
  leaseMs: 700,
  maxLeaseMs: 1_000,
  minStartLeaseMs: 150,
  renewPeriodMs: 150,
  endWaitMs: 400,
  callTimeoutMs: 100,
  unresponsiveAfterMs: 400,
  reportTimeoutMs: 6_000,
  stopAttemptsUntilWarning: 4,
  stopDurationMs: 50,
  clockDrift: 1.03
}
