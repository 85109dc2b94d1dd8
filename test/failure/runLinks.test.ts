/** Links between entries and agents that break, become unresponsive and reopen while tasks run. */
import { expect } from 'chai'
import * as fleet from '@egretvalve/fleet'
import * as protocol from '@egretvalve/protocol'
import * as runtime from '@egretvalve/runtime'
import * as scheduler from '@egretvalve/scheduler'
import * as settings from '@egretvalve/settings'
import * as standin from '@egretvalve/standin'
import * as workers from '@egretvalve/workers'

const SIZE: workers.RunSize = { cpuMilli: 3_000, memoryMb: 64, accelerators: 0 }
const TERMS: scheduler.JobTerms = { queue: 'shop.example/spares/', service: 'spares', priority: 0, maxAttempts: 2, targetLatencyMs: 60, slackFactor: 1.6 }
const FIRST_PORT = 17_700
const WORK_MS = 1_200
const REPORT_PERIOD_MS = 500
/** Time from the return of a link to the end of runs that nobody wants: the stop at a worker, and messages and checks on a busy machine, in milliseconds. */
const STOP_LIMIT_MS = 250
/** Time after which a caller that lost its answer submits its job again, in milliseconds. */
const RESUBMIT_MS = 1_300
const timers = new settings.TimerService()
const log = settings.createSilentLog()

class LinkBench {
  readonly runRecorder = new standin.RunRecorder()
  readonly scheduler = new scheduler.Scheduler({ timers, log, random: () => 0.5, failureDomain: 'a' })
  readonly configCache = new fleet.ConfigCache()
  readonly evacuations = new fleet.Evacuations()
  readonly entry: fleet.EntryNode
  readonly proxies: standin.NetworkProxy[] = []
  readonly agents: fleet.AgentNode[] = []
  readonly agentCaches: fleet.ConfigCache[] = []
  readonly workers: standin.StandinWorker[] = []
  /** Work of each task that starts, in milliseconds. */
  workOfMs = WORK_MS
  /** Number of runs that each worker has started. */
  readonly startCounts: number[] = []
  private readonly reports: settings.TimerHandle[] = []

  /** `domains` holds the failure domain of each agent; 'a' for the others. */
  constructor (port: number, private readonly domains: readonly string[] = []) {
    this.entry = new fleet.EntryNode({ entryId: 'entry', life: 'entry-life', address: `127.0.0.1:${port}`, failureDomain: 'a' }, { timers, log, scheduler: this.scheduler, configCache: this.configCache, evacuations: this.evacuations })
  }

  async start (agentCount: number): Promise<void> {
    await this.entry.start()
    for (let number = 0; number < agentCount; number++) await this.startAgent(number)
    await this.waitFor(() => this.scheduler.workerCount === agentCount)
  }

  async stop (): Promise<void> {
    for (const report of this.reports) report.cancel()
    for (const agent of this.agents) await agent.stop()
    this.scheduler.stop()
    this.entry.stop()
    for (const proxy of this.proxies) await proxy.stop()
  }

  submit (jobId: string, count: number, deadlineMs = 6_000): { job: scheduler.Job, outcome: Promise<scheduler.JobOutcome> } {
    const job = this.scheduler.submit({ jobId, spec: '', steps: [{ count, size: SIZE, estimatedMs: WORK_MS, after: [] }] }, TERMS, deadlineMs)
    return { job, outcome: new Promise(resolve => { job.onOutcome(resolve) }) }
  }

  async waitFor (condition: () => boolean, limitMs = 5_000): Promise<number> {
    const startedAtMs = timers.nowMs()
    while (!condition()) {
      if (timers.nowMs() - startedAtMs > limitMs) throw new Error('condition not met in time')
      await timers.sleep(10)
    }
    return timers.nowMs() - startedAtMs
  }

