/** Finds the cause of each submission that was refused, late, failed or abandoned. */
import type { FleetUse } from './fleetUse.ts'
import { measurePhases, Phase, type PhaseTimes, typicalRunMs } from './phases.ts'
import { type Attempt, AttemptEnd, type Submission, SubmissionEnd } from './submissions.ts'

/** What a caller got. */
export enum Verdict {
  InTime = 'in time',
  Late = 'late',
  Refused = 'refused',
  Failed = 'failed',
  Expired = 'expired',
  /** The caller left, or its connection was lost. */
  Abandoned = 'abandoned'
}

/** Why a caller did not get its answer in time. */
export enum Cause {
  None = '-',
  NoWorkerLinked = 'no worker linked',
  EntryBusy = 'entry busy',
  AgentBusy = 'agent busy',
  NoCapacity = 'no capacity',
  /** Orders were returned although other workers had free capacity. */
  StaleView = 'stale view of workers',
  SlowWorker = 'slow worker',
  FailingWorker = 'failing worker',
  WorkerLost = 'worker lost',
  /** Workers crashed while they ran a task of the job. */
  TaskCrashedWorker = 'task crashed its worker',
  EntryLost = 'entry lost',
  /** The task itself takes longer than the objective allows for its estimate. */
  LongWork = 'long work',
  CallerLeft = 'caller left early',
  RefusedRightly = 'refused rightly',
  RefusedServable = 'refused although servable',
  HeldInVain = 'held although not servable'
}

/** A submission with its verdict, cause and phases. */
export interface AnalyzedSubmission {
  submission: Submission
  verdict: Verdict
  cause: Cause
  phases: PhaseTimes
}

/** Share of the processors in use from which the fleet counts as full. */
const FULL_SHARE = 0.88
/** Share of the objective within which a refusal counts as early. */
const EARLY_REFUSAL_SHARE = 0.25
/** Latency objective over the typical run time of the longest task, when the log does not name it. */
const DEFAULT_SLACK_FACTOR = 1.6

/** Determines the verdict and the cause of a submission. */
export function analyzeSubmission (submission: Submission, use: FleetUse): AnalyzedSubmission {
  const phases = measurePhases(submission, use)
  const verdict = judge(submission, use)
  return { submission, verdict, phases, cause: findCause(submission, verdict, phases, use) }
}

function judge (submission: Submission, use: FleetUse): Verdict {
  switch (submission.end) {
    case SubmissionEnd.Succeeded: return ageOf(submission) <= objectiveMs(submission, use) ? Verdict.InTime : Verdict.Late
    case SubmissionEnd.Failed: return Verdict.Failed
    case SubmissionEnd.Expired: return Verdict.Expired
    case SubmissionEnd.Refused: return Verdict.Refused
    case SubmissionEnd.Abandoned:
    case SubmissionEnd.Cancelled:
    case SubmissionEnd.Unknown: return Verdict.Abandoned
  }
}

/** Returns the latency objective by the work that the longest task turned out to have on a typical worker, rather than by its estimate. */
function objectiveMs (submission: Submission, use: FleetUse): number {
  const { estimatedMs, targetLatencyMs } = submission
  const slackFactor = estimatedMs > 0 && submission.objectiveMs > 0 ? (submission.objectiveMs - targetLatencyMs) / estimatedMs : DEFAULT_SLACK_FACTOR
  const longestMs = Math.max(0, ...lastAttempts(submission).map(attempt => typicalRunMs(attempt, use)))
  return slackFactor * longestMs + targetLatencyMs
}

function lastAttempts (submission: Submission): Attempt[] {
  return [...submission.tasks.values()].map(attempts => attempts.at(-1)!)
}

function findCause (submission: Submission, verdict: Verdict, phases: PhaseTimes, use: FleetUse): Cause {
  switch (verdict) {
    case Verdict.InTime: return Cause.None
    case Verdict.Refused: return findRefusalCause(submission, use)
    case Verdict.Failed: return submission.givenUpTasks > 0 ? Cause.TaskCrashedWorker : Cause.FailingWorker
    case Verdict.Abandoned:
      if (submission.end === SubmissionEnd.Unknown) return Cause.EntryLost
      if (ageOf(submission) <= submission.objectiveMs) return Cause.CallerLeft
      return findDelayCause(submission, phases, use)
    case Verdict.Late:
    case Verdict.Expired: return findDelayCause(submission, phases, use)
  }
}

function findRefusalCause (submission: Submission, use: FleetUse): Cause {
  if (submission.workers === 0) return Cause.NoWorkerLinked
  const isFull = use.usedShare(submission.acceptedAtMs, submission.endedAtMs + submission.objectiveMs) >= FULL_SHARE
  if (!isFull) return Cause.RefusedServable
  return ageOf(submission) > EARLY_REFUSAL_SHARE * submission.objectiveMs ? Cause.HeldInVain : Cause.RefusedRightly
}

/** Returns the cause behind the longest phase that a job on an idle fleet does not have. */
function findDelayCause (submission: Submission, phases: PhaseTimes, use: FleetUse): Cause {
  const avoidable = [Phase.Queue, Phase.Returns, Phase.Attempts, Phase.Start, Phase.Slowness, Phase.Answer]
  const longest = avoidable.reduce((best, phase) => phases[phase] > phases[best] ? phase : best)
  if (phases[longest] < submission.targetLatencyMs / 2) return Cause.LongWork
  const isFull = use.usedShare(submission.acceptedAtMs, submission.acceptedAtMs + phases[Phase.Queue] + phases[Phase.Returns]) >= FULL_SHARE
  switch (longest) {
    case Phase.Queue: return submission.workers === 0 ? Cause.NoWorkerLinked : isFull ? Cause.NoCapacity : Cause.EntryBusy
    case Phase.Returns: return isFull ? Cause.NoCapacity : Cause.StaleView
    case Phase.Attempts: return findAttemptCause(submission)
    case Phase.Start: return Cause.AgentBusy
    case Phase.Slowness: return Cause.SlowWorker
    default: return Cause.EntryBusy
  }
}

function findAttemptCause (submission: Submission): Cause {
  if (submission.moves > 0) return Cause.SlowWorker
  const ends = [...submission.tasks.values()].flat().map(attempt => attempt.end)
  return ends.includes(AttemptEnd.Failed) ? Cause.FailingWorker : Cause.WorkerLost
}

/** Time from the acceptance to the end, in milliseconds. */
export function ageOf (submission: Submission): number {
  return submission.endedAtMs - submission.acceptedAtMs
}
