/** Times and limits of the agent of a leased worker. */

/** Options of leases, calls and the local queue. */
export interface WorkerOptions {
  /** Time for which a renewal holds the runs. Runs of a dead agent end this much later; far below the 1,300 ms after which a caller sends its job again. */
  leaseMs: number
  /** Period of renewals: four may be lost before the lease ends. */
  renewPeriodMs: number
  /** Longest time that a question waits for the next end at the worker. */
  endWaitMs: number
  /** Time for an answer beyond its wait. A worker on the same VM answers within a few milliseconds. */
  callTimeoutMs: number
  /** Time without any answer after which the worker gets no new runs and its lease is left to lapse. */
  silentAfterMs: number
  /** Time without a report after which a worker is considered gone; it reports every 1.5 s. */
  reportTimeoutMs: number
  /** Longest time that a task waits here until an earlier run of the same task has been stopped. */
  queueLimitMs: number
  /** Attempts to stop a run that is not acknowledged. */
  stopAttempts: number
  /** Factor by which the steady clocks of two VMs may differ. */
  clockDrift: number
}

export const DEFAULT_WORKER_OPTIONS: WorkerOptions = {
  leaseMs: 700,
  renewPeriodMs: 150,
  endWaitMs: 400,
  callTimeoutMs: 100,
  silentAfterMs: 400,
  reportTimeoutMs: 6_000,
  queueLimitMs: 60,
  stopAttempts: 4,
  clockDrift: 1.03
}
