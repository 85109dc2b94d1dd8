import * as http from 'node:http'
import type { AddressInfo } from 'node:net'
import { expect } from 'chai'
import * as settings from '@egretvalve/settings'
import * as standin from '@egretvalve/standin'
import * as undici from 'undici'

interface AgentCall {
  method: string
  body: string
}

async function createFakeAgent (calls: AgentCall[]): Promise<http.Server> {
  const server = http.createServer(async (request, response) => {
    let body = ''
    for await (const chunk of request) body += String(chunk)
    calls.push({ method: request.method ?? '', body })
    response.end('{}')
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  return server
}

function createBackend (agentAddress: string, faults: Partial<standin.BackendFaults> = {}): standin.StandinBackend {
  const capacity = { slots: 8, connections: 64, cores: 4, memoryMb: 512, accelerators: 0, rack: 'r1' }
  const services = { timers: new settings.TimerService(), log: settings.createSilentLog() }
  return standin.createStandinBackend({ listen: '127.0.0.1:0', agentAddress, service: 'parts', ...capacity, leaseMs: 150, faults, ...services })
}

async function runTask (backend: standin.StandinBackend, index: number, body: Buffer) {
  const headers = { 'x-egretvalve-team': 'shop', 'x-egretvalve-submission-id': 'a', 'x-egretvalve-task-index': String(index), 'content-type': 'application/json' }
  const response = await undici.request(`http://${backend.address}/check`, { method: 'POST', headers, body })
  return { statusCode: response.statusCode, body: Buffer.from(await response.body.arrayBuffer()) }
}

describe('createStandinBackend', () => {
  it('echoes bodies byte for byte and counts starts per task', async () => {
    const backend = createBackend('')
    await backend.start()
    const body = Buffer.from([0x7b, 0xff, 0x00, 0x0a])
    expect(await runTask(backend, 0, body)).to.deep.equal({ statusCode: 200, body })
    await runTask(backend, 1, Buffer.from('{"runMs":5}'))
    await runTask(backend, 1, Buffer.from('{"runMs":5}'))
    expect(backend.starts('a').map(start => start.count)).to.deep.equal([1, 2])
    expect(backend.counters).to.include({ started: 3, finished: 3, doubleStarts: 1, running: 0 })
    await backend.stop()
  })

  it('announces itself, renews the announcement and withdraws it on stop', async () => {
    const calls: AgentCall[] = []
    const agent = await createFakeAgent(calls)
    const backend = createBackend(`127.0.0.1:${(agent.address() as AddressInfo).port}`)
    await backend.start()
    while (calls.length < 3) await new Promise(resolve => { setTimeout(resolve, 10) })
    await backend.stop()
    agent.close()
    expect(JSON.parse(calls[0]!.body)).to.include({ service: 'parts', address: backend.address, slots: 8, leaseMs: 150 })
    expect(calls.at(-1)!.method).to.equal('DELETE')
  })

  it('fails all tasks or refuses connections while the fault is set, and recovers', async () => {
    const backend = createBackend('', { failAll: true })
    await backend.start()
    expect((await runTask(backend, 0, Buffer.from('{}'))).statusCode).to.equal(500)
    backend.setFaults({ failAll: false, refuseConnections: true })
    const refused = await runTask(backend, 1, Buffer.from('{}')).catch(() => undefined)
    expect(refused).to.equal(undefined)
    backend.setFaults({ refuseConnections: false })
    expect((await runTask(backend, 2, Buffer.from('{}'))).statusCode).to.equal(200)
    await backend.stop()
  })

  it('answers running tasks before it stops and drops them when it crashes', async () => {
    const graceful = createBackend('')
    await graceful.start()
    const finishing = runTask(graceful, 0, Buffer.from('{"runMs":100}'))
    while (graceful.counters.running === 0) await new Promise(resolve => { setTimeout(resolve, 5) })
    await graceful.stop()
    expect((await finishing).statusCode).to.equal(200)
    const crashing = createBackend('', { hang: true })
    await crashing.start()
    const lost = runTask(crashing, 0, Buffer.from('{}')).catch(() => 'lost')
    while (crashing.counters.running === 0) await new Promise(resolve => { setTimeout(resolve, 5) })
    await crashing.crash()
    expect(await lost).to.equal('lost')
  })
})