  private async startAgent (number: number): Promise<void> {
    const proxy = standin.createNetworkProxy({ listen: '127.0.0.1:0', target: this.entry.identity.address, timers, log })
    await proxy.start()
    this.startCounts.push(0)
    const workOf = (): number => {
      this.startCounts[number]!++
      return this.workOfMs
    }
    const worker = new standin.StandinWorker({ workerId: `w-${number}`, total: { cpuMilli: 32_000, memoryMb: 10_000, accelerators: 0 }, workOf, sizeOf: () => SIZE, timers, runRecorder: this.runRecorder })
    const cache = new fleet.ConfigCache()
    const agent = new fleet.AgentNode({ agentId: `agent-${number}`, life: `agent-${number}-life`, failureDomain: this.domains[number] ?? 'a' }, { timers, log, driver: worker, configCache: cache })
    this.agentCaches.push(cache)
    agent.executor.applyReport(worker.report())
    this.reports.push(timers.every(REPORT_PERIOD_MS, () => { agent.executor.applyReport(worker.report()) }))
    agent.updateEntries([{ address: proxy.address, failureDomain: 'a' }])
    this.proxies.push(proxy)
    this.workers.push(worker)
    this.agents.push(agent)
  }

  get runCount (): number {
    return this.workers.reduce((sum, worker) => sum + worker.runCount, 0)
  }
}

/** An entry that orders one task on its first link. Later links break as soon as both sides have greeted, until it is stable. */
class FlappingEntry {
  isStable = true
  links = 0
  private readonly server: runtime.LinkServer

  constructor (readonly address: string) {
    this.server = new runtime.LinkServer(address)
    this.server.accept('exchange', protocol.runLink.exchange, async stream => { await this.serve(stream) })
  }

  async start (): Promise<void> {
    await this.server.start()
  }

  stop (): void {
    this.server.stop()
  }

  private async serve (stream: runtime.LinkStream<protocol.runs.FromAgent, protocol.runs.IFromEntry>): Promise<void> {
    const link = ++this.links
    try {
      for await (const { greeting, sentAtMs: heardAtMs } of stream) {
        if (link > 1 && !this.isStable && greeting == null) return
        stream.write(greeting == null ? { beat: {}, heardAtMs } : { greeting: { entryId: 'flapping', life: 'flapping-life' }, heardAtMs })
        if (link === 1 && greeting != null) stream.write({ orders: { orders: [{ jobId: 'job', tasks: [{ index: 0, attempt: 1 }], size: SIZE, estimatedMs: WORK_MS, expiresInMs: 5_000 }] }, heardAtMs })
        if (!this.isStable && link === 1) break
      }
    } catch {
      // The agent has closed the link.
    }
    stream.destroy()
  }
}

