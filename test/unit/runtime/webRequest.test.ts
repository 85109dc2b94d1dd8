/** What handlers of the HTTP server are given: the route that fits best, path, query, body, and the signal of a caller that goes away. */
import * as net from 'node:net'
import { expect } from 'chai'
import * as runtime from '@egretvalve/runtime'
import * as settings from '@egretvalve/settings'

const timers = new settings.TimerService()

describe('WebServer', () => {
  let broker: ReturnType<typeof runtime.createBroker>
  let server: runtime.WebServer
  let address: string
  let requests: runtime.WebRequest[]
  /** Delay of the answers of `/slow`, in milliseconds. */
  let delayMs: number

  beforeEach(async () => {
    requests = []
    delayMs = 0
    const named = (name: string): runtime.WebRoute['handle'] => async request => {
      requests.push(request)
      return runtime.textResponse(200, `${name} ${JSON.stringify(request.params)}`)
    }
    const slow = async (request: runtime.WebRequest): Promise<runtime.WebResponse> => {
      requests.push(request)
      await timers.sleep(delayMs, request.signal)
      return runtime.textResponse(200, 'slow')
    }
    broker = runtime.createBroker('web-test')
    server = new runtime.WebServer({
      timers,
      broker,
      name: 'web',
      listen: '127.0.0.1:0',
      // In the reverse of the order in which they must be tried.
      routes: [
        { method: 'GET', path: '/v1/:team/:id', handle: named('any of a team') },
        { method: 'GET', path: '/v1/:team/answer', handle: named('answer of a team') },
        { method: 'GET', path: '/v1/fixed/answer', handle: named('fixed') },
        { method: 'GET', path: '/v1/:team', handle: named('team') },
        { method: 'GET', path: '/v1/fixed', handle: named('fixed team') },
        { method: 'POST', path: '/slow', handle: slow },
        { method: 'POST', path: '/all/:path*', handle: named('all') }
      ],
      maxBodyBytes: 20,
      requestTimeoutMs: 2_000
    })
    address = await server.start()
  })

  afterEach(async () => {
    await server.stop()
    await broker.stop()
  })

  /** Sends text on a connection of its own and returns what comes back until the server closes it. */
  async function send (text: string): Promise<string> {
    return await new Promise((resolve, reject) => {
      const [host, port] = address.split(':')
      const socket = net.connect(Number(port), host)
      let received = ''
      socket.on('data', chunk => { received += String(chunk) })
      socket.on('close', () => { resolve(received) })
      socket.on('error', reject)
      socket.write(text)
    })
  }

  async function call (method: string, target: string, body = ''): Promise<{ status: number, text: string }> {
    const received = await send(`${method} ${target} HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: ${body.length}\r\n\r\n${body}`)
    return { status: Number(received.split(' ')[1]), text: received.split('\r\n\r\n')[1] ?? '' }
  }

  it('tries longer paths before shorter ones and fixed parts before parameters', async () => {
    expect((await call('GET', '/v1/fixed/answer')).text).to.equal('fixed {}')
    expect((await call('GET', '/v1/a/answer')).text).to.equal('answer of a team {"team":"a"}')
    expect((await call('GET', '/v1/a/b')).text).to.equal('any of a team {"team":"a","id":"b"}')
    expect((await call('GET', '/v1/fixed')).text).to.equal('fixed team {}')
    expect((await call('GET', '/v1/a%20b')).text).to.equal('team {"team":"a b"}')
    expect((await call('POST', '/v1/a')).status).to.equal(404)
  })

  const targets: Array<[string, string, string]> = [
    ['/all/spares/00ff', '/all/spares/00ff', ''],
    ['/all/spares/00ff/', '/all/spares/00ff/', ''],
    ['/all/a?x=1&y=%20&x=2', '/all/a', 'x=1&y=+&x=2'],
    ['/all/a?', '/all/a', ''],
    ['/all/a%20b', '/all/a%20b', ''],
    ['/all/a.b', '/all/a.b', ''],
    ['/all/./a', '/all/a', ''],
    ['/all/b/../a', '/all/a', ''],
    ['/all/a#b', '/all/a', '']
  ]
  for (const [target, path, query] of targets) {
    it(`reads ${target} as path ${path} with the query "${query}"`, async () => {
      expect((await call('POST', target)).status).to.equal(200)
      for (const request of [...requests, ...requests.map(each => ({ ...each }))]) {
        expect([request.path, request.query.toString(), request.method, request.headers.host, request.signal.aborted]).to.deep.equal([path, query, 'POST', 'x', false])
      }
    })
  }

  it('gives the handler the whole body, also when it comes in parts, and refuses one that is too long', async () => {
    expect((await call('POST', '/all/a', 'x'.repeat(20))).status).to.equal(200)
    expect(requests[0]!.body.toString()).to.equal('x'.repeat(20))
    const parts = await send('POST /all/a HTTP/1.1\r\nhost: x\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n')
    expect(parts).to.match(/^HTTP\/1\.1 200 /)
    expect(requests[1]!.body.toString()).to.equal('abcdefg')
    expect((await call('POST', '/all/a', 'x'.repeat(21))).status).to.equal(413)
    expect((await call('POST', '/all/a', 'x'.repeat(200_000))).status).to.equal(413)
    expect(requests).to.have.length(2)
  })

  it('does not call the handler for a body that stops halfway', async () => {
    const [host, port] = address.split(':')
    const socket = net.connect(Number(port), host)
    socket.write('POST /all/a HTTP/1.1\r\nhost: x\r\ncontent-length: 10\r\n\r\nabc')
    await timers.sleep(50)
    socket.destroy()
    await timers.sleep(50)
    expect(requests).to.have.length(0)
    expect(server.inProgressCount).to.equal(0)
  })

  it('aborts the signal when the caller goes away before the answer, and not after it', async () => {
    expect((await call('POST', '/slow')).text).to.equal('slow')
    delayMs = 5_000
    const [host, port] = address.split(':')
    const socket = net.connect(Number(port), host)
    socket.write('POST /slow HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n\r\n')
    await timers.sleep(50)
    expect(requests.map(request => request.signal.aborted)).to.deep.equal([false, false])
    socket.destroy()
    await timers.sleep(50)
    expect(requests.map(request => request.signal.aborted)).to.deep.equal([false, true])
    expect(server.inProgressCount).to.equal(0)
  })
})
