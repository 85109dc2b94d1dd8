/** The OpenAPI description of the administration API, generated from its routes. */
import * as config from '@egretvalve/config'
import * as zod from 'zod'
import { ADMIN_PREFIX } from './messages.ts'
import type { AdminRoute } from './routes.ts'

const PARAMETER_PATTERN = /\{(\w+)\}/g
const JSON_CONTENT = 'application/json'

export function createOpenApi (routes: readonly AdminRoute[]): object {
  const paths: Record<string, Record<string, object>> = {}
  for (const route of routes) {
    const path = ADMIN_PREFIX + route.pattern
    paths[path] = { ...paths[path], [route.method.toLowerCase()]: describeRoute(route) }
  }
  return {
    openapi: '3.1.0',
    info: { title: 'egretvalve administration API', version: '1' },
    security: [{ bearer: [] }],
    paths,
    components: {
      securitySchemes: { bearer: { type: 'http', scheme: 'bearer' } },
      schemas: {
        Answers: zod.toJSONSchema(config.answersSchema),
        TeamDocument: zod.toJSONSchema(config.teamDocumentSchema)
      }
    }
  }
}

function describeRoute (route: AdminRoute): object {
  const parameters = [...route.pattern.matchAll(PARAMETER_PATTERN)].map(match => ({ name: match[1], in: 'path', required: true, schema: { type: 'string' } }))
  const body = route.bodySchema === undefined ? {} : { requestBody: { required: true, content: { [JSON_CONTENT]: { schema: zod.toJSONSchema(route.bodySchema) } } } }
  const responses = { 200: { description: 'done' }, default: { description: 'refused; the body says why' } }
  return { summary: route.summary, 'x-permission': route.permission, parameters, ...body, responses }
}
