/** Checks request bodies and converts them into submissions. */
import * as protocol from '@egretvalve/protocol'
import * as results from 'ts-results'
import type * as zod from 'zod'
import { type JobBody, jobSchema, RequestClassName, requestSchema, type TaskBody } from './schema.ts'

const { wire } = protocol

/** A field that was refused. */
export interface FieldProblem {
  field: string
  message: string
}

/** Facts about a submission that its body doesn't hold. */
export interface ParseContext {
  idempotencyKey: string | undefined
  nowWallMs: number
  defaultDeadlineMs: number
}

const MAX_SHOWN_LENGTH = 60

/** Parses the body of a job. */
export function parseJob (body: Buffer, context: ParseContext): results.Result<protocol.wire.ISubmission, FieldProblem> {
  const parsed = parseWith(jobSchema, body)
  if (parsed.err) return parsed
  return createSubmission(parsed.val, parsed.val.tasks, false, context)
}

/** Parses the body of a request: one task. */
export function parseRequest (body: Buffer, context: ParseContext): results.Result<protocol.wire.ISubmission, FieldProblem> {
  const parsed = parseWith(requestSchema, body)
  if (parsed.err) return parsed
  return createSubmission(parsed.val, [parsed.val], true, context)
}

function parseWith<T> (schema: zod.ZodType<T>, body: Buffer): results.Result<T, FieldProblem> {
  const text = decodeText(body)
  if (text === undefined) return results.Err({ field: 'body', message: 'got bytes that are not UTF-8; expected a JSON object in UTF-8' })
  let value: unknown
  try {
    value = JSON.parse(text)
  } catch (thrown) {
    return results.Err({ field: 'body', message: `got text that is not JSON (${thrown instanceof Error ? thrown.message : String(thrown)}); expected a JSON object` })
  }
  const outcome = schema.safeParse(value, { reportInput: true })
  if (outcome.success) return results.Ok(outcome.data)
  return results.Err(describeIssue(outcome.error.issues[0]!))
}

function decodeText (body: Buffer): string | undefined {
  try {
    return new TextDecoder('utf-8', { fatal: true }).decode(body)
  } catch {
    return undefined
  }
}

function describeIssue (issue: zod.core.$ZodIssue): FieldProblem {
  const field = issue.path.join('.') || 'body'
  const given = issue.input === undefined ? 'nothing' : JSON.stringify(issue.input).slice(0, MAX_SHOWN_LENGTH)
  return { field, message: `got ${given}; ${issue.message}` }
}

function createSubmission (body: Omit<JobBody, 'tasks'>, tasks: readonly TaskBody[], single: boolean, context: ParseContext): results.Result<protocol.wire.ISubmission, FieldProblem> {
  const submissionId = body.submissionId ?? context.idempotencyKey
  if (submissionId === undefined || submissionId === '') {
    return results.Err({ field: 'submissionId', message: 'got nothing; expected an id in the field submissionId or in the header Idempotency-Key' })
  }
  const twice = tasks.findIndex(task => task.body !== undefined && task.bodyBase64 !== undefined)
  if (twice >= 0) return results.Err({ field: single ? 'bodyBase64' : `tasks.${twice}.bodyBase64`, message: 'got both body and bodyBase64; expected one of them' })
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
