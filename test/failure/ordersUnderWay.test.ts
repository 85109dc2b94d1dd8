/** Verdicts on tasks whose orders were under way when workers crashed, with a scheduler, agents and workers on simulated time. */
import { expect } from 'chai'
import * as scheduler from '@egretvalve/scheduler'
import * as settings from '@egretvalve/settings'
import * as standin from '@egretvalve/standin'
import * as workers from '@egretvalve/workers'
import { passTime } from '../support/simulatedTime.ts'

const SIZE: workers.RunSize = { cpuMilli: 3_000, memoryMb: 64, accelerators: 0 }
const TOTAL: workers.RunSize = { cpuMilli: 30_000, memoryMb: 1_024, accelerators: 0 }
const TERMS: scheduler.JobTerms = { queue: 'queue', service: 'spares', priority: 0, maxAttempts: 2, targetLatencyMs: 60, slackFactor: 1.6 }
const WORKERS = 8
const WORK_MS = 150
const DEADLINE_MS = 20_000
const LINK_DELAY_MS = 5
const REPORT_PERIOD_MS = 1_500
/** Time for which calls to a worker that has crashed get no answer, before connections to it are refused, in milliseconds. */
const SILENT_MS = 40
/** Time after which a worker is back, in milliseconds. */
const DOWN_MS = 3_000
const MAX_CRASHES = 3

/** An agent with its worker, as one entry sees it. */
class Agent implements scheduler.AgentPort {
  readonly incarnation = 'life-1'
  readonly failureDomain = 'a'
  readonly executor: workers.RunExecutor
  /** Crashes that the agent has reported. */
  readonly crashes: workers.WorkerCrash[] = []
  private received = 0
  private reportedBornAtMs = 0

  constructor (readonly agentId: string, readonly worker: standin.StandinWorker, private readonly bench: Bench) {
    const { timers } = bench
    this.executor = new workers.RunExecutor({ timers, log: settings.createSilentLog(), driver: worker }, {
      onEnd: ({ order, end, runMs, reason }) => { this.report(entry => { entry.handleEnds(this, [{ ref: order.task, attempt: order.attempt, end, runMs, reason }]) }) },
      onLoad: () => { this.report(() => {}) },
      onCrash: crash => {
        this.crashes.push(crash)
        this.report(entry => { entry.handleCrash(crash) })
      },
      onCapacityReserved: () => {}
    })
    timers.every(REPORT_PERIOD_MS, () => { this.applyReport() })
    timers.every(50, () => { if (worker.bornAtMs !== this.reportedBornAtMs) this.applyReport() })
    this.applyReport()
  }

  sinceLastMessageMs (): number {
    return 0
  }

  sendTask (job: scheduler.Job, task: scheduler.Task, expiresInMs: number, suspicion: scheduler.Suspicion): void {
    const order: workers.TaskOrder = { owner: 'entry', task: task.ref, attempt: task.attempt, queue: job.terms.queue, spec: '', size: SIZE, estimatedMs: WORK_MS, ...suspicion, age: new workers.Age(this.bench.timers), expiresAfterMs: expiresInMs }
    this.bench.onOrder(this, order)
    this.bench.timers.after(LINK_DELAY_MS, () => {
      this.received++
      this.executor.submit(order)
    })
  }

  stop (ref: workers.TaskRef): void {
    this.executor.stop('entry', order => workers.taskKey(order.task) === workers.taskKey(ref), 'stopped by the entry')
  }

  sendDemand (): void {}

  /** The worker goes silent, then down with all of its runs, and comes back. */
  crash (): void {
    const { timers } = this.bench
    const { faults } = this.worker
    faults.isUnresponsive = true
    timers.after(SILENT_MS, () => {
      this.worker.restart()
      faults.isUnresponsive = false
      faults.isDown = true
    })
    timers.after(DOWN_MS, () => {
      this.worker.restart()
      faults.isDown = false
    })
  }

  private applyReport (): void {
    if (this.worker.faults.isDown) return
    this.reportedBornAtMs = this.worker.bornAtMs
    this.executor.applyReport(this.worker.report())
  }

  /** Reports to the entry after the link's delay, with the load. */
  private report (apply: (entry: scheduler.Scheduler) => void): void {
    this.bench.timers.after(LINK_DELAY_MS, () => {
      apply(this.bench.entry)
      this.bench.entry.handleLoad(this, { ...this.executor.load, received: this.received })
    })
  }
}

class Bench {
  readonly timers = new settings.FakeTimers()
  readonly runRecorder = new standin.RunRecorder()
  entry = this.createEntry()
  readonly agents: Agent[]
  /** Called when a task is sent. */
  onOrder: (agent: Agent, order: workers.TaskOrder) => void = () => {}

  constructor (crashesAfterMs: (task: workers.TaskRef) => number | undefined = () => undefined) {
    this.agents = Array.from({ length: WORKERS }, (_, number) => new Agent(`agent-${number}`, new standin.StandinWorker({ workerId: `w-${number}`, total: TOTAL, workOf: () => WORK_MS, sizeOf: () => SIZE, crashesAfterMs, timers: this.timers, runRecorder: this.runRecorder }), this))
  }

  async open (): Promise<void> {
    await passTime(this.timers, 100)
    this.connect()
    await passTime(this.timers, 100)
  }

