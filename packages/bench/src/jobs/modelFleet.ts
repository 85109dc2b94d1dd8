/** Simulates a fleet in one process on a fake clock, with the real schedulers and agent executors, stand-in workers and delayed links. */
import * as placement from '@egretvalve/placement'
import * as scheduler from '@egretvalve/scheduler'
import * as settings from '@egretvalve/settings'
import * as standin from '@egretvalve/standin'
import * as workers from '@egretvalve/workers'
import { Random } from '../random.ts'
import type { JobAnswer } from './credit.ts'
import type { ArrivingJob } from './workload.ts'

/** Size and faults of a simulated fleet. */
export interface ModelFleetOptions {
  entries: number
  /** Cores of each worker. */
  workerCores: readonly number[]
  /** Factor on the run time of tasks, by worker; defaults to 1. */
  slowness?: readonly number[]
  /** Number of entries that each agent links to; defaults to all. Requires `protocol.loadHash` to have completed. */
  linksPerAgent?: number
  /** One-way delay of messages between entries and agents, in milliseconds. */
  linkDelayMs: number
  /** Relative rates at which callers reach the entries; repeated for further entries. Defaults to equal rates. */
  entryWeights?: readonly number[]
  seed: number
  /** Returns the time from the start of a task to the crash of its worker, in milliseconds; undefined for a task that crashes none. */
  crashesAfterMs?: (task: workers.TaskRef) => number | undefined
  schedulerOptions?: scheduler.SchedulerOptions
  workerOptions?: workers.WorkerOptions
  /** Called at each simulation step; can switch faults of the workers on and off. */
  onStep?: (nowMs: number, workers: readonly standin.StandinWorker[]) => void
}

/** Outcome of a load on a simulated fleet. */
export interface ModelOutcome {
  answers: JobAnswer[]
  /** Keys of the tasks that ran twice at the same time. */
  concurrentRuns: string[]
  /** Number of crashes by the key of the task that caused them. */
  crashes: ReadonlyMap<string, number>
  startCount: number
  /** Number of tasks that agents returned without starting them. */
  returnCount: number
  /** Number of demand messages from entries to agents. */
  demandCount: number
}

const STEP_MS = 1
/** The simulation ends this long after the last arrival, even if jobs are still open. */
const DRAIN_LIMIT_MS = 20_000
/** Period of worker reports to the agent. */
const REPORT_PERIOD_MS = 1_500
const REPORT_CHECK_MS = 50
/** Delay that batches load reports to entries whose tasks did not change. */
const LOAD_PERIOD_MS = 40
/** Steps of an entry's weight of 1. */
const WEIGHT_STEPS = 20

/** An agent with its worker and its links to entries. */
class ModelAgent {
  readonly executor: workers.RunExecutor
  private readonly ports = new Map<string, { port: ModelPort, entry: scheduler.Scheduler, ends: workers.TaskEnding[] }>()
  demandCount = 0
  private isFlushScheduled = false
  private isLoadReportScheduled = false
  private reportedAtMs = 0
  private reportedBornAtMs = 0

  constructor (readonly agentId: string, readonly worker: standin.StandinWorker, readonly timers: settings.FakeTimers, private readonly linkDelayMs: number, options: workers.WorkerOptions | undefined) {
    this.executor = new workers.RunExecutor({ timers, log: settings.createSilentLog(), driver: worker, options }, { onEnd: ending => { this.queueEnd(ending) }, onLoad: () => { this.scheduleLoadReports() }, onCrash: crash => { this.reportCrash(crash) }, onCapacityReserved: owners => { this.reportCapacity(owners) } })
    timers.every(REPORT_CHECK_MS, () => { this.reportWorker() })
    this.reportWorker()
  }

  /** Applies a report of the worker when one is due: at the start of an incarnation, and once per period. */
  private reportWorker (): void {
    const { bornAtMs, faults } = this.worker
    if (faults.isDown || (bornAtMs === this.reportedBornAtMs && this.timers.nowMs() - this.reportedAtMs < REPORT_PERIOD_MS)) return
    this.reportedBornAtMs = bornAtMs
    this.reportedAtMs = this.timers.nowMs()
    this.executor.applyReport(this.worker.report())
  }

