/** Guards against memory that unfinished requests hold beyond the budget: what is read of connections that should wait, and what is not counted. */
import * as diagnostics from 'node:diagnostics_channel'
import { readFileSync } from 'node:fs'
import type * as http from 'node:http'
import * as net from 'node:net'
import * as tls from 'node:tls'
import { expect } from 'chai'
import * as undici from 'undici'
import * as runtime from '@egretvalve/runtime'
import * as settings from '@egretvalve/settings'
import { createUnendingRequest } from '../../fixtures/clientLoad.ts'

/** The most that one read takes from a socket. */
const READ_BYTES = 64 * 1024
const BODY_BYTES = 4 * 1024 * 1024
const CHUNK_BYTES = 1_000
const OBSERVED_MS = 500
const REQUEST_STARTED = 'http.server.request.start'

/** Returns a request without the last byte of its body. */
function createUnfinished (bodyBytes: number): Buffer {
  return Buffer.from(`POST / HTTP/1.1\r\nhost: a\r\ncontent-length: ${bodyBytes}\r\n\r\n${'7'.repeat(bodyBytes - 1)}`)
}

const FIXTURES = 'test/fixtures/tls'
const key = { key: readFileSync(`${FIXTURES}/first-key.pem`), cert: readFileSync(`${FIXTURES}/first.pem`), ca: readFileSync(`${FIXTURES}/ca.pem`) }

for (const [name, keyMaterial] of Object.entries({ 'WebServer whose budget is full': undefined, 'WebServer with TLS whose budget is full': key })) {
  describe(name, () => {
    const timers = new settings.TimerService()
    const requests = new Set<http.IncomingMessage>()
    const record = (message: unknown): void => { requests.add((message as { request: http.IncomingMessage }).request) }
    let budget: runtime.RequestBudget
    let server: runtime.WebServer
    let port: number
    let clients: net.Socket[] = []

    before(() => { diagnostics.subscribe(REQUEST_STARTED, record) })

    afterEach(async () => {
      for (const client of clients) client.destroy()
      await server.stop()
      requests.clear()
    })

    after(() => { diagnostics.unsubscribe(REQUEST_STARTED, record) })

    async function start (maxHeldBytes: number): Promise<void> {
      budget = new runtime.RequestBudget({ maxHeldBytes, maxConnections: 1_000 }, timers)
      const handle = async (): Promise<runtime.WebResponse> => runtime.textResponse(200, 'whole')
      server = new runtime.WebServer({ broker: runtime.createBroker('paused'), timers, name: 'paused', listen: '127.0.0.1:0', routes: [{ method: 'POST', path: '/', handle }], maxBodyBytes: BODY_BYTES, requestTimeoutMs: 30_000, tls: keyMaterial, budget })
      port = Number((await server.start()).split(':')[1])
    }

    /** Opens connections that send bytes and stay open. */
    function connectClients (count: number, bytes: Buffer): void {
      clients = Array.from({ length: count }, () => {
        const client = keyMaterial === undefined ? net.connect(port, '127.0.0.1') : tls.connect({ port, host: '127.0.0.1', rejectUnauthorized: false })
        client.on('error', () => {})
        client.resume()
        client.write(bytes)
        return client
      })
    }

    /** Returns how much has been read from the sockets of the requests, of all or of those that are open. */
    function readBytes (isOpenOnly = false): number {
      return [...requests].filter(({ socket }) => !isOpenOnly || !socket.destroyed).reduce((sum, { socket }) => sum + socket.bytesRead, 0)
    }

    it('reads no more than once from a connection that has to wait', async () => {
      await start(256 * 1024)
      connectClients(24, createUnfinished(BODY_BYTES))
      while (requests.size < 24) await timers.sleep(5)
      await timers.sleep(OBSERVED_MS)
      expect(readBytes()).to.be.at.most(512 * 1024 + 24 * READ_BYTES)
    })

    it('leaves nothing that it has read in buffers of requests, where the budget does not count it', async () => {
      await start(1024 * 1024)
      connectClients(24, createUnendingRequest('/', 'a', BODY_BYTES, CHUNK_BYTES))
      let peakBytes = 0
      for (const endsAtMs = timers.nowMs() + OBSERVED_MS; timers.nowMs() < endsAtMs; await timers.sleep(2)) {
        peakBytes = Math.max(peakBytes, [...requests].reduce((sum, { readableLength }) => sum + readableLength, 0))
      }
      expect(requests.size).to.be.above(0)
      expect(peakBytes).to.be.at.most(READ_BYTES)
    })

    it('reads no connections that it does not know yet while others hold more than the reserve, and answers an ordinary request', async () => {
      await start(4 * 1024 * 1024)
      connectClients(200, createUnfinished(100_000))
      let peakBytes = 0
      for (const endsAtMs = timers.nowMs() + OBSERVED_MS; timers.nowMs() < endsAtMs; await timers.sleep(2)) peakBytes = Math.max(peakBytes, readBytes(true))
      expect(peakBytes).to.be.at.most(8 * 1024 * 1024)
      const dispatcher = new undici.Agent({ connect: { rejectUnauthorized: false } })
      const answer = await undici.request(`http${keyMaterial === undefined ? '' : 's'}://127.0.0.1:${port}/`, { method: 'POST', body: 'x', dispatcher })
      expect(await answer.body.text()).to.equal('whole')
      await dispatcher.close()
    })
  })
}
