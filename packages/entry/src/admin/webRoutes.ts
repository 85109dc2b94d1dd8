/** Mounts the administration API on the entry's web server. */
import * as protocol from '@egretvalve/protocol'
import * as runtime from '@egretvalve/runtime'
import { OPENAPI_PATH, type AdminHandler } from './handler.ts'
import { ADMIN_PREFIX, createErrorResponse } from './messages.ts'
import type { AdminRoute } from './routes.ts'

const PARAMETER_PATTERN = /\{(\w+)\}/g

/** Creates the web routes, including that of the OpenAPI description. */
export function createAdminWebRoutes (routes: readonly AdminRoute[], handler: AdminHandler): runtime.WebRoute[] {
  const handle = async (request: runtime.WebRequest): Promise<runtime.WebResponse> => await serve(request, handler)
  const described = routes.map(({ method, pattern }) => ({ method, path: ADMIN_PREFIX + pattern.replaceAll(PARAMETER_PATTERN, ':$1'), handle }))
  return [...described, { method: 'GET', path: OPENAPI_PATH, handle }]
}

async function serve (request: runtime.WebRequest, handler: AdminHandler): Promise<runtime.WebResponse> {
  const { method, path, query, headers } = request
  const body = parseBody(request.body)
  if (!body.isValid) return respond(createErrorResponse(new protocol.StepError(protocol.ErrorCode.InvalidInput, 'admin.parseBody', 'local', body.message)))
  return respond(await handler({ method, path: decodeURI(path), query, authorization: headers.authorization, body: body.value }))
}

function respond (response: { statusCode: number, body: object }): runtime.WebResponse {
  return runtime.jsonResponse(response.statusCode, response.body)
}

type ParsedBody = { isValid: true, value: unknown } | { isValid: false, message: string }

function parseBody (body: Buffer): ParsedBody {
  if (body.length === 0) return { isValid: true, value: undefined }
  const parsed = protocol.parseStrictJson(body)
  return parsed.ok ? { isValid: true, value: parsed.val } : { isValid: false, message: protocol.describeInputProblem(parsed.val) }
}
