/** Record of a run of a plan under one policy. */
import type { LoadPlan } from './plan.ts'
import type { AnswerKind, TraceJob } from './trace.ts'

/** Names of the dispatchers that can be compared. */
export enum PolicyName {
  Egretvalve = 'egretvalve',
  Ideal = 'ideal',
  Random = 'random',
  RoundRobin = 'round-robin',
  LeastOutstanding = 'least-outstanding'
}

/** State of one task according to an answer. */
export enum TaskResult {
  /** The answer carries the result of the task. */
  Finished = 'finished',
  /** The answer reports a result but carries none, or the result of another task. */
  Wrong = 'wrong',
  /** The answer failed but reports that the task finished. */
  FinishedWithoutResult = 'finished-without-result',
  Failed = 'failed',
  NotRun = 'not-run',
  Unknown = 'unknown'
}

/** A submission and its answer. Times are in milliseconds from the start of the trace. */
export interface JobOutcome {
  job: TraceJob
  /** Time when the submission was passed to the client; later than `job.atMs` when the generator lags. */
  submittedAtMs: number
  /** Undefined when no answer arrived. */
  answeredAtMs?: number
  kind?: AnswerKind
  /** Code of the answer, or the cause when no answer arrived. */
  code: string
  tasks: TaskResult[]
}

/** A start recorded by a backend server. Times are in milliseconds from the start of the trace. */
export interface TaskStart {
  server: number
  /** Key of the submission, see `jobKey`. */
  key: string
  index: number
  startedAtMs: number
  /** Undefined when the task was still running at the end. */
  endedAtMs?: number
  isFailed: boolean
}

/** Messages and processor time of a run. */
export interface RunCosts {
  /** Messages that carried neither a first start nor a result; undefined when sent by other processes. */
  wastedMessages?: number
  /** Messages that carried submissions, starts, results or cancellations; undefined when sent by other processes. */
  workMessages?: number
  /** Processor time of the process that ran the load, in milliseconds. */
  cpuMs: number
}

/** Record of a finished run. */
export interface RunRecord {
  policy: PolicyName
  plan: LoadPlan
  outcomes: JobOutcome[]
  starts: TaskStart[]
  costs: RunCosts
  /** Overhead of a direct call to an idle backend server in the same process, in milliseconds. */
  networkMs: number
}

/** Returns the costs of a dispatcher that is computed rather than run. */
export function createZeroCosts (): RunCosts {
  return { wastedMessages: 0, workMessages: 0, cpuMs: 0 }
}
