import { expect } from 'chai'
import type * as runtime from '@egretvalve/runtime'
import * as settings from '@egretvalve/settings'
import { Announcer } from '../../../packages/agent/src/announcement/announcer.ts'
import { createAnnouncementRoutes } from '../../../packages/agent/src/announcement/routes.ts'

const ANNOUNCEMENT = { service: 'spares-shop', address: '127.0.0.1:9000', slots: 8, connections: 64, leaseMs: 3_000 }

describe('announcement of a backend server', () => {
  async function announce (changes: object): Promise<number> {
    const announcer = new Announcer(new settings.FakeTimers(), settings.createSilentLog(), () => {})
    const [route] = createAnnouncementRoutes(announcer, () => ({ running: 0, queued: 0 }))
    const request = { body: Buffer.from(JSON.stringify({ ...ANNOUNCEMENT, ...changes })) } as unknown as runtime.WebRequest
    return (await route!.handle(request)).status
  }

  it('is accepted', async () => { expect(await announce({})).to.equal(200) })

  for (const address of ['127.0.0.1:0', '127.0.0.1:70000', '127.0.0.1:99999', '127.0.0.999:9000', '127.0.0.1', '127.0.0.1:1e3', 'host:9000', '::1:9000', '[::1]:9000']) {
    it(`is rejected with address ${address}`, async () => { expect(await announce({ address })).to.equal(400) })
  }
})
