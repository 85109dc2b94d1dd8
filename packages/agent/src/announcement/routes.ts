/** HTTP routes for the backend server's announcement, an operator's drain and the health check. */
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

/** Counts of the tasks at the agent. */
export interface TaskCounts {
  running: number
  queued: number
}

export function createAnnouncementRoutes (announcer: Announcer, countTasks: () => TaskCounts): runtime.WebRoute[] {
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
      method: 'PUT',
      path: '/v1/drain',
      handle: async () => {
        announcer.setDraining(true)
        return runtime.jsonResponse(200, { draining: true, ...countTasks() })
      }
    },
    {
      method: 'DELETE',
      path: '/v1/drain',
      handle: async () => {
        announcer.setDraining(false)
        return runtime.jsonResponse(200, { draining: false, ...countTasks() })
      }
    },
    {
      method: 'GET',
      path: '/healthz',
      handle: async () => runtime.jsonResponse(200, {
        announced: announcer.current !== undefined,
        acceptsTasks: announcer.acceptsTasks,
        ...countTasks()
      })
    }
  ]
}
