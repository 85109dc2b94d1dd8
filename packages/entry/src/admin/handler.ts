/** Handles requests of the administration API: authentication, routing, permission check. */
import * as protocol from '@egretvalve/protocol'
import type * as settings from '@egretvalve/settings'
import { checkPermission, type AccessControl } from './access.ts'
import { events } from './events.ts'
import { ADMIN_PREFIX, createErrorResponse, type AdminRequest, type AdminResponse } from './messages.ts'
import { createOpenApi } from './openapi.ts'
import type { AdminRoute } from './routes.ts'

/** Path of the OpenAPI description, which needs no token. */
export const OPENAPI_PATH = `${ADMIN_PREFIX}/openapi.json`

/** Handles one request of the administration API. */
export type AdminHandler = (request: AdminRequest) => Promise<AdminResponse>

interface RouteMatch {
  route: AdminRoute
  parameters: Record<string, string>
}

/** Creates the handler of the routes. Every error response carries its reason and is logged. */
export function createAdminHandler (routes: readonly AdminRoute[], access: AccessControl, log: settings.Log): AdminHandler {
  const openApi = createOpenApi(routes)
  const handle = async (request: AdminRequest): Promise<AdminResponse> => {
    if (request.method === 'GET' && request.path === OPENAPI_PATH) return { statusCode: 200, body: openApi }
    const principal = access.authenticate(request.authorization)
    if (principal.err) return createErrorResponse(principal.val)
    const match = findRoute(routes, request)
    if (match === undefined) return createErrorResponse(createNotFound(request))
    const allowed = checkPermission(principal.val, match.route.permission, match.parameters['team'] ?? '')
    if (allowed.err) return createErrorResponse(allowed.val)
    return await match.route.handle({ ...request, principal: principal.val, parameters: match.parameters })
  }
  return async request => {
    const response = await handle(request).catch((thrown: unknown) => createErrorResponse(protocol.toStepError(thrown, 'admin.request', 'local')))
    if (response.statusCode >= 400) log.event(events.requestRefused, { method: request.method, path: request.path, statusCode: response.statusCode })
    return response
  }
}

function createNotFound (request: AdminRequest): protocol.StepError {
  return new protocol.StepError(protocol.ErrorCode.NotFound, 'admin.request', 'local', `${request.method} ${request.path} is no part of the administration API; see ${OPENAPI_PATH}`)
}

function findRoute (routes: readonly AdminRoute[], request: AdminRequest): RouteMatch | undefined {
  for (const route of routes) {
    if (route.method !== request.method) continue
    const parameters = matchPattern(ADMIN_PREFIX + route.pattern, request.path)
    if (parameters !== undefined) return { route, parameters }
  }
  return undefined
}

function matchPattern (pattern: string, path: string): Record<string, string> | undefined {
  const expected = pattern.split('/')
  const given = path.split('/')
  if (expected.length !== given.length) return undefined
  const parameters: Record<string, string> = {}
  for (const [index, part] of expected.entries()) {
    const value = given[index] ?? ''
    if (part.startsWith('{')) parameters[part.slice(1, -1)] = value
    else if (part !== value) return undefined
  }
  return parameters
}
