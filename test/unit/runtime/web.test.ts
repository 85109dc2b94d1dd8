/** The HTTP server where the event loop is late: requests wait in sockets and at the listener while timers and stops come first. */
import { once } from 'node:events'
import * as path from 'node:path'
import { Worker } from 'node:worker_threads'
import { expect } from 'chai'
import * as runtime from '@egretvalve/runtime'
import * as settings from '@egretvalve/settings'

const REQUEST = 'GET /here HTTP/1.1\r\nhost: a\r\n\r\n'
const ANSWER_DELAY_MS = 50
const IDLE_TIMEOUT_MS = 200
/** Node.js waits this much longer than the idle timeout, in milliseconds. */
const IDLE_EXTRA_MS = 1_000
/** Time after the first request at which the idle timer fires, about. */
const IDLE_AT_MS = ANSWER_DELAY_MS + IDLE_TIMEOUT_MS + IDLE_EXTRA_MS
const timers = new settings.TimerService()

interface Step {
  atMs: number
  /** Connection to write to, opened by its first step. */
  name: string
  text: string
}

type Received = Record<string, { received: string, error: string }>

describe('WebServer with a late event loop', () => {
  let server: runtime.WebServer
  let port: number

  beforeEach(async () => {
    const handle = async (): Promise<runtime.WebResponse> => {
      await timers.sleep(ANSWER_DELAY_MS)
      return runtime.textResponse(200, 'whole')
    }
    server = new runtime.WebServer({ broker: runtime.createBroker('n'), timers, name: 'test', listen: '127.0.0.1:0', routes: [{ method: 'GET', path: '/here', handle }], maxBodyBytes: 1_000, requestTimeoutMs: 5_000 })
    port = Number((await server.start()).split(':')[1])
  })

  afterEach(async () => { await server.stop(AbortSignal.abort()) })

  it('answers a request that waits in its socket when the idle timer of the connection fires', async () => {
    server.setLimits({ maxBodyBytes: 1_000, headerTimeoutMs: 5_000, idleTimeoutMs: IDLE_TIMEOUT_MS })
    const { received } = await startClient([{ atMs: 0, name: 'a', text: REQUEST }, { atMs: IDLE_AT_MS - 100, name: 'a', text: REQUEST }], IDLE_AT_MS + 800)
    await timers.sleep(IDLE_AT_MS - 150)
    await block(400)
    expect(countAnswers(await received, 'a')).to.equal(2)
  })

  it('closes a connection that stays idle', async () => {
    server.setLimits({ maxBodyBytes: 1_000, headerTimeoutMs: 5_000, idleTimeoutMs: IDLE_TIMEOUT_MS })
    const { received } = await startClient([{ atMs: 0, name: 'a', text: REQUEST }], IDLE_AT_MS + 800)
    await received
    expect(server.connectionCount).to.equal(0)
  })

  it('answers the requests that wait in sockets and at the listener when it stops', async () => {
    const { received } = await startClient([
      { atMs: 0, name: 'kept', text: REQUEST },
      { atMs: 250, name: 'kept', text: REQUEST },
      { atMs: 250, name: 'new', text: REQUEST },
      { atMs: 255, name: 'newer', text: REQUEST }
    ], 1_500)
    await timers.sleep(200)
    await block(300)
    expect(await server.stop()).to.deep.equal({ requestsCut: 0, connectionsCut: 0 })
    const answers = await received
    expect(Object.keys(answers).map(name => countAnswers(answers, name))).to.deep.equal([2, 1, 1])
    expect(answers.kept!.received.toLowerCase()).to.contain('connection: close')
  })

  it('answers a request of which a part has come before the stop and the rest comes in time', async () => {
    const { received } = await startClient([{ atMs: 0, name: 'a', text: REQUEST.slice(0, 10) }, { atMs: 400, name: 'a', text: REQUEST.slice(10) }], 1_000)
    await timers.sleep(100)
    expect(await server.stop(AbortSignal.timeout(5_000))).to.deep.equal({ requestsCut: 0, connectionsCut: 0 })
    expect(countAnswers(await received, 'a')).to.equal(1)
  })

  it('counts what it cuts when the time is over', async () => {
    const { received } = await startClient([{ atMs: 0, name: 'idle', text: REQUEST }, { atMs: 180, name: 'half', text: REQUEST.slice(0, 10) }, { atMs: 180, name: 'whole', text: REQUEST }], 500)
    await timers.sleep(210)
    expect(await server.stop(AbortSignal.abort())).to.deep.equal({ requestsCut: 1, connectionsCut: 2 })
    expect(countAnswers(await received, 'whole')).to.equal(0)
  })

  /** Starts a client thread. `received` resolves with what has come `endsAtMs` after its start. */
  async function startClient (steps: readonly Step[], endsAtMs: number): Promise<{ received: Promise<Received> }> {
    const thread = new Worker(path.join(import.meta.dirname, 'rawClientThread.mjs'), { workerData: { port, steps, endsAtMs } })
    await once(thread, 'message')
    return { received: once(thread, 'message').then(([message]) => message as Received) }
  }
})

function countAnswers (received: Received, name: string): number {
  return received[name]!.received.split('\r\n\r\nwhole').length - 1
}

/** Blocks the event loop after it has polled the sockets, so that due timers come before what arrives meanwhile. */
async function block (durationMs: number): Promise<void> {
  await new Promise<void>(resolve => { setImmediate(resolve) })
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, durationMs)
}
