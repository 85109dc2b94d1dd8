/** Guards against connections that never count as idle after a request was answered without its body. */
import * as http from 'node:http'
import { expect } from 'chai'
import * as runtime from '@egretvalve/runtime'
import * as settings from '@egretvalve/settings'

const BODY = 'x'.repeat(600)
const IDLE_TIMEOUT_MS = 200
const timers = new settings.TimerService()

describe('WebServer that screens requests', () => {
  let server: runtime.WebServer
  let port: number
  const agent = new http.Agent({ keepAlive: true })

  beforeEach(async () => {
    const routes: runtime.WebRoute[] = [{ method: 'POST', path: '/here', handle: async () => runtime.textResponse(200, 'handled') }]
    server = new runtime.WebServer({ broker: runtime.createBroker('n'), timers, name: 'test', listen: '127.0.0.1:0', routes, maxBodyBytes: 1_000, requestTimeoutMs: 5_000, screen: request => request.headers['x-refuse'] === undefined ? undefined : runtime.textResponse(503, 'refused') })
    port = Number((await server.start()).split(':')[1])
  })

  afterEach(async () => {
    agent.destroy()
    await server.stop(AbortSignal.abort())
  })

  async function post (headers: http.OutgoingHttpHeaders, bodyDelayMs: number): Promise<number> {
    return await new Promise((resolve, reject) => {
      const request = http.request({ host: '127.0.0.1', port, agent, method: 'POST', path: '/here', headers: { ...headers, 'content-length': BODY.length } }, response => {
        response.resume()
        response.once('end', () => { resolve(response.statusCode ?? 0) })
      })
      request.once('error', reject)
      request.flushHeaders()
      timers.after(bodyDelayMs, () => { request.end(BODY) })
    })
  }

  for (const bodyDelayMs of [0, 50]) {
    it(`closes the connection of a refused request when it stops, with the body ${bodyDelayMs} ms after the headers`, async () => {
      expect(await post({ 'x-refuse': '1' }, bodyDelayMs)).to.equal(503)
      const startedAtMs = timers.nowMs()
      expect(await server.stop(AbortSignal.timeout(4_000))).to.deep.equal({ requestsCut: 0, connectionsCut: 0 })
      expect(timers.nowMs() - startedAtMs).to.be.below(2_000)
    })

    it(`closes the connection of a refused request that stays idle, with the body ${bodyDelayMs} ms after the headers`, async () => {
      server.setLimits({ maxBodyBytes: 1_000, headerTimeoutMs: 5_000, idleTimeoutMs: IDLE_TIMEOUT_MS })
      expect(await post({ 'x-refuse': '1' }, bodyDelayMs)).to.equal(503)
      expect(await post({}, bodyDelayMs), 'on the same connection').to.equal(200)
      expect(await post({ 'x-refuse': '1' }, bodyDelayMs)).to.equal(503)
      expect(server.connectionCount).to.equal(1)
      await timers.sleep(2_500)
      expect(server.connectionCount).to.equal(0)
    })
  }
})
