/** Limits and weights of scheduling. */

/** Options of placement, queueing and refusal. */
export interface SchedulerOptions {
  /** Period in which deadlines are looked at, in milliseconds. */
  tickMs: number
  /** Time by which a wholly used worker counts as slower than an idle one of the same speed. */
  loadPenaltyMs: number
  /** Factor by which a task takes longer away from the rack of its data. */
  remoteDataFactor: number
  /** Time without a message after which an agent gets no new tasks; its beats come 250 to 350 ms apart while it holds tasks, and 400 to 500 ms otherwise. */
  suspectAfterMs: number
  /** Time after the loss of an agent until its runs are certain to be gone: the agent's patience with a silent entry, the stop, and the worker's lease, each with the drift of clocks. */
  goneAfterMs: number
  /** Time without progress after which a run is moved. */
  stalledMs: number
  /** Speed factor beyond which a worker's slow runs are moved. */
  slowFactor: number
  /** How much longer the rest of a slow run must take than a whole run elsewhere for it to be moved. */
  moveGain: number
  /** Shortest and longest time after which a refused caller is asked to return. */
  minRetryAfterMs: number
  maxRetryAfterMs: number
  /** Time for which the outcome of a job is kept for a repeated submission. */
  outcomeMemoryMs: number
}

export const DEFAULT_SCHEDULER: SchedulerOptions = {
  tickMs: 50,
  loadPenaltyMs: 20,
  remoteDataFactor: 1.5,
  suspectAfterMs: 600,
  goneAfterMs: 1_900,
  stalledMs: 200,
  slowFactor: 2.5,
  moveGain: 1.3,
  minRetryAfterMs: 1_000,
  maxRetryAfterMs: 8_000,
  outcomeMemoryMs: 5_000
}
