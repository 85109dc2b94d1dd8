/** Validates request bodies and converts them into submissions. */
import * as protocol from '@egretvalve/protocol'
import * as results from 'ts-results'
import { type JobBody, jobSchema, RequestClassName, requestSchema, type TaskBody } from './schema.ts'

const { wire } = protocol

/** Values of a submission that are not in its body. */
export interface ParseContext {
  idempotencyKey: string | undefined
  nowWallMs: number
  defaultDeadlineMs: number
}

/** Parses the body of a job. */
export function parseJob (body: Buffer, context: ParseContext): results.Result<protocol.wire.ISubmission, protocol.InputProblem> {
  const parsed = protocol.parseJson(body, jobSchema)
  if (parsed.err) return parsed
  return createSubmission(parsed.val, parsed.val.tasks, false, context)
}

/** Parses the body of a request, which is a job of one task. */
export function parseRequest (body: Buffer, context: ParseContext): results.Result<protocol.wire.ISubmission, protocol.InputProblem> {
  const parsed = protocol.parseJson(body, requestSchema)
  if (parsed.err) return parsed
  return createSubmission(parsed.val, [parsed.val], true, context)
}

function createSubmission (body: Omit<JobBody, 'tasks'>, tasks: readonly TaskBody[], single: boolean, context: ParseContext): results.Result<protocol.wire.ISubmission, protocol.InputProblem> {
  const submissionId = body.submissionId ?? context.idempotencyKey
  if (submissionId === undefined || submissionId === '') {
    return results.Err({ field: 'submissionId', given: 'nothing', expects: 'an id in the field submissionId or in the header Idempotency-Key' })
  }
  const ambiguousIndex = tasks.findIndex(task => task.body !== undefined && task.bodyBase64 !== undefined)
  if (ambiguousIndex >= 0) return results.Err({ field: single ? 'bodyBase64' : `tasks.${ambiguousIndex}.bodyBase64`, given: 'both body and bodyBase64', expects: 'one of them' })
  return results.Ok({
    key: { team: body.team, submissionId },
    service: body.service,
    requestClass: body.class === RequestClassName.Pressing ? wire.RequestClass.REQUEST_CLASS_PRESSING : wire.RequestClass.REQUEST_CLASS_ORDINARY,
    repeatable: body.repeatable,
    submittedAtMs: protocol.submissionTimeMs(submissionId) ?? 0,
    receivedAtMs: context.nowWallMs,
    deadlineAtMs: context.nowWallMs + (body.deadlineMs ?? context.defaultDeadlineMs),
    wanted: body.wanted,
    path: body.path,
    contentType: body.contentType,
    single,
    tasks: tasks.map(createTask)
  })
}

function createTask (task: TaskBody): protocol.wire.ITaskSpec {
  const body = task.bodyBase64 !== undefined ? Buffer.from(task.bodyBase64, 'base64') : Buffer.from(task.body ?? '', 'utf8')
  return { body, declaredRunMs: task.declaredRunMs ?? 0 }
}
