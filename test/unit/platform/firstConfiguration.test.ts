/** Guards against requests that are refused before the first configuration although their callers wait long enough to be served. */
import { expect } from 'chai'
import * as runtime from '@egretvalve/runtime'
import * as scheduler from '@egretvalve/scheduler'
import * as settings from '@egretvalve/settings'
import { Frontend, type FrontendServices } from '../../../platform/src/frontend.ts'

const ROUTES = new scheduler.RouteIndex({ version: 1, routes: [{ host: 'shop.example', pathPrefix: '/spares/', terms: { queue: 'q', service: 'spares', priority: 0, maxAttempts: 2, targetLatencyMs: 60, slackFactor: 1.6 } }], limits: { maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 } } as unknown as ConstructorParameters<typeof scheduler.RouteIndex>[0])
const BODY = JSON.stringify({ spec: 'x', steps: [{ count: 1, cpu: 3_000, memory_request_mb: 64, estimated_ms: 100 }], best_effort: true })

function createRequest (signal: AbortSignal): runtime.WebRequest {
  return { method: 'POST', path: '/spares/00000000000000aa', params: {}, query: new URLSearchParams(), headers: { host: 'shop.example', 'x-deadline-ms': '1500' }, body: Buffer.from(BODY), signal, waitedMs: 50 }
}

describe('a request before the first configuration', () => {
  it('may wait for as long as its caller\'s deadline leaves time to serve it, and the wait counts towards the deadline', async () => {
    const timers = new settings.FakeTimers()
    const limits: number[] = []
    const jobs = new scheduler.Scheduler({ timers, log: settings.createSilentLog(), random: () => 0.5, failureDomain: 'a' })
    const frontend = new Frontend({
      scheduler: jobs,
      log: settings.createSilentLog(),
      routes: async (limitMs: number) => {
        limits.push(limitMs)
        return { routes: ROUTES, waitedMs: 700 }
      },
      canAccept: () => true,
      onUnawaited: () => {}
    } as unknown as FrontendServices)
    const caller = new AbortController()
    const answered = frontend.createRoutes().find(({ method }) => method === 'POST')!.handle(createRequest(caller.signal))
    await new Promise(resolve => { setImmediate(resolve) })
    expect(limits[0]).to.equal(1_000)
    expect(jobs.find('00000000000000aa')!.deadlineAtMs - timers.nowMs()).to.equal(750)
    caller.abort()
    await answered
    jobs.stop()
  })
})
