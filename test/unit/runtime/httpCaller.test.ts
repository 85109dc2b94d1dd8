import * as http from 'node:http'
import type * as net from 'node:net'
import { expect } from 'chai'
import * as runtime from '@egretvalve/runtime'
import * as settings from '@egretvalve/settings'

const TIMEOUT_MS = 150
const timers = new settings.TimerService()

describe('HttpCaller', () => {
  let server: http.Server
  let caller: runtime.HttpCaller
  let received: string[]
  let answer: (request: http.IncomingMessage, response: http.ServerResponse) => void

  beforeEach(async () => {
    received = []
    server = http.createServer((request, response) => {
      received.push(request.url ?? '')
      answer(request, response)
    })
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
    const { port } = server.address() as net.AddressInfo
    caller = new runtime.HttpCaller({ address: `127.0.0.1:${port}`, connections: 1, connectTimeoutMs: TIMEOUT_MS, timers })
  })

  afterEach(async () => {
    await caller.close()
    server.closeAllConnections()
    server.close()
  })

  it('returns the status and the JSON body', async () => {
    answer = (_request, response) => { response.writeHead(409).end('{"reason":"room"}') }
    expect(await caller.call({ method: 'POST', path: '/a', body: { x: 1 }, timeoutMs: TIMEOUT_MS })).to.deep.equal({ kind: 'answered', status: 409, body: { reason: 'room' } })
  })

  it('returns no body if it is not valid JSON', async () => {
    answer = (_request, response) => { response.end('no json') }
    expect(await caller.call({ method: 'GET', path: '/a', timeoutMs: TIMEOUT_MS })).to.deep.equal({ kind: 'answered', status: 200, body: undefined })
  })

  it('reports a call without a response as unanswered', async () => {
    answer = () => {}
    expect((await caller.call({ method: 'GET', path: '/a', timeoutMs: TIMEOUT_MS })).kind).to.equal('unanswered')
    answer = request => { request.socket.destroy() }
    expect((await caller.call({ method: 'POST', path: '/b', timeoutMs: TIMEOUT_MS })).kind).to.equal('unanswered')
    expect(received).to.deep.equal(['/a', '/b'])
  })

  // Guards against a start that counts as not sent while the worker carries it out.
  it('reports a sent call as unanswered, also when the error is one of a call that was not sent', async () => {
    answer = () => {}
    const call = caller.call({ method: 'POST', path: '/a', timeoutMs: 10 * TIMEOUT_MS })
    while (received.length === 0) await timers.sleep(5)
    await caller.close()
    expect((await call).kind).to.equal('unanswered')
  })

  it('reports a refused connection as unsent', async () => {
    server.close()
    server.closeAllConnections()
    const outcome = await caller.call({ method: 'GET', path: '/a', timeoutMs: TIMEOUT_MS })
    expect(outcome).to.include({ kind: 'unsent', code: 'ECONNREFUSED' })
  })

  it('does not send a call that timed out while waiting for a connection', async () => {
    answer = () => {}
    const first = caller.call({ method: 'GET', path: '/first', timeoutMs: 2 * TIMEOUT_MS })
    expect((await caller.call({ method: 'GET', path: '/second', timeoutMs: TIMEOUT_MS })).kind).to.equal('unanswered')
    await first
    answer = (_request, response) => { response.end('{}') }
    expect((await caller.call({ method: 'GET', path: '/third', timeoutMs: TIMEOUT_MS })).kind).to.equal('answered')
    expect(received).to.deep.equal(['/first', '/third'])
  })

  it('returns an outcome instead of throwing for an invalid header and after close', async () => {
    expect((await caller.call({ method: 'GET', path: '/a', headers: { 'x-name': 'a\nb' }, timeoutMs: TIMEOUT_MS })).kind).to.equal('unanswered')
    await caller.close()
    expect((await caller.call({ method: 'GET', path: '/a', timeoutMs: TIMEOUT_MS })).kind).to.equal('unsent')
  })

  it('ends a call when its signal aborts', async () => {
    answer = () => {}
    const abort = new AbortController()
    const call = caller.call({ method: 'GET', path: '/a', timeoutMs: 60_000, signal: abort.signal })
    abort.abort()
    expect((await call).kind).to.equal('unanswered')
    expect((await caller.call({ method: 'GET', path: '/b', timeoutMs: 60_000, signal: abort.signal })).kind).to.equal('unanswered')
  })
})
