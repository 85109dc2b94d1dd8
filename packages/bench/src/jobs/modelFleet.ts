/** A fleet in one process on simulated time: real schedulers and agents' executors, stand-in workers, and links with a delay. */
import * as placement from '@egretvalve/placement'
import * as scheduler from '@egretvalve/scheduler'
import * as settings from '@egretvalve/settings'
import * as standin from '@egretvalve/standin'
import * as workers from '@egretvalve/workers'
import { Random } from '../random.ts'
import type { JobAnswer } from './credit.ts'
import type { ArrivingJob } from './workload.ts'

/** Size and faults of the fleet. */
export interface ModelFleetOptions {
  entries: number
  /** Cores of each worker. */
  workerCores: readonly number[]
  /** How many times longer tasks take on each worker than on an average one; 1 where nothing is given. */
  slowness?: readonly number[]
  /** Entries to which an agent keeps links; all of them where nothing is given. Needs `protocol.loadHash`. */
  linksPerAgent?: number
  /** One way between entries and agents, in milliseconds. */
  linkDelayMs: number
  seed: number
  schedulerOptions?: scheduler.SchedulerOptions
  workerOptions?: workers.WorkerOptions
  /** Called at each step, to switch faults of the workers on and off. */
  onStep?: (nowMs: number, workers: readonly standin.StandinWorker[]) => void
}

/** Outcome of a load on the fleet. */
export interface ModelOutcome {
  answers: JobAnswer[]
  /** Tasks that ran twice at the same time. */
  doubled: string[]
  startCount: number
  /** Tasks that agents returned without a start. */
  returnCount: number
  /** Messages by which entries told agents what waits. */
  demandCount: number
}

const STEP_MS = 1
/** Longest time after the last arrival in which jobs may end. */
const TAIL_MS = 20_000
/** Period in which a worker reports itself to its agent, in milliseconds. */
const REPORT_PERIOD_MS = 1_500
/** Period of load reports to entries whose tasks did not change, in milliseconds. */
const LOAD_PERIOD_MS = 40

/** One agent with its worker, and its links to all entries. */
class ModelAgent {
  readonly executor: workers.RunExecutor
  private readonly ports = new Map<string, { port: ModelPort, entry: scheduler.Scheduler, ends: workers.TaskEnding[] }>()
  demandCount = 0
  private isFlushScheduled = false
  private isLoadPlanned = false

  constructor (readonly agentId: string, readonly worker: standin.StandinWorker, readonly timers: settings.FakeTimers, private readonly linkDelayMs: number, options: workers.WorkerOptions | undefined) {
    this.executor = new workers.RunExecutor({ timers, log: settings.createSilentLog(), driver: worker, options }, { onEnd: ending => { this.report(ending) }, onLoad: () => { this.planLoad() }, onRoom: owners => { this.tellRoom(owners) } })
    this.executor.takeReport(worker.report())
    timers.every(REPORT_PERIOD_MS, () => { this.executor.takeReport(worker.report()) })
  }

  link (owner: string, entry: scheduler.Scheduler): void {
    const port = new ModelPort(this, owner)
    this.ports.set(owner, { port, entry, ends: [] })
    entry.connect(port, { ...this.executor.load, received: 0 })
  }

  takeOrder (order: workers.TaskOrder, port: ModelPort): void {
    this.timers.after(this.linkDelayMs, () => {
      port.received++
      this.executor.submit(order)
    })
  }

  takeDemand (owner: string, demand: workers.Demand | undefined): void {
    this.demandCount++
    this.timers.after(this.linkDelayMs, () => { this.executor.takeDemand(owner, demand) })
  }

  takeStop (owner: string, ref: workers.TaskRef): void {
    this.timers.after(this.linkDelayMs, () => { this.executor.stop(owner, order => workers.taskKey(order.task) === workers.taskKey(ref), 'stopped by the entry') })
  }

  private report (ending: workers.TaskEnding): void {
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
        link.entry.takeEnds(link.port, ends)
        link.entry.takeLoad(link.port, load)
      })
    }
  }

  private planLoad (): void {
    if (this.isLoadPlanned) return
    this.isLoadPlanned = true
    this.timers.after(LOAD_PERIOD_MS, () => {
      this.isLoadPlanned = false
      for (const owner of this.ports.keys()) this.tellLoad(owner)
    })
  }

  private tellRoom (owners: readonly string[]): void {
    for (const owner of owners) setImmediate(() => { this.tellLoad(owner) })
  }

  private tellLoad (owner: string): void {
    const { port, entry } = this.ports.get(owner)!
    const load = this.loadFor(owner)
    this.timers.after(this.linkDelayMs, () => { entry.takeLoad(port, load) })
  }

  private loadFor (owner: string): scheduler.ReportedLoad {
    return { ...this.executor.loadFor(owner), received: this.ports.get(owner)!.port.received }
  }
}

