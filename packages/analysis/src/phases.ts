/** Divides the time of a submission into phases, along the task that ended last. */
import type { FleetUse } from './fleetUse.ts'
import { type Attempt, AttemptEnd, type Submission } from './submissions.ts'

/** Part of the time of a submission. */
export enum Phase {
  /** From the acceptance to the first order of the task. */
  Queue = 'queue',
  /** Orders that agents returned without a start. */
  Returns = 'returned orders',
  /** Runs that failed, were lost or were stopped, and the time until the task was ordered again. */
  Attempts = 'failed attempts',
  /** From the order to the start on the worker. */
  Start = 'start',
  /** Run time that a typical worker needs. */
  Run = 'run',
  /** Run time beyond that. */
  Slowness = 'slow worker',
  /** From the end of the run to the end of the job. */
  Answer = 'answer'
}

/** Time by phase, in milliseconds. */
export type PhaseTimes = Record<Phase, number>

const NO_TIMES: PhaseTimes = { [Phase.Queue]: 0, [Phase.Returns]: 0, [Phase.Attempts]: 0, [Phase.Start]: 0, [Phase.Run]: 0, [Phase.Slowness]: 0, [Phase.Answer]: 0 }

/** Returns the phases of a submission. Without any order, all time is queue. */
export function measurePhases (submission: Submission, use: FleetUse): PhaseTimes {
  const times = { ...NO_TIMES }
  const attempts = findLastTask(submission)
  if (attempts === undefined) {
    times[Phase.Queue] = submission.endedAtMs - submission.acceptedAtMs
    return times
  }
  times[Phase.Queue] = attempts[0]!.sentAtMs - submission.acceptedAtMs
  attempts.forEach((attempt, number) => {
    const nextMs = attempts[number + 1]?.sentAtMs
    if (nextMs === undefined) addLastAttempt(times, attempt, submission, use)
    else times[attempt.end === AttemptEnd.NotStarted ? Phase.Returns : Phase.Attempts] += nextMs - attempt.sentAtMs
  })
  return times
}

function addLastAttempt (times: PhaseTimes, attempt: Attempt, submission: Submission, use: FleetUse): void {
  if (attempt.end !== AttemptEnd.Done) {
    times[attempt.end === AttemptEnd.NotStarted ? Phase.Returns : Phase.Attempts] += submission.endedAtMs - attempt.sentAtMs
    return
  }
  const typicalMs = typicalRunMs(attempt, use)
  times[Phase.Run] = typicalMs
  times[Phase.Slowness] = attempt.runMs - typicalMs
  times[Phase.Start] = Math.max(0, attempt.endedAtMs - attempt.runMs - attempt.sentAtMs)
  times[Phase.Answer] = Math.max(0, submission.endedAtMs - attempt.endedAtMs)
}

/** Returns the time that the run would have taken on a typical worker. */
export function typicalRunMs (attempt: Attempt, use: FleetUse): number {
  return attempt.runMs / Math.max(1, use.slownessOf(attempt.agentId, attempt.endedAtMs - attempt.runMs / 2))
}

/** Returns the attempts of the task that ended last, or that was never ordered again after its last attempt. */
function findLastTask (submission: Submission): Attempt[] | undefined {
  let last: Attempt[] | undefined
  for (const attempts of submission.tasks.values()) {
    if (last === undefined || endOf(attempts) > endOf(last)) last = attempts
  }
  return last
}

function endOf (attempts: readonly Attempt[]): number {
  const { end, endedAtMs } = attempts.at(-1)!
  return end === AttemptEnd.Done ? endedAtMs : Number.POSITIVE_INFINITY
}
