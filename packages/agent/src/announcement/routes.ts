/** HTTP routes by which the backend server announces itself. */
import * as protocol from '@egretvalve/protocol'
import * as runtime from '@egretvalve/runtime'
import type { Announcer } from './announcer.ts'
import { announcementSchema } from './schema.ts'

function parseJson (body: Buffer): unknown {
  try {
    return JSON.parse(body.toString('utf8'))
  } catch {
    return undefined
  }
}

function announce (announcer: Announcer, body: Buffer): runtime.WebResponse {
  const parsed = announcementSchema.safeParse(parseJson(body))
  if (parsed.success) {
    announcer.renew(parsed.data)
    return runtime.jsonResponse(200, { leaseMs: parsed.data.leaseMs })
  }
  const issue = parsed.error.issues[0]!
  const field = issue.path.join('.') || 'body'
  return runtime.errorResponse(400, protocol.ErrorCode.InvalidInput, `${field}: ${issue.message}`, field)
}

/** Creates the announcement routes. */
export function createAnnouncementRoutes (announcer: Announcer): runtime.WebRoute[] {
  return [
    {
      method: 'PUT',
      path: '/v1/announcement',
      handle: async request => announce(announcer, request.body)
    },
    {
      method: 'DELETE',
      path: '/v1/announcement',
      handle: async () => {
        announcer.leave()
        return runtime.jsonResponse(200, { leaving: true })
      }
    },
    {
      method: 'GET',
      path: '/healthz',
      handle: async () => runtime.jsonResponse(200, { announced: announcer.current !== undefined, acceptsTasks: announcer.acceptsTasks })
    }
  ]
}