/** The link of an agent to one entry. */
class ModelPort implements scheduler.AgentPort {
  received = 0
  readonly life = 'life-1'
  readonly failureDomain = 'a'

  constructor (private readonly agent: ModelAgent, private readonly owner: string) {}

  get agentId (): string {
    return this.agent.agentId
  }

  silentMs (): number {
    return 0
  }

  order (job: scheduler.Job, task: scheduler.Task, expiresInMs: number): void {
    const step = job.stepOf(task)
    this.agent.takeOrder({
      owner: this.owner,
      task: task.ref,
      attempt: task.attempt,
      spec: '',
      size: step.size,
      estimatedMs: step.estimatedMs,
      age: new workers.Age(this.agent.timers),
      expiresAfterMs: expiresInMs
    }, this)
  }

  tellDemand (demand: workers.Demand | undefined): void {
    this.agent.takeDemand(this.owner, demand)
  }

  stop (ref: workers.TaskRef): void {
    this.agent.takeStop(this.owner, ref)
  }
}

/** Plays a load on a fleet and returns what the callers got. */
export async function playJobLoad (load: readonly ArrivingJob[], options: ModelFleetOptions): Promise<ModelOutcome> {
  const timers = new settings.FakeTimers()
  const random = new Random(options.seed)
  const witness = new standin.RunWitness()
  const jobs = new Map(load.map(job => [job.spec.jobId, job]))
  const standins = options.workerCores.map((cores, number) => new standin.StandinWorker({
    workerId: `worker-${number}`,
    total: { cpuMilli: cores * 1_000, memoryMb: 128 * 1_024, accelerators: 0 },
    workOf: task => jobs.get(task.jobId)!.workMs[task.index]! * (options.slowness?.[number] ?? 1),
    sizeOf: task => jobs.get(task.jobId)!.spec.steps[0]!.size,
    timers,
    witness
  }))
  const agents = standins.map((worker, number) => new ModelAgent(`agent-${number}`, worker, timers, options.linkDelayMs, options.workerOptions))
  const linksPerAgent = options.linksPerAgent ?? options.entries
  const entries = Array.from({ length: options.entries }, () => new scheduler.Scheduler({ timers, log: settings.createSilentLog(), options: options.schedulerOptions, random: () => random.unit(), failureDomain: 'a', entryCount: () => linksPerAgent }))
  const peers = entries.map((entry, number) => ({ id: `entry-${number}`, failureDomain: 'a', entry }))
  for (const agent of agents) {
    for (const { id, entry } of placement.chooseSubset(agent.agentId, peers, linksPerAgent)) agent.link(id, entry)
  }
  await passSteps(timers, 100)
  const startMs = timers.nowMs()
  const answers: JobAnswer[] = []
  const endMs = (load.at(-1)?.atMs ?? 0) + TAIL_MS
  for (let next = 0; timers.nowMs() - startMs < endMs && (next < load.length || entries.some(entry => entry.openCount > 0));) {
    const nowMs = timers.nowMs() - startMs
    options.onStep?.(nowMs, standins)
    for (; next < load.length && load[next]!.atMs <= nowMs; next++) answers.push(submit(entries[random.whole(0, entries.length - 1)]!, load[next]!, timers))
    await passSteps(timers, STEP_MS)
  }
  for (const entry of entries) entry.stop()
  return { answers, doubled: witness.doubled, startCount: [...witness.starts.values()].reduce((sum, count) => sum + count, 0), returnCount: agents.reduce((sum, agent) => sum + agent.executor.counters.tasksReturned, 0), demandCount: agents.reduce((sum, agent) => sum + agent.demandCount, 0) }
}

function submit (entry: scheduler.Scheduler, job: ArrivingJob, timers: settings.FakeTimers): JobAnswer {
  const answer: JobAnswer = { job, succeededAfterMs: undefined }
  const startedAtMs = timers.nowMs()
  entry.submit(job.spec, job.kind.terms, job.deadlineMs).onOutcome(outcome => {
    if (outcome.kind === 'succeeded') answer.succeededAfterMs = timers.nowMs() - startedAtMs
    if (outcome.kind === 'refused') answer.refusedAfterMs = timers.nowMs() - startedAtMs
  })
  return answer
}

/** Moves time forward, with all that follows from each step. */
async function passSteps (timers: settings.FakeTimers, durationMs: number): Promise<void> {
  for (let passedMs = 0; passedMs < durationMs; passedMs += STEP_MS) {
    timers.advance(STEP_MS)
    await new Promise<void>(resolve => { setImmediate(resolve) })
  }
}
