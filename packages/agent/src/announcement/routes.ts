/** HTTP routes by which the backend server announces itself. */
import * as protocol from '@egretvalve/protocol'
import * as runtime from '@egretvalve/runtime'
import type { Announcer } from './announcer.ts'
import { announcementSchema } from './schema.ts'

function announce (announcer: Announcer, body: Buffer): runtime.WebResponse {
  const parsed = protocol.parseJson(body, announcementSchema)
  if (parsed.err) return runtime.errorResponse(400, protocol.ErrorCode.InvalidInput, protocol.describeInputProblem(parsed.val), parsed.val.field)
  announcer.renew(parsed.val)
  return runtime.jsonResponse(200, { leaseMs: parsed.val.leaseMs })
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
