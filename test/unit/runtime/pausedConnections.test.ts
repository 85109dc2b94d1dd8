/** Guards against connections that are read on although the budget keeps them from being read. */
import * as diagnostics from 'node:diagnostics_channel'
import type * as http from 'node:http'
import * as net from 'node:net'
import { expect } from 'chai'
import * as runtime from '@egretvalve/runtime'
import * as settings from '@egretvalve/settings'

/** The most that one read takes from a socket. */
const READ_BYTES = 64 * 1024
const BODY_BYTES = 4 * 1024 * 1024
const MAX_HELD_BYTES = 256 * 1024
const CONNECTIONS = 24
const REQUEST_STARTED = 'http.server.request.start'

describe('WebServer whose budget is full', () => {
  const timers = new settings.TimerService()
  const budget = new runtime.RequestBudget({ maxHeldBytes: MAX_HELD_BYTES, maxConnections: 100 }, timers)
  const received: Array<{ request: http.IncomingMessage, socket: net.Socket }> = []
  const record = (message: unknown): void => { received.push(message as { request: http.IncomingMessage, socket: net.Socket }) }
  let server: runtime.WebServer
  let clients: net.Socket[] = []

  before(() => { diagnostics.subscribe(REQUEST_STARTED, record) })

  afterEach(async () => {
    for (const client of clients) client.destroy()
    await server.stop()
    received.length = 0
  })

  after(() => { diagnostics.unsubscribe(REQUEST_STARTED, record) })

  it('reads no more than once from the sockets that it does not have to read', async () => {
    server = new runtime.WebServer({
      broker: runtime.createBroker('paused'),
      timers,
      name: 'paused',
      listen: '127.0.0.1:0',
      routes: [{ method: 'POST', path: '/', handle: async () => runtime.textResponse(200, '') }],
      maxBodyBytes: BODY_BYTES,
      requestTimeoutMs: 30_000,
      budget
    })
    const port = Number((await server.start()).split(':')[1])
    const head = `POST / HTTP/1.1\r\nhost: a\r\ncontent-length: ${BODY_BYTES}\r\n\r\n`
    clients = Array.from({ length: CONNECTIONS }, () => {
      const client = net.connect(port, '127.0.0.1')
      client.on('error', () => {})
      client.write(head + '7'.repeat(BODY_BYTES - 1))
      return client
    })
    while (received.length < CONNECTIONS) await timers.sleep(5)
    await timers.sleep(500)
    const readBytes = received.reduce((sum, { socket }) => sum + socket.bytesRead, 0)
    expect(readBytes).to.be.at.most(MAX_HELD_BYTES * 2 + CONNECTIONS * READ_BYTES)
  })
})
