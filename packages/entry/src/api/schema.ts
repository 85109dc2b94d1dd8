/** Schemas of the request bodies of the caller API. */
import * as protocol from '@egretvalve/protocol'
import * as zod from 'zod'

const MAX_NAME_LENGTH = 200
const MAX_RUN_MS = 3_600_000
const MAX_CAPACITY = 1_000_000

/** Request class as a string of the API. */
export enum RequestClassName {
  Pressing = 'pressing',
  Ordinary = 'ordinary'
}

const name = zod.string().min(1).max(MAX_NAME_LENGTH).regex(/^[\w.:@-]+$/, 'letters, digits, and . _ : @ - only')

const wantedSchema = zod.strictObject({
  slots: zod.int().min(1).max(MAX_CAPACITY).optional(),
  connections: zod.int().min(0).max(MAX_CAPACITY).optional(),
  cores: zod.number().min(0).max(MAX_CAPACITY).optional(),
  memoryMb: zod.number().min(0).max(MAX_CAPACITY).optional(),
  accelerators: zod.int().min(0).max(MAX_CAPACITY).optional()
})

const bodyFields = {
  body: zod.string().optional().describe('Body of the task as text.'),
  bodyBase64: zod.base64().optional().describe('Body of the task as bytes in base64.'),
  declaredRunMs: zod.number().min(0).max(MAX_RUN_MS).optional().describe('Expected run time in milliseconds.')
}

const taskSchema = zod.strictObject(bodyFields)

const submissionFields = {
  team: name.describe('Team that submits.'),
  submissionId: name.optional().describe('Id chosen by the caller; a version 7 UUID is best. The Idempotency-Key header may carry it.'),
  service: name.describe('Service whose backend servers run the tasks.'),
  class: zod.enum(RequestClassName).default(RequestClassName.Ordinary),
  repeatable: zod.boolean().default(false).describe('True if a task may run again after a failure.'),
  deadlineMs: zod.number().positive().max(MAX_RUN_MS).optional().describe('Time from now after which no task may start, in milliseconds.'),
  wanted: wantedSchema.optional().describe('Capacity that each task wants.'),
  path: zod.string().regex(/^\/[!-~]*$/).default('/').describe('Path of the call to the backend server.'),
  contentType: zod.string().max(MAX_NAME_LENGTH).regex(/^[ -~]*$/).default('application/octet-stream')
}

/** Body of `POST /v1/jobs`. */
export const jobSchema = zod.strictObject({
  ...submissionFields,
  tasks: zod.array(taskSchema).min(1).max(protocol.MAX_JOB_TASKS)
})

/** Body of `POST /v1/requests`. */
export const requestSchema = zod.strictObject({ ...submissionFields, ...bodyFields })

export type JobBody = zod.infer<typeof jobSchema>
export type RequestBody = zod.infer<typeof requestSchema>
export type TaskBody = zod.infer<typeof taskSchema>