  /** Replaces the entry by one that knows nothing but what the agents tell it. */
  async restartEntry (): Promise<void> {
    this.entry.stop()
    this.entry = this.createEntry()
    this.connect()
    for (const { crashes } of this.agents) for (const crash of crashes) this.entry.handleCrash(crash)
    await passTime(this.timers, 20)
  }

  submit (jobId: string, count = 1): scheduler.Job {
    return this.entry.submit({ jobId, spec: '', steps: [{ count, size: SIZE, estimatedMs: WORK_MS, after: [] }] }, TERMS, DEADLINE_MS)
  }

  private createEntry (): scheduler.Scheduler {
    return new scheduler.Scheduler({ timers: this.timers, log: settings.createSilentLog(), random: () => 0.5, failureDomain: 'a' })
  }

  private connect (): void {
    for (const agent of this.agents) this.entry.connect(agent, { ...agent.executor.load, received: 0 })
  }
}

describe('orders under way to workers that crash', () => {
  it('give up no job for a single crash under a confirmed run, whatever the reports of its other orders', async () => {
    const bench = new Bench()
    await bench.open()
    // The first order arrives after the worker has crashed, the second runs while its worker crashes.
    let orders = 0
    bench.onOrder = agent => {
      orders++
      if (orders === 1) agent.crash()
      if (orders === 2) bench.timers.after(3 * LINK_DELAY_MS, () => { agent.crash() })
    }
    const job = bench.submit('innocent')
    while (!job.hasEnded) await passTime(bench.timers, 5)
    expect(orders).to.be.at.least(3)
    expect(job.outcome).to.deep.equal({ kind: 'succeeded' })
  })

  it('give up no job in three group crashes in a row', async () => {
    const bench = new Bench()
    await bench.open()
    let groups = 0
    let crashedAtMs = Number.NEGATIVE_INFINITY
    const jobs = Array.from({ length: 6 }, (_, number) => `innocent-${number}`)
    // With the first order after a pause, the addressed worker and two others crash before the order arrives.
    bench.onOrder = agent => {
      if (groups === 3 && bench.timers.nowMs() - crashedAtMs > LINK_DELAY_MS) return
      if (bench.timers.nowMs() - crashedAtMs > 50) {
        groups++
        crashedAtMs = bench.timers.nowMs()
        for (const other of bench.agents.filter(each => each !== agent && !each.worker.faults.isDown).slice(0, 2)) other.crash()
      }
      if (!agent.worker.faults.isUnresponsive) agent.crash()
    }
    const submitted = jobs.map(jobId => bench.submit(jobId))
    while (!submitted.every(({ hasEnded }) => hasEnded)) await passTime(bench.timers, 5)
    expect(groups).to.equal(3)
    expect(submitted.map(({ outcome }) => outcome?.kind)).to.deep.equal(jobs.map(() => 'succeeded'))
  })

  it('give up a task that crashes its workers before its start is answered after at most three crashes, also beside others', async () => {
    for (const others of [0, 20]) {
      const bench = new Bench(({ jobId }) => jobId === 'crashing' ? 0 : undefined)
      await bench.open()
      const innocent = Array.from({ length: others }, (_, number) => bench.submit(`innocent-${number}`))
      const job = bench.submit('crashing')
      while (!job.hasEnded || innocent.some(({ hasEnded }) => !hasEnded)) await passTime(bench.timers, 5)
      expect(job.outcome?.kind).to.equal('failed')
      expect(bench.runRecorder.crashes.get('crashing/0/0')).to.be.within(2, MAX_CRASHES)
      expect(innocent.filter(({ outcome }) => outcome?.kind !== 'succeeded')).to.deep.equal([])
    }
  })

  it('give up such a task after at most three crashes when its entry has restarted in between', async () => {
    const bench = new Bench(({ jobId }) => jobId === 'crashing' ? 0 : undefined)
    await bench.open()
    bench.submit('crashing')
    while ((bench.runRecorder.crashes.get('crashing/0/0') ?? 0) < 1) await passTime(bench.timers, 5)
    await passTime(bench.timers, LINK_DELAY_MS)
    await bench.restartEntry()
    const job = bench.submit('crashing')
    while (!job.hasEnded) await passTime(bench.timers, 5)
    expect(job.outcome?.kind).to.equal('failed')
    expect(bench.runRecorder.crashes.get('crashing/0/0')).to.be.at.most(MAX_CRASHES)
  })

  it('count a crash once, whether its report comes twice, late or after a restart of the entry', async () => {
    const bench = new Bench()
    await bench.open()
    let orders = 0
    bench.onOrder = agent => { if (++orders === 1) bench.timers.after(3 * LINK_DELAY_MS, () => { agent.crash() }) }
    bench.submit('innocent')
    const reporter = (): Agent | undefined => bench.agents.find(({ crashes }) => crashes.length > 0)
    while (reporter() === undefined) await passTime(bench.timers, 5)
    const crash = reporter()!.crashes[0]!
    expect(crash.runs.map(({ task }) => task.jobId)).to.deep.equal(['innocent'])
    bench.entry.handleCrash(crash)
    await bench.restartEntry()
    const job = bench.submit('innocent')
    while (!job.hasEnded) {
      bench.entry.handleCrash(crash)
      await passTime(bench.timers, 5)
    }
    bench.entry.handleCrash(crash)
    expect(job.outcome).to.deep.equal({ kind: 'succeeded' })
  })
})
