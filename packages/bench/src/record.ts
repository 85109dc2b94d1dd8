/** What a run of a plan produced, whichever policy dispatched it. */
import type { LoadPlan } from './plan.ts'
import type { AnswerKind, TraceJob } from './trace.ts'

/** Names of the dispatchers that a run can compare. */
export enum PolicyName {
  Egretvalve = 'egretvalve',
  Ideal = 'ideal',
  Random = 'random',
  RoundRobin = 'round-robin',
  LeastOutstanding = 'least-outstanding'
}

/** What an answer states of one task. */
export enum TaskResult {
  /** The answer carries the task's own result. */
  Finished = 'finished',
  /** The answer claims a result but carries none, or that of another task. */
  Wrong = 'wrong',
  /** The answer failed and states that the task finished. */
  FinishedWithoutResult = 'finished-without-result',
  Failed = 'failed',
  NotRun = 'not-run',
  Unknown = 'unknown'
}

/** One submission and the answer that its caller got. Times are milliseconds from the start of the trace. */
export interface JobOutcome {
  job: TraceJob
  /** When the submission was handed to the client; later than the trace says when the generator lags. */
  submittedAtMs: number
  /** Missing when no answer arrived. */
  answeredAtMs?: number
  kind?: AnswerKind
  /** Stable code of the answer, or of the transport error. */
  code: string
  tasks: TaskResult[]
}

/** One start that a backend server saw. Times are milliseconds from the start of the trace. */
export interface TaskStart {
  server: number
  /** Key of the submission, as given by `jobKey`. */
  key: string
  index: number
  startedAtMs: number
  /** Missing when the task was still running at the end. */
  endedAtMs?: number
  isFailed: boolean
}

/** Messages and costs of a run, counted by the dispatcher's processes. */
export interface RunCosts {
  /** Messages that carried neither a first start nor a task's result; missing when other processes sent them. */
  wastedMessages?: number
  /** Messages that carried starts or results; missing when other processes sent them. */
  workMessages?: number
  /** Processor time of the process that ran the load, in milliseconds. */
  cpuMs: number
}

/** A finished run. */
export interface RunRecord {
  policy: PolicyName
  plan: LoadPlan
  outcomes: JobOutcome[]
  starts: TaskStart[]
  costs: RunCosts
  /** Overhead of one direct call to an idle backend server in the same process, in milliseconds. */
  networkMs: number
}

/** Costs of a dispatcher that is only computed. */
export function createZeroCosts (): RunCosts {
  return { wastedMessages: 0, workMessages: 0, cpuMs: 0 }
}
