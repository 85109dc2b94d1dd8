/** Malformed messages on the links between entries and the agents of leased workers. */
import * as grpc from '@grpc/grpc-js'
import { expect } from 'chai'
import * as fastCheck from 'fast-check'
import * as fleet from '@egretvalve/fleet'
import * as protocol from '@egretvalve/protocol'
import * as scheduler from '@egretvalve/scheduler'
import * as settings from '@egretvalve/settings'
import * as standin from '@egretvalve/standin'
import * as workers from '@egretvalve/workers'

const { runs } = protocol
const FIRST_PORT = 17_750
const SIZE: workers.RunSize = { cpuMilli: 3_000, memoryMb: 64, accelerators: 0 }
const TERMS: scheduler.JobTerms = { queue: 'shop.example/spares/', service: 'spares', priority: 0, maxAttempts: 2, targetLatencyMs: 60, slackFactor: 1.6 }
const WORK_MS = 30
const NOISE_SEED = 11
const NOISE_MESSAGES = 60
const timers = new settings.TimerService()
const log = settings.createSilentLog()
const asIs = (bytes: Buffer): Buffer => bytes

/** Random bytes from a seeded generator, as a sender with corrupt memory would write them. */
function createNoise (seed: number, count: number): Buffer[] {
  return fastCheck.sample(fastCheck.uint8Array({ minLength: 1, maxLength: 60 }), { seed, numRuns: count }).map(bytes => Buffer.from(bytes))
}

const MALFORMED_REPORTS: protocol.runs.IFromAgent[] = [
  { report: { ends: [{}], load: {}, slow: [{ elapsedMs: Number.NaN }] } },
  { report: { load: { isPresent: true, service: 'spares', total: { cpuMilli: 4_294_967_295 }, free: { cpuMilli: 4_294_967_295 }, pace: Number.POSITIVE_INFINITY } } },
  { report: { load: { isPresent: true, service: 'spares', total: { cpuMilli: 32_000 }, free: { cpuMilli: 32_000 }, labels: Array(20_000).fill('x'), pace: 1e300 } } },
  { report: { slow: [{ elapsedMs: 1e300, percent: 1e-300, stalledMs: 1e300 }], ends: [{ jobId: '__proto__', kind: 99 as protocol.runs.EndKind, runMs: 1e300 }], crashes: [{ crashId: '__proto__', runs: Array(5_000).fill({ jobId: 'x', earlierCrashes: 4_294_967_295, runMs: 1e300 }) }] }, sentAtMs: Number.POSITIVE_INFINITY },
  { held: { runs: [{}, { jobId: 'x'.repeat(10_000) }] } },
  { beat: { configVersion: 4_294_967_295 } },
  { config: { version: 4_294_967_295, document: Buffer.from('{"version":1') } },
  {}
]

const MALFORMED_ORDERS: protocol.runs.IFromEntry[] = [
  { orders: { orders: [{}, { jobId: 'odd', tasks: [{}], estimatedMs: Number.NaN, expiresInMs: Number.NaN }] } },
  { stop: {} },
  { demand: { count: 4_294_967_295, rank: 1, latestStartInMs: Number.NaN, size: {} } },
  { demand: { count: 1, rank: 4_294_967_295, latestStartInMs: 1e300, size: { cpuMilli: 4_294_967_295 } }, heardAtMs: Number.POSITIVE_INFINITY },
  { orders: { orders: [{ jobId: '__proto__', tasks: [{ index: 4_294_967_295, attempt: 4_294_967_295, observationMs: 1e300 }], estimatedMs: 1e300, expiresInMs: 1e300, size: { cpuMilli: 1 } }] } },
  { entries: { entries: [{ address: '127.0.0.1:1e3' }, { address: '127.0.0.1:1', failureDomain: 'd'.repeat(100_000) }] } },
  { entries: { entries: Array(20_000).fill({ address: '127.0.0.1:70000' }) } },
  { entries: { entries: [{}, { address: 'not an address' }, { address: '127.0.0.1:99999' }] } },
  { config: { version: 4_294_967_295, document: Buffer.from('{"version":1') } },
  {}
]

