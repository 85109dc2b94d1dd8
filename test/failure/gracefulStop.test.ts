import * as net from 'node:net'
import { expect } from 'chai'
import * as standin from '@egretvalve/standin'
import * as fleets from '../fixtures/fleet.ts'

/** Exceeds the socket buffers of both sides. */
const LARGE_BODY_BYTES = 7_000_000
const TASK_BODY_BYTES = 60_000
const LINK_DELAY_MS = 150

interface SlowReader {
  /** Starts reading and returns the whole response. */
  finish: () => Promise<string>
}

/** Sends a request and reads nothing of the response until `finish`. */
function sendWithoutReading (address: string, request: string): SlowReader {
  const [host, port] = address.split(':')
  const socket = net.connect(Number(port), host)
  const chunks: Buffer[] = []
  socket.on('error', () => {})
  socket.write(request)
  return {
    finish: async () => {
      socket.on('data', chunk => { chunks.push(chunk as Buffer) })
      await new Promise(resolve => { socket.once('close', resolve) })
      return Buffer.concat(chunks).toString('latin1')
    }
  }
}

describe('a planned stop', () => {
  it('of an entry waits until a slow caller has read its answer', async () => {
    const fleet = await fleets.startFleet({ backends: 1 })
    const body = JSON.stringify(fleets.createJob({ submissionId: 'large', tasks: [{ body: 'x'.repeat(LARGE_BODY_BYTES) }] }))
    const reader = sendWithoutReading(fleet.entry.httpAddress, `POST /v1/jobs?waitMs=20000 HTTP/1.1\r\nhost: entry\r\ncontent-length: ${body.length}\r\n\r\n${body}`)
    await fleets.until(async () => (await fleets.get(fleet, '/v1/jobs/shop/large')).status === 200)
    let hasStopped = false
    const stopping = fleet.entry.stop().then(() => { hasStopped = true })
    await new Promise(resolve => { setTimeout(resolve, 200) })
    expect(hasStopped).to.equal(false)
    const response = await reader.finish()
    await stopping
    const start = response.indexOf('\r\n\r\n') + 4
    expect(JSON.parse(response.slice(start)).tasks[0].body.length).to.equal(LARGE_BODY_BYTES)
    await fleet.stop()
  })

  it('of an entry refuses submissions made during the stop as draining', async () => {
    const fleet = await fleets.startFleet({ backends: 1 })
    const running = fleets.submit(fleet, fleets.createJob({ submissionId: 'running', tasks: [{ body: '{"runMs":400}' }] }))
    await fleets.until(() => fleet.backends[0]!.starts('running').length === 1)
    const stopping = fleet.entry.stop()
    const late = await fleets.submit(fleet, fleets.createJob({ submissionId: 'late' }))
    expect(late.value).to.include({ kind: 'refused', code: 'draining' })
    expect((await fleets.get<{ ready: boolean }>(fleet, '/readyz')).value.ready).to.equal(false)
    expect((await running).value.kind).to.equal('complete')
    await stopping
    expect(fleet.backends[0]!.starts('late')).to.deep.equal([])
    await fleet.stop()
  })

  it('of an agent reports all results over a slow network', async () => {
    const fleet = await fleets.startFleet({ backends: 1, withNetwork: true })
    const tasks = Array.from({ length: 8 }, (_, index) => ({ body: JSON.stringify({ runMs: 100, index, filler: 'x'.repeat(TASK_BODY_BYTES) }) }))
    const pending = fleets.submit(fleet, fleets.createJob({ submissionId: 'slow', tasks }), 60_000)
    await fleets.until(() => fleet.backends[0]!.starts('slow').length === 8)
    fleet.network.setFault({ kind: standin.LinkFaultKind.Delay, delayMs: LINK_DELAY_MS })
    await fleet.agents[0]!.stop()
    const answer = await pending
    expect(answer.value.kind, answer.value.message).to.equal('complete')
    await fleet.stop()
  })
})
