/** The interface between the load generator and a dispatcher under test. */
import type { ServerEvent } from './plan.ts'
import type { PolicyName, TaskResult } from './record.ts'
import type { AnswerKind, TraceJob } from './trace.ts'

/** An answer as received by its caller. */
export interface ReceivedAnswer {
  /** Undefined when no answer arrived. */
  kind?: AnswerKind
  code: string
  tasks: TaskResult[]
}

/** A submission as sent by the generator. */
export interface LiveSubmission {
  job: TraceJob
  /** Submission id in messages, unique to this run. */
  submissionId: string
  /** Index of the entry that receives it. */
  entry: number
}

/** Counts of messages sent by the dispatcher's processes. */
export interface DispatcherMessages {
  /** Messages that carry submissions, starts, results or cancellations. */
  workMessages: number
  /** Messages caused by tasks that carry neither a start nor a result. */
  overheadMessages: number
  /** Tasks in start messages, repeated attempts included. */
  tasksSent: number
}

/** A dispatcher for the stand-in backend servers of a run. */
export interface Dispatcher {
  policy: PolicyName
  start: () => Promise<void>
  stop: () => Promise<void>
  submit: (submission: LiveSubmission) => Promise<ReceivedAnswer>
  cancel: (submission: LiveSubmission) => Promise<void>
  changeServer: (event: ServerEvent) => Promise<void>
  /** Returns the messages since the start; undefined when they are sent by other processes and cannot be counted. */
  countMessages: () => DispatcherMessages | undefined
}
