/** The OpenAPI description of the caller API, generated from the schemas that validate the bodies. */
import * as zod from 'zod'
import { jobSchema, requestSchema } from './schema.ts'
import { answerSchema, errorSchema, healthSchema, readinessSchema } from './schemaAnswers.ts'

const OPENAPI_VERSION = '3.1.0'
const API_VERSION = '1'

/** Schema names in the `components` section. */
enum SchemaName {
  Job = 'Job',
  Request = 'Request',
  Answer = 'Answer',
  Error = 'Error',
  Health = 'Health',
  Readiness = 'Readiness'
}

interface Operation {
  method: 'get' | 'post' | 'delete'
  path: string
  summary: string
  parameters: readonly Parameter[]
  requestBody?: SchemaName
  responses: readonly ResponseDescription[]
}

interface Parameter {
  name: string
  in: 'path' | 'query' | 'header'
  required: boolean
  description: string
  schema: { type: string, minimum?: number }
}

interface ResponseDescription {
  status: number
  description: string
  schema: SchemaName
}

const TEAM: Parameter = { name: 'team', in: 'path', required: true, description: 'Team that submitted.', schema: { type: 'string' } }
const SUBMISSION_ID: Parameter = { name: 'submissionId', in: 'path', required: true, description: 'Id that the caller chose.', schema: { type: 'string' } }
const IDEMPOTENCY_KEY: Parameter = { name: 'Idempotency-Key', in: 'header', required: false, description: 'Submission id, if the body has none.', schema: { type: 'string' } }
const WAIT_MS: Parameter = { name: 'waitMs', in: 'query', required: false, description: 'Longest wait for the answer in this call, in milliseconds.', schema: { type: 'integer', minimum: 0 } }

const PENDING: ResponseDescription = { status: 202, description: 'Accepted; the answer is still to come.', schema: SchemaName.Answer }
const ANSWERED: ResponseDescription = { status: 200, description: 'The final answer: complete or failed.', schema: SchemaName.Answer }
const REFUSED: ResponseDescription = { status: 503, description: 'Refused: nothing started and nothing will.', schema: SchemaName.Answer }
const UNKNOWN: ResponseDescription = { status: 409, description: 'The outcome is unknown and the id won\'t run now, or the id was used for other work.', schema: SchemaName.Answer }
const INVALID: ResponseDescription = { status: 400, description: 'The call is wrong; the message names the field.', schema: SchemaName.Error }
const TOO_LARGE: ResponseDescription = { status: 413, description: 'The body is larger than allowed.', schema: SchemaName.Error }
const NOT_FOUND: ResponseDescription = { status: 404, description: 'No such submission within the retention time.', schema: SchemaName.Error }

const SUBMIT_RESPONSES = [ANSWERED, PENDING, INVALID, UNKNOWN, TOO_LARGE, REFUSED]
const LOOK_UP_RESPONSES = [ANSWERED, PENDING, INVALID, NOT_FOUND, UNKNOWN, REFUSED]

const operations: readonly Operation[] = [
  { method: 'post', path: '/v1/jobs', summary: 'Submits a job of up to 680 tasks.', parameters: [WAIT_MS, IDEMPOTENCY_KEY], requestBody: SchemaName.Job, responses: SUBMIT_RESPONSES },
  { method: 'post', path: '/v1/requests', summary: 'Submits one task.', parameters: [WAIT_MS, IDEMPOTENCY_KEY], requestBody: SchemaName.Request, responses: SUBMIT_RESPONSES },
  { method: 'get', path: '/v1/jobs/{team}/{submissionId}', summary: 'Looks at a submission.', parameters: [TEAM, SUBMISSION_ID], responses: LOOK_UP_RESPONSES },
  { method: 'get', path: '/v1/jobs/{team}/{submissionId}/answer', summary: 'Waits for the answer.', parameters: [TEAM, SUBMISSION_ID, WAIT_MS], responses: LOOK_UP_RESPONSES },
  { method: 'delete', path: '/v1/jobs/{team}/{submissionId}', summary: 'Cancels what has not started.', parameters: [TEAM, SUBMISSION_ID], responses: LOOK_UP_RESPONSES },
  { method: 'get', path: '/healthz', summary: 'The process is alive.', parameters: [], responses: [{ status: 200, description: 'Alive.', schema: SchemaName.Health }] },
  {
    method: 'get',
    path: '/readyz',
    summary: 'The entry takes submissions.',
    parameters: [],
    responses: [{ status: 200, description: 'Ready.', schema: SchemaName.Readiness }, { status: 503, description: 'Starting or draining.', schema: SchemaName.Readiness }]
  }
]

const inputSchemas: ReadonlyArray<[SchemaName, zod.ZodType]> = [[SchemaName.Job, jobSchema], [SchemaName.Request, requestSchema]]
const outputSchemas: ReadonlyArray<[SchemaName, zod.ZodType]> = [
  [SchemaName.Answer, answerSchema],
  [SchemaName.Error, errorSchema],
  [SchemaName.Health, healthSchema],
  [SchemaName.Readiness, readinessSchema]
]

/** An OpenAPI 3.1 document. */
export interface OpenApiDocument {
  openapi: string
  info: { title: string, version: string }
  paths: Record<string, Record<string, unknown>>
  components: { schemas: Record<string, unknown> }
}

export function createOpenApi (): OpenApiDocument {
  const schemas: Record<string, unknown> = {}
  for (const [name, schema] of inputSchemas) schemas[name] = zod.toJSONSchema(schema, { io: 'input' })
  for (const [name, schema] of outputSchemas) schemas[name] = zod.toJSONSchema(schema, { io: 'output' })
  const paths: OpenApiDocument['paths'] = {}
  for (const operation of operations) {
    paths[operation.path] = { ...paths[operation.path], [operation.method]: describeOperation(operation) }
  }
  return { openapi: OPENAPI_VERSION, info: { title: 'egretvalve caller API', version: API_VERSION }, paths, components: { schemas } }
}

function describeOperation (operation: Operation): unknown {
  const responses: Record<string, unknown> = {}
  for (const response of operation.responses) {
    responses[String(response.status)] = { description: response.description, content: createJsonContent(response.schema) }
  }
  const requestBody = operation.requestBody === undefined ? undefined : { required: true, content: createJsonContent(operation.requestBody) }
  return { summary: operation.summary, parameters: operation.parameters, requestBody, responses }
}

function createJsonContent (schema: SchemaName): unknown {
  return { 'application/json': { schema: { $ref: `#/components/schemas/${schema}` } } }
}
