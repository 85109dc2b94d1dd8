/** Answers to submissions and their stable codes. */
import { wire } from './generated/wire.js'

/** Stable codes of answers, explained in `docs/operators/answers.md`. */
export enum AnswerCode {
  Pending = 'pending',
  Complete = 'complete',
  TasksFailed = 'tasks-failed',
  OutcomeUnknown = 'outcome-unknown',
  Cancelled = 'cancelled',
  DeadlinePassed = 'deadline-passed',
  Overloaded = 'overloaded',
  QuotaExceeded = 'quota-exceeded',
  Unplaceable = 'unplaceable',
  UnknownService = 'unknown-service',
  UnknownTeam = 'unknown-team',
  OwnerUnavailable = 'owner-unavailable',
  Draining = 'draining',
  RecordFull = 'record-full'
}

/** Creates the answer `refused`: no task of the submission has started or will start. */
export function createRefusal (key: wire.ISubmissionKey, code: AnswerCode, message: string, retryAfterMs = 0): wire.IAnswer {
  return { key, kind: wire.AnswerKind.ANSWER_KIND_REFUSED, code, message, retryAfterMs, tasks: [], taskCount: 0 }
}

/** Creates the answer `outcome unknown`: the submission may have run before and will not run again. */
export function createUnknownOutcome (key: wire.ISubmissionKey, message: string): wire.IAnswer {
  return { key, kind: wire.AnswerKind.ANSWER_KIND_UNKNOWN, code: AnswerCode.OutcomeUnknown, message, tasks: [], taskCount: 0 }
}

/** Creates the final answer of a job from the reports of all its tasks, in task order. `code` replaces `TasksFailed` if a task did not finish. */
export function createFinalAnswer (key: wire.ISubmissionKey, reports: readonly wire.ITaskReport[], code?: AnswerCode): wire.IAnswer {
  const isComplete = reports.every(report => report.state === wire.TaskState.TASK_STATE_FINISHED)
  if (isComplete) {
    return { key, kind: wire.AnswerKind.ANSWER_KIND_COMPLETE, code: AnswerCode.Complete, tasks: [...reports], taskCount: reports.length }
  }
  const outcomes = reports.map(withoutResult)
  return {
    key,
    kind: wire.AnswerKind.ANSWER_KIND_FAILED,
    code: code ?? AnswerCode.TasksFailed,
    message: describeFailure(reports),
    tasks: outcomes,
    taskCount: reports.length
  }
}

/** A failed answer states the outcome of each task and never carries partial results. */
function withoutResult (report: wire.ITaskReport): wire.ITaskReport {
  return { index: report.index, attempt: report.attempt, state: report.state, refusal: report.refusal, statusCode: report.statusCode, error: report.error, runMs: report.runMs }
}

function describeFailure (reports: readonly wire.ITaskReport[]): string {
  const finished = reports.filter(report => report.state === wire.TaskState.TASK_STATE_FINISHED).length
  const notRun = reports.filter(report => report.state === wire.TaskState.TASK_STATE_NOT_RUN).length
  const failed = reports.filter(report => report.state === wire.TaskState.TASK_STATE_FAILED).length
  const unknown = reports.length - finished - notRun - failed
  return `of ${reports.length} tasks ${finished} finished, ${failed} failed, ${notRun} did not run, ${unknown} have an unknown outcome`
}
