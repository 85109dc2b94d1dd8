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
  /** Time after an agent's last message until its runs for this entry have certainly ended: the owner lease, which counts from a message that the entry has read, with clock drift, and the stop of the runs. */
  lostAfterMs: number
  /** Time between two periodic checks from which this process counts as stalled. Agents are then not checked, so that messages that have arrived are read first. */
  stallMs: number
  /** Time without progress after which a run counts as stalled and is moved. */
  stalledMs: number
  /** Speed factor from which a worker's slow runs are moved; above 1 is slower than a typical worker. */
  slowFactor: number
  /** A slow run is moved when its remaining time exceeds a whole run on another worker by this factor. */
  moveGain: number
  /** Time without a report of a run's end after which the order to stop it is repeated on an open link. A stop takes 50 ms at most, beside the messages. */
  stopRepeatMs: number
  /** Age below which a job that its caller abandons counts as submitted by a late request: the caller leaves no sooner than a round trip after it sent it. */
  lateRequestMs: number
  /** Bounds of the time after which a refused caller may retry. */
  minRetryAfterMs: number
  maxRetryAfterMs: number
  /** Time for which the id of a cancelled job is retained, so that a late resubmission does not run it. */
  cancelRetentionMs: number
  /** Time for which the outcome of an ended job is retained for resubmissions. */
  outcomeRetentionMs: number
}

export const DEFAULT_SCHEDULER: SchedulerOptions = {
  tickMs: 50,
  loadPenaltyMs: 20,
  remoteDataFactor: 1.5,
  suspectAfterMs: 600,
  lostAfterMs: 1_250,
  stallMs: 200,
  stalledMs: 200,
  slowFactor: 2.5,
  moveGain: 1.3,
  stopRepeatMs: 250,
  lateRequestMs: 50,
  minRetryAfterMs: 1_000,
  maxRetryAfterMs: 8_000,
  cancelRetentionMs: 120_000,
  outcomeRetentionMs: 5_000
}
