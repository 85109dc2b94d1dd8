/** Request, response and body types of the administration API. */
import * as config from '@egretvalve/config'
import * as protocol from '@egretvalve/protocol'
import * as zod from 'zod'

/** Path under which the administration API is mounted. */
export const ADMIN_PREFIX = '/admin/v1'

/** An HTTP request, independent of the server library. */
export interface AdminRequest {
  method: string
  /** Path without the query, starting with the prefix. */
  path: string
  query: URLSearchParams
  authorization: string | undefined
  /** The parsed JSON body, or undefined. */
  body: unknown
}

/** An HTTP response with a JSON body. */
export interface AdminResponse {
  statusCode: number
  body: object
}

/** Body of an error response. */
export interface AdminError {
  code: protocol.ErrorCode
  step: string
  peer: string
  message: string
  problems?: config.ConfigProblem[]
}

const CHANGE_ID_EXPECTS = 'a text of 1 to 100 characters'
const SEEN_VERSION_EXPECTS = 'the version that the change starts from, 0 for a new team'
const TO_VERSION_EXPECTS = 'the version to go back to'

const changeId = zod.string({ error: CHANGE_ID_EXPECTS }).min(1, { error: CHANGE_ID_EXPECTS }).max(100, { error: CHANGE_ID_EXPECTS }).optional()
const seenVersion = zod.number({ error: SEEN_VERSION_EXPECTS }).int({ error: SEEN_VERSION_EXPECTS }).min(0, { error: SEEN_VERSION_EXPECTS })
const toVersion = zod.number({ error: TO_VERSION_EXPECTS }).int({ error: TO_VERSION_EXPECTS }).positive({ error: TO_VERSION_EXPECTS })

/** Body of a change: either a document or the answers from which it is generated. */
export const changeBodySchema = zod.strictObject({
  changeId,
  seenVersion,
  document: zod.unknown().optional(),
  answers: zod.unknown().optional()
}).refine(body => (body.document === undefined) !== (body.answers === undefined), { path: ['document'], error: 'either a document or answers' })

/** Body of a comparison with the document in force: either a document or answers. */
export const diffBodySchema = zod.strictObject({
  document: zod.unknown().optional(),
  answers: zod.unknown().optional()
}).refine(body => (body.document === undefined) !== (body.answers === undefined), { path: ['document'], error: 'either a document or answers' })

/** Body of a rollback. */
export const rollbackBodySchema = zod.strictObject({ changeId, seenVersion, toVersion })

/** Creates the response for an error. */
export function createErrorResponse (error: protocol.StepError, problems?: config.ConfigProblem[]): AdminResponse {
  const body: AdminError = { code: error.code, step: error.step, peer: error.peer, message: error.message }
  if (problems !== undefined) body.problems = problems
  return { statusCode: resolveStatusCode(error.code), body }
}

function resolveStatusCode (code: protocol.ErrorCode): number {
  switch (code) {
    case protocol.ErrorCode.InvalidInput: return 422
    case protocol.ErrorCode.NotFound: return 404
    case protocol.ErrorCode.Conflict: return 409
    case protocol.ErrorCode.Unauthorized: return 401
    case protocol.ErrorCode.Forbidden: return 403
    case protocol.ErrorCode.Unavailable: return 503
    case protocol.ErrorCode.Timeout: return 504
    case protocol.ErrorCode.RateLimited: return 429
    case protocol.ErrorCode.OutcomeUnknown: return 504
    case protocol.ErrorCode.Internal: return 500
    default: return protocol.assertNever(code)
  }
}

/** Creates the response for the outcome of a change. */
export function createOutcomeResponse (outcome: config.ChangeOutcome): AdminResponse {
  switch (outcome.kind) {
    case config.ChangeOutcomeKind.Accepted:
      return { statusCode: 200, body: { kind: outcome.kind, changeId: outcome.changeId, team: outcome.config.team, version: outcome.config.version, differences: outcome.differences } }
    case config.ChangeOutcomeKind.Unchanged:
      return { statusCode: 200, body: { kind: outcome.kind, team: outcome.config.team, version: outcome.config.version } }
    case config.ChangeOutcomeKind.Conflict:
      return { statusCode: 409, body: outcome }
    case config.ChangeOutcomeKind.Invalid:
      return { statusCode: 422, body: outcome }
    case config.ChangeOutcomeKind.Unavailable:
      return { statusCode: 503, body: { kind: outcome.kind, message: `the change did not take effect: ${outcome.error.describe()}` } }
    case config.ChangeOutcomeKind.Unknown:
      return { statusCode: 504, body: { kind: outcome.kind, changeId: outcome.changeId, message: `the change may have taken effect; repeat it with the same change id: ${outcome.error.describe()}` } }
    default:
      return protocol.assertNever(outcome)
  }
}