  link (owner: string, entry: scheduler.Scheduler): void {
    const port = new ModelPort(this, owner)
    this.ports.set(owner, { port, entry, ends: [] })
    entry.connect(port, { ...this.executor.load, received: 0 })
  }

  receiveOrder (order: workers.TaskOrder, port: ModelPort): void {
    this.timers.after(this.linkDelayMs, () => {
      port.received++
      this.executor.submit(order)
    })
  }

  receiveDemand (owner: string, demand: workers.Demand | undefined): void {
    this.demandCount++
    this.timers.after(this.linkDelayMs, () => { this.executor.updateDemand(owner, demand) })
  }

  receiveStop (owner: string, ref: workers.TaskRef): void {
    this.timers.after(this.linkDelayMs, () => { this.executor.stop(owner, order => workers.taskKey(order.task) === workers.taskKey(ref), 'stopped by the entry') })
  }

  private reportCrash (crash: workers.WorkerCrash): void {
    for (const { entry } of this.ports.values()) this.timers.after(this.linkDelayMs, () => { entry.handleCrash(crash) })
  }

  private queueEnd (ending: workers.TaskEnding): void {
    this.ports.get(ending.order.owner)!.ends.push(ending)
    if (this.isFlushScheduled) return
    this.isFlushScheduled = true
    setImmediate(() => { this.flushEnds() })
  }

  private flushEnds (): void {
    this.isFlushScheduled = false
    for (const [owner, link] of this.ports) {
      if (link.ends.length === 0) continue
      const ends = link.ends.splice(0).map(({ order, end, runMs, reason }) => ({ ref: order.task, attempt: order.attempt, end, runMs, reason }))
      const load = this.loadFor(owner)
      this.timers.after(this.linkDelayMs, () => {
        link.entry.handleEnds(link.port, ends)
        link.entry.handleLoad(link.port, load)
      })
    }
  }

  private scheduleLoadReports (): void {
    if (this.isLoadReportScheduled) return
    this.isLoadReportScheduled = true
    this.timers.after(LOAD_PERIOD_MS, () => {
      this.isLoadReportScheduled = false
      for (const owner of this.ports.keys()) this.sendLoad(owner)
    })
  }

  private reportCapacity (owners: readonly string[]): void {
    for (const owner of owners) setImmediate(() => { this.sendLoad(owner) })
  }

  private sendLoad (owner: string): void {
    const { port, entry } = this.ports.get(owner)!
    const load = this.loadFor(owner)
    this.timers.after(this.linkDelayMs, () => { entry.handleLoad(port, load) })
  }

  private loadFor (owner: string): scheduler.ReportedLoad {
    return { ...this.executor.loadFor(owner), received: this.ports.get(owner)!.port.received }
  }
}

/** The link from an agent to one entry, as the scheduler of that entry sees it. */
class ModelPort implements scheduler.AgentPort {
  received = 0
  readonly incarnation = 'life-1'
  readonly failureDomain = 'a'

  constructor (private readonly agent: ModelAgent, private readonly owner: string) {}

  get agentId (): string {
    return this.agent.agentId
  }

  sinceLastMessageMs (): number {
    return 0
  }

  sendTask (job: scheduler.Job, task: scheduler.Task, expiresInMs: number, suspicion: scheduler.Suspicion): void {
    const step = job.stepOf(task)
    this.agent.receiveOrder({
      owner: this.owner,
      task: task.ref,
      attempt: task.attempt,
      queue: job.terms.queue,
      spec: '',
      size: step.size,
      estimatedMs: step.estimatedMs,
      ...suspicion,
      age: new workers.Age(this.agent.timers),
      expiresAfterMs: expiresInMs
    }, this)
  }

  sendDemand (demand: workers.Demand | undefined): void {
    this.agent.receiveDemand(this.owner, demand)
  }

  stop (ref: workers.TaskRef): void {
    this.agent.receiveStop(this.owner, ref)
  }
}

