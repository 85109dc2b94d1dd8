/** HTTP routes of the caller API. */
import * as protocol from '@egretvalve/protocol'
import * as runtime from '@egretvalve/runtime'
import type * as settings from '@egretvalve/settings'
import type * as results from 'ts-results'
import type { IntakeResult } from '../jobs/intake.ts'
import { createOpenApi } from './openapi.ts'
import { parseJob, parseRequest, type ParseContext } from './parse.ts'
import { createAnswerResponse } from './render.ts'

/** Operations of the caller API, independent of which entry owns the submission. */
export interface CallerGateway {
  submit: (submission: protocol.wire.ISubmission, waitMs: number, signal: AbortSignal) => Promise<GatewayResult>
  lookUp: (key: protocol.wire.ISubmissionKey, waitMs: number, signal: AbortSignal) => Promise<protocol.wire.IAnswer | undefined>
  cancel: (key: protocol.wire.ISubmissionKey) => Promise<protocol.wire.IAnswer | undefined>
  readiness: () => Readiness
}

/** Conditions that an entry must meet to be ready for requests; the body of `/readyz`. */
export interface Readiness {
  /** The entry listens and isn't stopping. */
  isServing: boolean
  /** The teams' configuration is in force. */
  hasConfiguration: boolean
  /** The owners of the partitions are known. */
  hasAssignment: boolean
}

/** An answer, or a conflict: the submission id was used before for other work. */
export type GatewayResult = Exclude<IntakeResult, { kind: 'accepted' }>

/** Clock and time limits of the routes. */
export interface RouteOptions {
  timers: settings.Timers
  defaultDeadlineMs: number
  maxWaitMs: number
}

type Parse = (body: Buffer, context: ParseContext) => results.Result<protocol.wire.ISubmission, protocol.InputProblem>

export function createCallerRoutes (gateway: CallerGateway, options: RouteOptions): runtime.WebRoute[] {
  const openApi = createOpenApi()
  return [
    { method: 'POST', path: '/v1/jobs', handle: async request => await submit(request, parseJob, gateway, options) },
    { method: 'POST', path: '/v1/requests', handle: async request => await submit(request, parseRequest, gateway, options) },
    { method: 'GET', path: '/v1/jobs/:team/:submissionId', handle: async request => await lookUp(request, 0, gateway) },
    { method: 'GET', path: '/v1/jobs/:team/:submissionId/answer', handle: async request => await waitForAnswer(request, gateway, options) },
    { method: 'DELETE', path: '/v1/jobs/:team/:submissionId', handle: async request => await cancel(request, gateway) },
    { method: 'GET', path: '/v1/openapi.json', handle: async () => runtime.jsonResponse(200, openApi) },
    { method: 'GET', path: '/healthz', handle: async () => runtime.jsonResponse(200, { healthy: true }) },
    { method: 'GET', path: '/readyz', handle: async () => createReadinessResponse(gateway.readiness()) }
  ]
}

function createReadinessResponse (readiness: Readiness): runtime.WebResponse {
  const isReady = readiness.isServing && readiness.hasConfiguration && readiness.hasAssignment
  return runtime.jsonResponse(isReady ? 200 : 503, { ready: isReady, ...readiness })
}

function refuseField (problem: protocol.InputProblem): runtime.WebResponse {
  return runtime.errorResponse(400, protocol.ErrorCode.InvalidInput, protocol.describeInputProblem(problem), problem.field)
}

/** Parses the query parameter `waitMs`, limited to `maxMs`; undefined if it is invalid. */
function readWaitMs (request: runtime.WebRequest, defaultMs: number, maxMs: number): number | undefined {
  const given = request.query.get('waitMs')
  if (given === null) return defaultMs
  if (!/^\d{1,9}$/.test(given)) return undefined
  return Math.min(Number(given), maxMs)
}

function refuseWait (request: runtime.WebRequest, maxMs: number): runtime.WebResponse {
  return refuseField({ field: 'waitMs', given: String(request.query.get('waitMs')), expects: `a whole number of milliseconds from 0 to ${maxMs}` })
}

async function submit (request: runtime.WebRequest, parse: Parse, gateway: CallerGateway, options: RouteOptions): Promise<runtime.WebResponse> {
  const waitMs = readWaitMs(request, 0, options.maxWaitMs)
  if (waitMs === undefined) return refuseWait(request, options.maxWaitMs)
  const idempotencyKey = request.headers['idempotency-key']
  const submission = parse(request.body, {
    idempotencyKey: typeof idempotencyKey === 'string' ? idempotencyKey : undefined,
    nowWallMs: options.timers.wallClockMs(),
    defaultDeadlineMs: options.defaultDeadlineMs
  })
  if (submission.err) return refuseField(submission.val)
  const result = await gateway.submit(submission.val, waitMs, request.signal)
  switch (result.kind) {
    case 'answered':
      return createAnswerResponse(result.answer)
    case 'conflict':
      return runtime.errorResponse(409, protocol.ErrorCode.Conflict, result.message, 'submissionId')
    default:
      return protocol.assertNever(result)
  }
}

function readKey (request: runtime.WebRequest): protocol.wire.ISubmissionKey {
  return { team: request.params.team, submissionId: request.params.submissionId }
}

function refuseUnknown (key: protocol.wire.ISubmissionKey): runtime.WebResponse {
  const message = `submissionId: got ${key.submissionId}; team ${key.team} has no such submission within the retention time`
  return runtime.errorResponse(404, protocol.ErrorCode.NotFound, message, 'submissionId')
}

async function lookUp (request: runtime.WebRequest, waitMs: number, gateway: CallerGateway): Promise<runtime.WebResponse> {
  const key = readKey(request)
  const answer = await gateway.lookUp(key, waitMs, request.signal)
  return answer === undefined ? refuseUnknown(key) : createAnswerResponse(answer)
}

async function waitForAnswer (request: runtime.WebRequest, gateway: CallerGateway, options: RouteOptions): Promise<runtime.WebResponse> {
  const waitMs = readWaitMs(request, options.maxWaitMs, options.maxWaitMs)
  if (waitMs === undefined) return refuseWait(request, options.maxWaitMs)
  return await lookUp(request, waitMs, gateway)
}

async function cancel (request: runtime.WebRequest, gateway: CallerGateway): Promise<runtime.WebResponse> {
  const key = readKey(request)
  const answer = await gateway.cancel(key)
  return answer === undefined ? refuseUnknown(key) : createAnswerResponse(answer)
}
