/** The interface between the load generator and a dispatcher under test. */
import type { ServerEvent } from './plan.ts'
import type { PolicyName, TaskResult } from './record.ts'
import type { AnswerKind, TraceJob } from './trace.ts'

/** An answer as its caller got it. */
export interface ReceivedAnswer {
  /** Missing when no answer arrived. */
  kind?: AnswerKind
  code: string
  tasks: TaskResult[]
}

/** A submission as the generator sends it. */
export interface LiveSubmission {
  job: TraceJob
  /** Id on the wire, unique to this run. */
  submissionId: string
  /** Number of the entry that takes it. */
  entry: number
}

/** Messages that a dispatcher's processes sent. */
export interface DispatcherMessages {
  /** Messages that carried starts or results. */
  workMessages: number
  /** Messages sent because of tasks that carried neither a start nor a result. */
  overheadMessages: number
  /** Tasks in start messages, repeated attempts included. */
  tasksSent: number
}

/** A dispatcher over the run's stand-in backend servers. */
export interface Dispatcher {
  policy: PolicyName
  start: () => Promise<void>
  stop: () => Promise<void>
  submit: (submission: LiveSubmission) => Promise<ReceivedAnswer>
  cancel: (submission: LiveSubmission) => Promise<void>
  changeServer: (event: ServerEvent) => Promise<void>
  /** Messages since the start; undefined when the processes that send them are out of sight. */
  countMessages: () => DispatcherMessages | undefined
}
