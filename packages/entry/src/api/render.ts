/** Converts answers into the JSON of the caller API. */
import { isUtf8 } from 'node:buffer'
import * as protocol from '@egretvalve/protocol'
import * as runtime from '@egretvalve/runtime'

const { wire } = protocol

/** Answer kind as a string of the API. */
export enum AnswerKindName {
  Pending = 'pending',
  Complete = 'complete',
  Failed = 'failed',
  Refused = 'refused',
  Unknown = 'unknown'
}

/** Task state as a string of the API. */
export enum TaskStateName {
  Unknown = 'unknown',
  Queued = 'queued',
  Running = 'running',
  Finished = 'finished',
  Failed = 'failed',
  NotRun = 'not-run'
}

/** JSON of one task in an answer. */
export interface TaskView {
  index: number
  state: TaskStateName
  statusCode?: number
  contentType?: string
  body?: string
  bodyBase64?: string
  refusal?: string
  error?: string
  runMs?: number
}

/** JSON of an answer. */
export interface AnswerView {
  team: string
  submissionId: string
  kind: AnswerKindName
  code: string
  message: string
  retryAfterMs?: number
  taskCount: number
  tasks: TaskView[]
}

const KIND_NAMES: Readonly<Record<protocol.wire.AnswerKind, AnswerKindName>> = {
  [wire.AnswerKind.ANSWER_KIND_PENDING]: AnswerKindName.Pending,
  [wire.AnswerKind.ANSWER_KIND_COMPLETE]: AnswerKindName.Complete,
  [wire.AnswerKind.ANSWER_KIND_FAILED]: AnswerKindName.Failed,
  [wire.AnswerKind.ANSWER_KIND_REFUSED]: AnswerKindName.Refused,
  [wire.AnswerKind.ANSWER_KIND_UNKNOWN]: AnswerKindName.Unknown
}

const STATE_NAMES: Readonly<Record<protocol.wire.TaskState, TaskStateName>> = {
  [wire.TaskState.TASK_STATE_UNKNOWN]: TaskStateName.Unknown,
  [wire.TaskState.TASK_STATE_QUEUED]: TaskStateName.Queued,
  [wire.TaskState.TASK_STATE_RUNNING]: TaskStateName.Running,
  [wire.TaskState.TASK_STATE_FINISHED]: TaskStateName.Finished,
  [wire.TaskState.TASK_STATE_FAILED]: TaskStateName.Failed,
  [wire.TaskState.TASK_STATE_NOT_RUN]: TaskStateName.NotRun
}

const STATUS_BY_KIND: Readonly<Record<AnswerKindName, number>> = {
  [AnswerKindName.Pending]: 202,
  [AnswerKindName.Complete]: 200,
  [AnswerKindName.Failed]: 200,
  [AnswerKindName.Refused]: 503,
  [AnswerKindName.Unknown]: 409
}

const MS_PER_SECOND = 1_000

/** Converts one task's report. Results are included only in a complete answer. */
export function createTaskView (report: protocol.wire.ITaskReport, carriesResults: boolean): TaskView {
  const view: TaskView = { index: report.index ?? 0, state: STATE_NAMES[report.state ?? wire.TaskState.TASK_STATE_UNKNOWN] }
  if (report.statusCode) view.statusCode = report.statusCode
  if (report.contentType) view.contentType = report.contentType
  if (report.refusal) view.refusal = wire.RefusalReason[report.refusal].replace('REFUSAL_REASON_', '').toLowerCase().replaceAll('_', '-')
  if (report.error) view.error = report.error
  if (report.runMs) view.runMs = report.runMs
  if (carriesResults && report.body != null) addBody(view, report.body)
  return view
}

/** Adds the body as text if it is valid UTF-8, otherwise in base64, so that its bytes are preserved. */
function addBody (view: TaskView, bytes: Uint8Array): void {
  const body = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength)
  if (isUtf8(body)) view.body = body.toString('utf8')
  else view.bodyBase64 = body.toString('base64')
}

export function createAnswerView (answer: protocol.wire.IAnswer): AnswerView {
  const view: AnswerView = {
    team: answer.key?.team ?? '',
    submissionId: answer.key?.submissionId ?? '',
    kind: KIND_NAMES[answer.kind ?? wire.AnswerKind.ANSWER_KIND_PENDING],
    code: answer.code ?? '',
    message: answer.message ?? '',
    taskCount: answer.taskCount ?? 0,
    tasks: (answer.tasks ?? []).map(report => createTaskView(report, answer.kind === wire.AnswerKind.ANSWER_KIND_COMPLETE))
  }
  if (answer.retryAfterMs) view.retryAfterMs = answer.retryAfterMs
  return view
}

/** Creates the HTTP response for an answer, with a `retry-after` header in seconds where the answer has a retry time. */
export function createAnswerResponse (answer: protocol.wire.IAnswer): runtime.WebResponse {
  const view = createAnswerView(answer)
  const headers = view.retryAfterMs === undefined ? undefined : { 'retry-after': String(Math.ceil(view.retryAfterMs / MS_PER_SECOND)) }
  return runtime.jsonResponse(STATUS_BY_KIND[view.kind], view, headers)
}
