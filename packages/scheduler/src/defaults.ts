/** Limits and weights of scheduling. */

/** Options of placement, queueing and refusal. */
export interface SchedulerOptions {
  /** Period of the checks of deadlines and disconnected agents, in milliseconds. */
  tickMs: number
  /** Cost of a fully used worker over an idle one of the same speed, in milliseconds. */
  loadPenaltyMs: number
  /** Factor by which a task takes longer outside the rack that holds its data. */
  remoteDataFactor: number
  /** Time without a message after which an agent gets no new tasks. Heartbeats come 250 to 350 ms apart while the agent holds tasks, and 400 to 500 ms apart otherwise. */
  suspectAfterMs: number
  /** Time after the loss of an agent until its runs have certainly ended: the agent's timeout for an unresponsive entry, the stop of the runs and the worker's lease, each with clock drift. */
  lostAfterMs: number
  /** Time without progress after which a run counts as stalled and is moved. */
  stalledMs: number
  /** Speed factor from which a worker's slow runs are moved; above 1 is slower than a typical worker. */
  slowFactor: number
  /** A slow run is moved when its remaining time exceeds a whole run on another worker by this factor. */
  moveGain: number
  /** Bounds of the time after which a refused caller may retry. */
  minRetryAfterMs: number
  maxRetryAfterMs: number
  /** Time for which the outcome of an ended job is retained for resubmissions. */
  outcomeRetentionMs: number
}

export const DEFAULT_SCHEDULER: SchedulerOptions = {
  tickMs: 50,
  loadPenaltyMs: 20,
  remoteDataFactor: 1.5,
  suspectAfterMs: 600,
  lostAfterMs: 1_900,
  stalledMs: 200,
  slowFactor: 2.5,
  moveGain: 1.3,
  minRetryAfterMs: 1_000,
  maxRetryAfterMs: 8_000,
  outcomeRetentionMs: 5_000
}
