import * as grpc from '@grpc/grpc-js'
import { expect } from 'chai'
import * as agent from '@egretvalve/agent'
import * as protocol from '@egretvalve/protocol'
import * as settings from '@egretvalve/settings'
import * as fleets from '../fixtures/fleet.ts'
import { exchangeRaw } from '../fixtures/rawSocket.ts'

const { wire } = protocol
const AGENT_GRACE_MS = 200
const CLOSE_LIMIT_MS = 300
const HTTP2_PREFACE = 'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n'

const passThrough = (bytes: Buffer): Buffer => bytes

/** Opens a stream to an entry on which the test writes unencoded bytes. */
function openRawStream (address: string): { call: grpc.ClientDuplexStream<Buffer, Buffer>, ended: Promise<number>, close: () => void } {
  const client = new grpc.Client(address, grpc.credentials.createInsecure())
  const call = client.makeBidiStreamRequest<Buffer, Buffer>(protocol.agentLink.exchange.path, passThrough, passThrough)
  call.on('error', () => {})
  call.on('data', () => {})
  const ended = new Promise<number>(resolve => { call.once('status', status => resolve(status.code)) })
  return { call, ended, close: () => { call.cancel(); client.close() } }
}

function encode (message: protocol.wire.IAgentToEntry): Buffer {
  return Buffer.from(wire.AgentToEntry.encode(message).finish())
}

function createHello (agentId: string, service: string): Buffer {
  const load = { service, freeSlots: 50, total: { slots: 50, connections: 50, cores: 64, memoryMb: 100_000 } }
  return encode({ hello: { agentId, incarnation: '1', region: 'local', failureDomain: 'local-a', wallClockMs: Date.now(), load } })
}

describe('hostile input at the link socket of an entry', () => {
  let fleet: fleets.Fleet

  before(async () => { fleet = await fleets.startFleet({ entrySettings: { agentGraceMs: AGENT_GRACE_MS } }) })

  after(async () => { await fleet.stop() })

  afterEach('the entry still completes jobs', async () => {
    expect((await fleets.submit(fleet, fleets.createJob({ submissionId: `after-${performance.now()}` }))).value.kind).to.equal('complete')
  })

  for (const [name, bytes] of [['HTTP/1', 'GET / HTTP/1.1\r\n\r\n'], ['binary data', '\x00\xff\x13\x37'.repeat(500)], ['an HTTP/2 preface and binary data', HTTP2_PREFACE + '\x99'.repeat(200)]]) {
    it(`keeps serving after ${name}`, async () => { await exchangeRaw(fleet.entry.linkAddress, Buffer.from(bytes!, 'latin1'), CLOSE_LIMIT_MS) })
  }

  it('ends a stream whose message cannot be decoded', async () => {
    const stream = openRawStream(fleet.entry.linkAddress)
    stream.call.write(Buffer.from([0xff, 0xff, 0xff, 0xff, 0xff]))
    expect(await stream.ended).to.not.equal(grpc.status.OK)
    stream.close()
  })

  it('ends a stream whose report has no submission key', async () => {
    const stream = openRawStream(fleet.entry.linkAddress)
    stream.call.write(createHello('keyless', 'other'))
    stream.call.write(encode({ report: { jobs: [{ tasks: [{ index: 0, state: wire.TaskState.TASK_STATE_FINISHED }] }] } }))
    stream.call.end()
    await stream.ended
    stream.close()
  })

  it('ignores a report of a task that was not sent to the reporter', async () => {
    const job = fleets.createJob({ submissionId: 'forged', tasks: [{ body: '{"runMs":300,"true":1}' }] })
    const pending = fleets.submit(fleet, job)
    await fleets.until(() => fleet.backends.some(backend => backend.starts('forged').length === 1))
    const stream = openRawStream(fleet.entry.linkAddress)
    stream.call.write(createHello('forger', 'other'))
    const forged = { index: 0, state: wire.TaskState.TASK_STATE_FINISHED, statusCode: 200, body: Buffer.from('forged') }
    stream.call.write(encode({ report: { jobs: [{ key: { team: 'shop', submissionId: 'forged' }, taskCount: 1, tasks: [forged] }] } }))
    const answer = await pending
    stream.close()
    expect(answer.value.tasks[0]!.body).to.equal('{"runMs":300,"true":1}')
  })

  it('reports an unknown outcome for tasks whose agent disconnects after receiving them', async () => {
    const stream = openRawStream(fleet.entry.linkAddress)
    const started = new Promise<void>(resolve => {
      stream.call.on('data', bytes => { if (wire.EntryToAgent.decode(bytes as Buffer).start != null) resolve() })
    })
    stream.call.write(createHello('disconnecting', 'fragile'))
    await fleets.until(async () => (await fleets.submit(fleet, fleets.createJob({ submissionId: `try-${performance.now()}`, service: 'fragile' }), 0)).value.kind === 'pending')
    const pending = fleets.submit(fleet, fleets.createJob({ submissionId: 'interrupted', service: 'fragile', tasks: [{ body: 'a' }, { body: 'b' }] }))
    await started
    await fleets.until(async () => (await fleets.get(fleet, '/v1/jobs/shop/interrupted')).status === 202)
    stream.close()
    const answer = await pending
    expect(answer.value).to.include({ kind: 'failed', code: 'tasks-failed' })
    expect(answer.value.tasks.every(task => ['unknown', 'not-run'].includes(task.state) && task.body === undefined)).to.equal(true)
  })
})

describe('hostile input at the links of an agent', () => {
  it('keeps serving a valid entry while another sends malformed messages', async () => {
    const server = new grpc.Server()
    let streams = 0
    const method = { ...protocol.agentLink.exchange, responseSerialize: passThrough } as unknown as grpc.MethodDefinition<unknown, unknown>
    const handle = (call: grpc.ServerDuplexStream<unknown, Buffer>): void => {
      streams++
      call.on('data', () => {})
      call.on('error', () => {})
      const messages = [Buffer.from([0x12, 0x7f, 0x01]), Buffer.from(wire.EntryToAgent.encode({ start: { jobs: [{ tasks: [{ index: 0 }] }] } }).finish())]
      call.write(messages[streams % messages.length]!)
    }
    server.addService({ exchange: method }, { exchange: handle as unknown as grpc.UntypedHandleCall })
    const port = await new Promise<number>((resolve, reject) => {
      server.bindAsync('127.0.0.1:0', grpc.ServerCredentials.createInsecure(), (error, bound) => { if (error === null) resolve(bound); else reject(error) })
    })
    const fleet = await fleets.startFleet({ backends: 1 })
    const services = { timers: new settings.TimerService(), log: settings.createSilentLog(), metrics: settings.createSilentMetrics() }
    const testedAgent = agent.createAgent(agent.resolveAgentDefaults({ nodeId: 'tested', announceListen: '127.0.0.1:0', entries: [fleet.entry.linkAddress, `127.0.0.1:${port}`], plainText: true }), services)
    await testedAgent.start()
    await fetch(`http://${testedAgent.announceAddress}/v1/announcement`, {
      method: 'PUT',
      body: JSON.stringify({ service: 'tested', address: fleet.backends[0]!.address, slots: 2, connections: 4, leaseMs: 60_000 })
    })
    await fleets.until(() => streams >= 3)
    await fleets.until(async () => (await fleets.submit(fleet, fleets.createJob({ submissionId: `b-${performance.now()}`, service: 'tested' }))).value.kind === 'complete')
    await testedAgent.stop()
    await fleet.stop()
    server.forceShutdown()
  })
})