describe('links between entries and agents', () => {
  before(async () => { await protocol.loadHash() })

  let bench: LinkBench
  let port = FIRST_PORT

  beforeEach(async () => {
    bench = new LinkBench(port++)
    await bench.start(2)
  })

  afterEach(async () => { await bench.stop() })

  it('continue the same runs after a connection reset', async () => {
    const { outcome } = bench.submit('job', 6)
    await bench.waitFor(() => bench.runCount === 6)
    for (const proxy of bench.proxies) proxy.resetAll()
    expect((await outcome).kind).to.equal('succeeded')
    expect([...bench.runRecorder.starts.values()]).to.deep.equal(Array(6).fill(1))
  })

  it('deliver ends that were reported while the link was cut', async () => {
    const { outcome } = bench.submit('job', 6)
    await bench.waitFor(() => bench.runCount === 6)
    await timers.sleep(WORK_MS - 400)
    for (const proxy of bench.proxies) proxy.setFault({ kind: standin.LinkFaultKind.CutToTarget })
    await bench.waitFor(() => bench.runCount === 0)
    for (const proxy of bench.proxies) proxy.setFault({ kind: standin.LinkFaultKind.None })
    expect((await outcome).kind).to.equal('succeeded')
    expect([...bench.runRecorder.starts.values()]).to.deep.equal(Array(6).fill(1))
  })

  // Guards against runs of a cancelled job that go on because their stop met a closed link.
  it('stop the runs of a job that ended while its links were closed as soon as these reopen', async () => {
    const { job } = bench.submit('job', 6)
    await bench.waitFor(() => bench.runCount === 6)
    for (const proxy of bench.proxies) proxy.resetAll()
    await bench.waitFor(() => bench.scheduler.workerCount === 0)
    bench.scheduler.abandon(job)
    await bench.waitFor(() => bench.scheduler.workerCount === 2)
    const endedMs = await bench.waitFor(() => bench.runCount === 0)
    expect(endedMs).to.be.lessThan(STOP_LIMIT_MS)
    expect(bench.scheduler.counters.staleRunsStopped).to.equal(6)
    expect(bench.runRecorder.done.size).to.equal(0)
  })

  // Guards against runs of a cancelled job that go on because a link lost their stop before it was reset.
  it('stop the runs of a job whose stop was lost on silent links, after several resets in a row', async () => {
    const { job } = bench.submit('job', 6)
    await bench.waitFor(() => bench.runCount === 6)
    for (const proxy of bench.proxies) proxy.setFault({ kind: standin.LinkFaultKind.CutToClient })
    bench.scheduler.abandon(job)
    for (let resets = 0; resets < 3; resets++) {
      await timers.sleep(50)
      for (const proxy of bench.proxies) proxy.resetAll()
    }
    for (const proxy of bench.proxies) proxy.setFault({ kind: standin.LinkFaultKind.None })
    await bench.waitFor(() => bench.scheduler.workerCount === 2 && bench.agents.every(agent => agent.isLinked))
    const endedMs = await bench.waitFor(() => bench.runCount === 0)
    expect(endedMs).to.be.lessThan(STOP_LIMIT_MS)
    expect(bench.runRecorder.done.size).to.equal(0)
  })

  // Guards against runs that outlive their owner lease because links which open and break at once renew it before the entry has compared what is held.
  it('stop the runs of an entry whose links break before it has read what the agent holds', async () => {
    const entry = new FlappingEntry(`127.0.0.1:${port++}`)
    await entry.start()
    const [agent] = bench.agents
    bench.workOfMs = 4 * fleet.OWNER_LEASE_MS
    agent!.updateEntries([{ address: entry.address, failureDomain: 'a' }])
    await bench.waitFor(() => bench.runCount === 1)
    await timers.sleep(fleet.OWNER_LEASE_MS)
    expect(bench.runCount, 'a stable link renews the lease').to.equal(1)
    entry.isStable = false
    const endedMs = await bench.waitFor(() => bench.runCount === 0)
    expect(endedMs).to.be.lessThan(RESUBMIT_MS)
    expect(entry.links).to.be.greaterThan(2)
    expect(bench.runRecorder.done.size).to.equal(0)
    entry.stop()
  })

  it('stop the runs of a partitioned agent before a caller may resubmit, and only then start the tasks elsewhere', async () => {
    const { outcome } = bench.submit('job', 6)
    await bench.waitFor(() => bench.runCount === 6)
    const cut = bench.workers.findIndex(worker => worker.runCount > 0)
    bench.proxies[cut]!.setFault({ kind: standin.LinkFaultKind.CutBothWays })
    const endedMs = await bench.waitFor(() => bench.workers[cut]!.runCount === 0)
    expect(endedMs).to.be.lessThan(1_300)
    expect((await outcome).kind).to.equal('succeeded')
    expect(bench.runRecorder.concurrentRuns).to.deep.equal([])
  })

  it('start nothing that was ordered through a link whose messages arrive too late', async () => {
    const [late] = bench.proxies
    late!.setFault({ kind: standin.LinkFaultKind.DelayToClient, delayMs: fleet.OWNER_LEASE_MS })
    await timers.sleep(3 * fleet.OWNER_LEASE_MS)
    const outcomes = Array.from({ length: 4 }, (_, number) => bench.submit(`job-${number}`, 2).outcome)
    expect((await Promise.all(outcomes)).map(({ kind }) => kind)).to.deep.equal(Array(4).fill('succeeded'))
    expect(bench.startCounts[0]).to.equal(0)
    expect(bench.runRecorder.concurrentRuns).to.deep.equal([])
  })

  it('start each task once at a time when half of an order arrives', async () => {
    bench.proxies[0]!.setFault({ kind: standin.LinkFaultKind.CutToClientMidway })
    const { outcome } = bench.submit('job', 6)
    await bench.waitFor(() => bench.runRecorder.starts.size === 6)
    bench.proxies[0]!.setFault({ kind: standin.LinkFaultKind.None })
    expect((await outcome).kind).to.equal('succeeded')
    expect(bench.runRecorder.concurrentRuns).to.deep.equal([])
  })

  it('send a configuration to at most four agents, whatever their number', async () => {
    const large = new LinkBench(port++)
    await large.start(10)
    large.configCache.offer({ version: 4, document: Buffer.from('four') })
    await timers.sleep(2_000)
    expect(large.agentCaches.filter(cache => cache.version === 4).length).to.be.within(1, 4)
    await large.stop()
  })

  // Guards against an entry without the store that never hears of a configuration, because the links that carried its copies were reset.
  it('send a configuration again when links have lost its copies', async () => {
    for (const proxy of bench.proxies) proxy.setFault({ kind: standin.LinkFaultKind.CutToClient })
    bench.configCache.offer({ version: 4, document: Buffer.from('four') })
    await timers.sleep(300)
    for (const proxy of bench.proxies) proxy.resetAll()
    for (const proxy of bench.proxies) proxy.setFault({ kind: standin.LinkFaultKind.None })
    await bench.waitFor(() => bench.agentCaches.some(cache => cache.version === 4), 2_000)
  })

  it('forward the newest configuration to an entry that has an older one', async () => {
    const cache = new fleet.ConfigCache()
    const other = new fleet.EntryNode({ entryId: 'other', life: 'other-life', address: `127.0.0.1:${port++}`, failureDomain: 'a' }, { timers, log, scheduler: new scheduler.Scheduler({ timers, log, random: () => 0.5, failureDomain: 'a' }), configCache: cache })
    const received: number[] = []
    cache.subscribe(copy => { received.push(copy.version) })
    await other.start()
    for (const agent of bench.agents) agent.updateEntries([{ address: other.identity.address, failureDomain: 'a' }])
    bench.configCache.offer({ version: 4, document: Buffer.from('four') })
    await bench.waitFor(() => received.includes(4), 2_000)
    bench.configCache.offer({ version: 9, document: Buffer.from('nine') })
    bench.configCache.offer({ version: 7, document: Buffer.from('seven') })
    await bench.waitFor(() => received.includes(9), 2_000)
    expect(received).to.deep.equal([4, 9])
    other.stop()
  })

  // Guards against a start in an evacuated failure domain by an entry that can't reach the store, or by an agent that has lost its links.
  it('tell entries without the store of an evacuation, before any order on a new link', async () => {
    const fleetBench = new LinkBench(port++, ['a', 'b'])
    await fleetBench.start(2)
    const jobs = new scheduler.Scheduler({ timers, log, random: () => 0.5, failureDomain: 'a' })
    const evacuations = new fleet.Evacuations()
    const other = new fleet.EntryNode({ entryId: 'other', life: 'other-life', address: `127.0.0.1:${port++}`, failureDomain: 'a' }, { timers, log, scheduler: jobs, configCache: new fleet.ConfigCache(), evacuations })
    await other.start()
    for (const agent of fleetBench.agents) agent.updateEntries([{ address: other.identity.address, failureDomain: 'a' }])
    await fleetBench.waitFor(() => jobs.workerCount === 2)
    // The agent of the evacuated domain has no link to the entry that reads the store.
    fleetBench.proxies[0]!.setFault({ kind: standin.LinkFaultKind.CutBothWays })
    fleetBench.proxies[0]!.resetAll()
    fleetBench.evacuations.offer({ revision: 7, failureDomains: ['a'] }, 'store')
    await fleetBench.waitFor(() => evacuations.has('a') && jobs.workerCount === 1)
    fleetBench.proxies[0]!.setFault({ kind: standin.LinkFaultKind.None })
    await fleetBench.waitFor(() => fleetBench.scheduler.evacuatedWorkerCount === 1)
    fleetBench.workOfMs = 50
    const { outcome } = fleetBench.submit('job', 5)
    const atOther = jobs.submit({ jobId: 'other-job', spec: '', steps: [{ count: 5, size: SIZE, estimatedMs: 50, after: [] }] }, TERMS, 6_000)
    expect((await outcome).kind).to.equal('succeeded')
    await fleetBench.waitFor(() => atOther.hasEnded)
    expect([fleetBench.startCounts, atOther.outcome?.kind]).to.deep.equal([[0, 10], 'succeeded'])
    fleetBench.evacuations.offer({ revision: 8, failureDomains: [] }, 'store')
    await fleetBench.waitFor(() => jobs.workerCount === 2 && fleetBench.scheduler.workerCount === 2)
    jobs.stop()
    other.stop()
    await fleetBench.stop()
  })

  it('tell every entry of a crash, also one that starts later', async () => {
    bench.submit('job', 1)
    await bench.waitFor(() => bench.runCount === 1)
    const number = bench.workers.findIndex(worker => worker.runCount > 0)
    bench.workers[number]!.faults.isDown = true
    const crashed: number[] = []
    const later = new scheduler.Scheduler({ timers, log, random: () => 0.5, failureDomain: 'a' })
    later.handleCrash = crash => { crashed.push(crash.runs.length) }
    const other = new fleet.EntryNode({ entryId: 'other', life: 'other-life', address: `127.0.0.1:${port++}`, failureDomain: 'a' }, { timers, log, scheduler: later, configCache: new fleet.ConfigCache() })
    await bench.waitFor(() => bench.agents[number]!.executor.counters.workerCrashes === 1)
    await other.start()
    for (const agent of bench.agents) agent.updateEntries([{ address: other.identity.address, failureDomain: 'a' }])
    await bench.waitFor(() => crashed.length > 0, 2_000)
    expect(crashed).to.deep.equal([1])
    other.stop()
  })

  // Guards against tasks that start on a worker without their label because its entry hears too late that it has been replaced by one of another kind.
  it('report within 250 ms that a worker of another kind has come', async () => {
    const step = { count: 1, size: SIZE, estimatedMs: WORK_MS, after: [] }
    for (let round = 0; round < 4; round++) {
      const requirement = `kind-${round}`
      bench.agents[0]!.executor.applyReport({ ...bench.workers[0]!.report(), labels: [requirement] })
      const startedAtMs = timers.nowMs()
      await bench.waitFor(() => bench.scheduler.submit({ jobId: `job-${requirement}-${timers.nowMs()}`, spec: '', steps: [{ ...step, requirement }] }, TERMS, 6_000).outcome === undefined)
      expect(timers.nowMs() - startedAtMs).to.be.lessThan(250)
    }
  })

  it('report the load of a filled worker when its free capacity changes, and not for changes that leave it the same', async () => {
    const count = (): number => protocol.linkTraffic.read().get('agent.load')?.messages ?? 0
    const { executor } = bench.agents[0]!
    const order = (index: number, expiresAfterMs: number): workers.TaskOrder => ({ owner: 'elsewhere', task: { jobId: 'other', step: 0, index }, attempt: 1, queue: 'q', spec: '', size: SIZE, estimatedMs: WORK_MS, crashes: 0, observationMs: 0, age: new workers.Age(timers), expiresAfterMs })
    bench.submit('job', 14)
    await bench.waitFor(() => bench.runCount === 14)
    await timers.sleep(100)
    const before = count()
    for (let index = 0; index < 8; index++) {
      executor.submit(order(index, -1))
      await timers.sleep(50)
    }
    expect(count() - before).to.equal(0)
    executor.handleDeparture('w-0')
    await bench.waitFor(() => count() > before, 200)
  })
})