describe('malformed messages on run links', () => {
  let port = FIRST_PORT
  let entry: fleet.EntryNode
  let agent: fleet.AgentNode
  let jobs: scheduler.Scheduler
  let cache: fleet.ConfigCache
  let jobNumber = 0

  before(async () => { await protocol.loadHash() })

  beforeEach(async () => {
    jobs = new scheduler.Scheduler({ timers, log, random: () => 0.5, failureDomain: 'a' })
    cache = new fleet.ConfigCache(isReadable)
    entry = new fleet.EntryNode({ entryId: 'entry', life: 'entry-life', address: `127.0.0.1:${port++}`, failureDomain: 'a' }, { timers, log, scheduler: jobs, configCache: cache })
    await entry.start()
    const worker = new standin.StandinWorker({ workerId: 'w', total: { cpuMilli: 32_000, memoryMb: 10_000, accelerators: 0 }, workOf: () => WORK_MS, sizeOf: () => SIZE, timers, runRecorder: new standin.RunRecorder() })
    agent = new fleet.AgentNode({ agentId: 'agent', life: 'agent-life', failureDomain: 'a' }, { timers, log, driver: worker, configCache: new fleet.ConfigCache(isReadable) })
    agent.executor.applyReport(worker.report())
    agent.updateEntries([{ address: entry.identity.address, failureDomain: 'a' }])
  })

  afterEach('entry and agent still run jobs and accept configurations', async () => {
    await serveJob()
    expect(cache.offer({ version: 7, document: Buffer.from('{"version":7}') })).to.equal(true)
    await agent.stop()
    jobs.stop()
    entry.stop()
  })

  function isReadable ({ document, version }: fleet.ConfigDocument): boolean {
    try {
      return JSON.parse(Buffer.from(document).toString()).version === version
    } catch {
      return false
    }
  }

  async function waitUntil (isMet: () => boolean): Promise<void> {
    const startedAtMs = timers.nowMs()
    while (!isMet() && timers.nowMs() - startedAtMs < 5_000) await timers.sleep(10)
  }

  async function serveJob (): Promise<void> {
    await waitUntil(() => jobs.workerCount > 0)
    const job = jobs.submit({ jobId: `job-${jobNumber++}`, spec: '', steps: [{ count: 2, size: SIZE, estimatedMs: WORK_MS, after: [] }] }, TERMS, 3_000)
    expect((await new Promise<scheduler.JobOutcome>(resolve => { job.onOutcome(resolve) })).kind).to.equal('succeeded')
  }

  async function sendToEntry (messages: readonly Buffer[]): Promise<void> {
    const client = new grpc.Client(entry.identity.address, grpc.credentials.createInsecure())
    const call = client.makeBidiStreamRequest<Buffer, Buffer>(protocol.runLink.exchange.path, asIs, asIs)
    call.on('error', () => {})
    call.on('data', () => {})
    const ended = new Promise<void>(resolve => { call.once('status', () => { resolve() }) })
    for (const message of messages) call.write(message)
    call.end()
    await ended
    client.close()
  }

  it('end the stream at the entry when they are random bytes', async () => {
    for (const noise of createNoise(NOISE_SEED, NOISE_MESSAGES)) await sendToEntry([noise])
  })

  it('do not stop the entry, with or without a greeting before them', async () => {
    const encoded = MALFORMED_REPORTS.map(report => Buffer.from(runs.FromAgent.encode(report).finish()))
    await sendToEntry(encoded)
    for (const message of encoded) {
      const greeting = Buffer.from(runs.FromAgent.encode({ greeting: { agentId: 'odd', life: 'odd-life' } }).finish())
      await sendToEntry([greeting, message, ...createNoise(NOISE_SEED, 1)])
    }
    expect(cache.version).to.equal(0)
  })

  it('do not stop an agent that also serves a well-behaved entry', async () => {
    const server = new grpc.Server()
    const messages = [...MALFORMED_ORDERS.map(order => Buffer.from(runs.FromEntry.encode(order).finish())), ...createNoise(NOISE_SEED, NOISE_MESSAGES)]
    let streams = 0
    const handle = (call: grpc.ServerDuplexStream<unknown, Buffer>): void => {
      call.on('data', () => {})
      call.on('error', () => {})
      call.write(Buffer.from(runs.FromEntry.encode({ greeting: { entryId: 'odd', life: 'odd-life' } }).finish()))
      const sent = streams++ < 1 ? messages.slice(0, MALFORMED_ORDERS.length) : messages.slice(MALFORMED_ORDERS.length + streams, MALFORMED_ORDERS.length + streams + 1)
      for (const message of sent) call.write(message)
    }
    server.addService({ exchange: { ...protocol.runLink.exchange, responseSerialize: asIs } as unknown as grpc.MethodDefinition<unknown, unknown> }, { exchange: handle as unknown as grpc.UntypedHandleCall })
    const address = `127.0.0.1:${port++}`
    await new Promise<void>((resolve, reject) => { server.bindAsync(address, grpc.ServerCredentials.createInsecure(), error => { if (error === null) resolve(); else reject(error) }) })
    agent.updateEntries([{ address, failureDomain: 'a' }])
    await waitUntil(() => streams >= 4)
    expect(streams).to.be.at.least(4)
    await serveJob()
    server.forceShutdown()
  })
})
