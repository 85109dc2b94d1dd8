/** Schemas of the response bodies of the caller API. */
import * as protocol from '@egretvalve/protocol'
import * as zod from 'zod'
import { AnswerKindName, TaskStateName } from './render.ts'

const LOWEST_STATUS = 100
const HIGHEST_STATUS = 599

const taskSchema = zod.strictObject({
  index: zod.int().min(0).max(protocol.MAX_JOB_TASKS - 1).describe('Position of the task in its job.'),
  state: zod.enum(TaskStateName),
  statusCode: zod.int().min(LOWEST_STATUS).max(HIGHEST_STATUS).optional().describe('HTTP status of the backend server.'),
  contentType: zod.string().optional().describe('Content type of the backend server.'),
  body: zod.string().optional().describe('Result, if its bytes are UTF-8; only in a complete answer.'),
  bodyBase64: zod.base64().optional().describe('Result in base64, for any other bytes.'),
  refusal: zod.string().optional().describe('Why the task did not start.'),
  error: zod.string().optional().describe('What failed, with the step and the peer.'),
  runMs: zod.number().min(0).optional().describe('Run time at the backend server in milliseconds.')
})

/** Body of an answer to a submission. */
export const answerSchema = zod.strictObject({
  team: zod.string(),
  submissionId: zod.string(),
  kind: zod.enum(AnswerKindName),
  code: zod.enum(protocol.AnswerCode).describe('Stable code that tells why.'),
  message: zod.string(),
  retryAfterMs: zod.number().min(0).optional().describe('Time after which a new try makes sense, in milliseconds.'),
  taskCount: zod.int().min(0).max(protocol.MAX_JOB_TASKS),
  tasks: zod.array(taskSchema)
})

/** Body of an error response: the call was invalid and nothing was submitted. */
export const errorSchema = zod.strictObject({
  error: zod.strictObject({
    code: zod.enum(protocol.ErrorCode),
    message: zod.string().describe('Names the field, what came and what is right.'),
    field: zod.string().optional()
  })
})

/** Body of `/healthz`. */
export const healthSchema = zod.strictObject({ healthy: zod.boolean() })

/** Body of `/readyz`. */
export const readinessSchema = zod.strictObject({
  ready: zod.boolean(),
  isServing: zod.boolean(),
  hasConfiguration: zod.boolean(),
  hasAssignment: zod.boolean()
})
