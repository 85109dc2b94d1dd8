import { expect } from 'chai'
import type * as runtime from '@egretvalve/runtime'
import { createAdminWebRoutes } from '../../../packages/entry/src/admin/webRoutes.ts'

const DEPTH = 100_000

describe('body of an administration request', () => {
  for (const [name, body] of [['nested 100,000 levels deep', `{"answers":{"a":${'['.repeat(DEPTH)}${']'.repeat(DEPTH)}}}`], ['that repeats a key', '{"answers":1,"answers":2}'], ['without JSON', '{']] as const) {
    it(`is refused before any handler when it is one ${name}`, async () => {
      let handled = 0
      const routes = createAdminWebRoutes([], async () => {
        handled++
        return { statusCode: 200, body: {} }
      })
      const request = { method: 'PUT', path: '/', headers: {}, body: Buffer.from(body) } as unknown as runtime.WebRequest
      const response = await routes[0]!.handle(request)
      expect([response.status, handled]).to.deep.equal([422, 0])
    })
  }
})