/** Runs a job load on a simulated fleet and returns the answers that the callers received. */
export async function runJobLoad (load: readonly ArrivingJob[], options: ModelFleetOptions): Promise<ModelOutcome> {
  const timers = new settings.FakeTimers()
  const random = new Random(options.seed)
  const runRecorder = new standin.RunRecorder()
  const jobs = new Map(load.map(job => [job.spec.jobId, job]))
  const standins = options.workerCores.map((cores, number) => new standin.StandinWorker({
    workerId: `worker-${number}`,
    total: { cpuMilli: cores * 1_000, memoryMb: 128 * 1_024, accelerators: 0 },
    workOf: task => jobs.get(task.jobId)!.workMs[task.index]! * (options.slowness?.[number] ?? 1),
    sizeOf: task => jobs.get(task.jobId)!.spec.steps[0]!.size,
    crashesAfterMs: options.crashesAfterMs,
    timers,
    runRecorder
  }))
  const agents = standins.map((worker, number) => new ModelAgent(`agent-${number}`, worker, timers, options.linkDelayMs, options.workerOptions))
  const linksPerAgent = options.linksPerAgent ?? options.entries
  const entries = Array.from({ length: options.entries }, () => new scheduler.Scheduler({ timers, log: settings.createSilentLog(), options: options.schedulerOptions, random: () => random.unit(), failureDomain: 'a', entryCount: () => linksPerAgent }))
  const peers = entries.map((entry, number) => ({ id: `entry-${number}`, failureDomain: 'a', entry }))
  for (const agent of agents) {
    for (const { id, entry } of placement.chooseSubset(agent.agentId, peers, linksPerAgent)) agent.link(id, entry)
  }
  await advanceTime(timers, 100)
  const startMs = timers.nowMs()
  const answers: JobAnswer[] = []
  const { entryWeights = [1] } = options
  const callers = entries.flatMap((entry, number) => Array.from({ length: Math.round(entryWeights[number % entryWeights.length]! * WEIGHT_STEPS) }, () => entry))
  const chooseEntry = (): scheduler.Scheduler => callers[random.whole(0, callers.length - 1)]!
  const endMs = (load.at(-1)?.atMs ?? 0) + DRAIN_LIMIT_MS
  for (let next = 0; timers.nowMs() - startMs < endMs && (next < load.length || entries.some(entry => entry.openCount > 0));) {
    const nowMs = timers.nowMs() - startMs
    options.onStep?.(nowMs, standins)
    for (; next < load.length && load[next]!.atMs <= nowMs; next++) answers.push(submit(chooseEntry(), load[next]!, timers))
    await advanceTime(timers, STEP_MS)
  }
  for (const entry of entries) entry.stop()
  return { answers, concurrentRuns: runRecorder.concurrentRuns, crashes: runRecorder.crashes, startCount: [...runRecorder.starts.values()].reduce((sum, count) => sum + count, 0), returnCount: agents.reduce((sum, agent) => sum + agent.executor.counters.tasksReturned, 0), demandCount: agents.reduce((sum, agent) => sum + agent.demandCount, 0) }
}

function submit (entry: scheduler.Scheduler, job: ArrivingJob, timers: settings.FakeTimers): JobAnswer {
  const answer: JobAnswer = { job, succeededAfterMs: undefined }
  const startedAtMs = timers.nowMs()
  entry.submit(job.spec, job.kind.terms, job.deadlineMs).onOutcome(outcome => {
    if (outcome.kind === 'succeeded') answer.succeededAfterMs = timers.nowMs() - startedAtMs
    if (outcome.kind === 'failed') answer.failedAfterMs = timers.nowMs() - startedAtMs
    if (outcome.kind === 'refused') answer.refusedAfterMs = timers.nowMs() - startedAtMs
  })
  return answer
}

/** Advances the fake clock step by step and lets the immediates of each step run. */
async function advanceTime (timers: settings.FakeTimers, durationMs: number): Promise<void> {
  for (let passedMs = 0; passedMs < durationMs; passedMs += STEP_MS) {
    timers.advance(STEP_MS)
    await new Promise<void>(resolve => { setImmediate(resolve) })
  }
}
