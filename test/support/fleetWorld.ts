/** Plays entries, agents, workers, links and callers over drawn faults on simulated time, and checks what workers and callers see. */
import * as prand from 'pure-rand'
import * as fleet from '@egretvalve/fleet'
import * as protocol from '@egretvalve/protocol'
import type * as runtime from '@egretvalve/runtime'
import * as scheduler from '@egretvalve/scheduler'
import * as settings from '@egretvalve/settings'
import * as standin from '@egretvalve/standin'
import * as workers from '@egretvalve/workers'
import { SimulatedLink } from './simulatedLink.ts'
import { ProcessDriver, ProcessTimers, SimulatedProcess } from './simulatedProcess.ts'
import { passTime } from './simulatedTime.ts'

const ENTRIES = 2
const AGENTS = 3
const SLOTS = 8
const TASK_SIZE: workers.RunSize = { cpuMilli: 1_000, memoryMb: 1, accelerators: 0 }
const TOTAL: workers.RunSize = { cpuMilli: SLOTS * 1_000, memoryMb: 1_024, accelerators: 0 }
const TERMS: scheduler.JobTerms = { queue: 'queue', service: 'spares', priority: 0, maxAttempts: 3, targetLatencyMs: 60, slackFactor: 1.6 }
const STEP_MS = 5
/** Time in which all agents are linked to all entries before the faults begin, in milliseconds. */
const START_MS = 1_500
/** Time after the last fault in which all jobs end and all capacity becomes free, in milliseconds. */
const SETTLE_MS = 12_000
const REPORT_PERIOD_MS = 400
const ENTRY_LIST_PERIOD_MS = 500
const MAX_TASKS = 5
/** Largest limit of the tasks of a step on one worker. */
const MAX_LIMIT = 3
/** Shortest and longest work of most tasks, and of the others, which still run when a paused process resumes, in milliseconds. */
const MIN_WORK_MS = 20
const MAX_WORK_MS = 400
const LONG_WORK_MS = 1_600
const LONG_SHARE = 0.2
const DEADLINE_MS = 2_500
/** Delay before a caller resubmits a job that got no answer, in milliseconds. */
const RESUBMIT_DELAY_MS = 1_300
const MAX_SUBMISSIONS = 3
/** Share of the callers that leave before their deadline, and the bounds of the time after which they do, in milliseconds. */
const LEAVING_SHARE = 0.15
const MIN_STAY_MS = 50
const MAX_STAY_MS = 900
/** Longest delay of most messages, in milliseconds. */
const MAX_MESSAGE_MS = 3
/** Longest delay by which a late call to a worker is carried out, in milliseconds. */
const MAX_LATE_MS = 3_000
const MAX_STOP_MS = 50
/** Bounds of most faults, in milliseconds: up to twice the owner lease. */
const MIN_FAULT_MS = 50
const MAX_FAULT_MS = 2_500
const MAX_RESTART_MS = 1_500
const MAX_EXTRA_DELAY_MS = 200
const CRASH_DOWN_MS = 1_000
/** Probability of a job and of a fault in each step. */
const JOB_SHARE = 0.1
const FAULT_SHARE = 0.01
/** Deadline of the jobs that fill all workers at the end, how often they are tried, and the pause between two, in milliseconds. */
const PROBE_DEADLINE_MS = 4_000
const PROBE_ATTEMPTS = 4
const PROBE_PAUSE_MS = 10_000

/** Kinds of faults that can be drawn. */
export enum FleetFault {
  PauseEntry = 'pause-entry',
  PauseAgent = 'pause-agent',
  KillEntry = 'kill-entry',
  KillAgent = 'kill-agent',
  ResetLink = 'reset-link',
  SilenceLink = 'silence-link',
  DelayLink = 'delay-link',
  RestartWorker = 'restart-worker',
  CrashWorker = 'crash-worker',
  SilenceWorker = 'silence-worker',
  DelayWorker = 'delay-worker',
  StallWorker = 'stall-worker'
}

/** What is drawn in a play. */
export interface FleetWorldOptions {
  seed: number
  durationMs: number
  faults: readonly FleetFault[]
  /** True if callers leave before their deadlines. */
  hasLeavingCallers: boolean
  /** Longest time for which a call to a worker or its answer is under way. */
  maxPathMs: number
  /** Share of the calls to workers and of the answers that are late, so that they count as lost. */
  lateShare: number
  /** True if jobs have a second step, and steps a limit of tasks on one worker. */
  hasLimits?: boolean
}

type Link = SimulatedLink<protocol.runs.IFromAgent, protocol.runs.FromAgent, protocol.runs.IFromEntry, protocol.runs.FromEntry>

interface WorldEntry {
  readonly address: string
  process: SimulatedProcess
  scheduler: scheduler.Scheduler
  node: fleet.EntryNode
  life: string
}

interface WorldAgent {
  readonly agentId: string
  readonly worker: standin.StandinWorker
  process: SimulatedProcess
  node: fleet.AgentNode
  /** Additional time for which a call to the worker or its answer is under way, in milliseconds. */
  extraPathMs: number
}

interface WorldJob {
  readonly spec: scheduler.JobSpec
  wasRefusedOnly: boolean
}

const silentLog = settings.createSilentLog()

/** Plays one seed. Returns descriptions of violated guarantees. */
export async function playFleet (options: FleetWorldOptions): Promise<string[]> {
  const world = new FleetWorld(options)
  return await world.play()
}

class FleetWorld {
  private readonly timers = new settings.FakeTimers()
  private readonly runRecorder = new standin.RunRecorder()
  private readonly violations: string[] = []
  private readonly entries: WorldEntry[] = []
  private readonly agents: WorldAgent[] = []
  private readonly links = new Set<{ link: Link, entry: WorldEntry, agent: WorldAgent }>()
  private readonly specs = new Map<string, scheduler.JobSpec>()
  /** Ends that agents have reported, by incarnations of agent and entry, task and attempt. */
  private readonly reportedEnds = new Map<string, { kind: unknown, atMs: number }>()
  private readonly nextRandom: () => number
  /** Draws the limits, so that the other draws of a seed are the same without them. */
  private readonly nextLimitRandom: () => number
  private isFaulty = false
  private lives = 0
  private jobs = 0
  private openCallers = 0
  private activeFaults = 0

  constructor (private readonly options: FleetWorldOptions) {
    this.nextRandom = createRandom(options.seed)
    this.nextLimitRandom = createRandom(-options.seed)
  }

  async play (): Promise<string[]> {
    const { timers, options } = this
    for (let number = 0; number < ENTRIES; number++) this.entries.push(this.createEntry(`127.0.0.${number + 1}:1000`))
    for (let number = 0; number < AGENTS; number++) this.agents.push(this.createAgent(number))
    timers.every(REPORT_PERIOD_MS, () => { for (const agent of this.agents) this.reportWorker(agent) })
    timers.every(ENTRY_LIST_PERIOD_MS, () => { for (const { process, node } of this.agents) process.read(() => { node.updateEntries(this.entryList) }) })
    await passTime(timers, START_MS)
    this.isFaulty = true
    for (let passedMs = 0; passedMs < options.durationMs; passedMs += STEP_MS) {
      if (this.nextRandom() < JOB_SHARE) this.callUntilAnswered()
      if (this.nextRandom() < FAULT_SHARE) this.injectFault()
      await passTime(timers, STEP_MS)
    }
    this.isFaulty = false
    await passTime(timers, SETTLE_MS)
    this.checkAtRest()
    await this.probeCapacity()
    this.violations.push(...this.runRecorder.concurrentRuns.map(key => `${key} ran twice at the same time`))
    for (const { process } of [...this.entries, ...this.agents]) process.kill()
    return this.violations
  }

  private get entryList (): fleet.RegisteredEntry[] {
    return this.entries.map(({ address }) => ({ address, failureDomain: 'a' }))
  }

  private createEntry (address: string): WorldEntry {
    const process = new SimulatedProcess()
    const timers = new ProcessTimers(this.timers, process)
    const life = `entry-life-${++this.lives}`
    const created = new scheduler.Scheduler({ timers, log: silentLog, random: this.nextRandom, failureDomain: 'a', entryCount: () => ENTRIES })
    const node = new fleet.EntryNode({ entryId: address, life, address, failureDomain: 'a' }, { timers, log: silentLog, scheduler: created, configCache: new fleet.ConfigCache() })
    return { address, process, scheduler: created, node, life }
  }

  private createAgent (number: number): WorldAgent {
    const { options, runRecorder } = this
    const worker: standin.StandinWorker = new standin.StandinWorker({
      workerId: `w-${number}`,
      total: TOTAL,
      workOf: ({ jobId, step }) => this.specs.get(jobId)?.steps[step]?.estimatedMs ?? MIN_WORK_MS,
      onStart: task => { this.checkLimit(worker, task) },
      sizeOf: () => TASK_SIZE,
      clockRate: 0.98 + 0.02 * (number % 3),
      pathDelayMs: () => agent.extraPathMs! + (this.isFaulty && this.nextRandom() < options.lateShare ? this.nextRandom() * MAX_LATE_MS : this.nextRandom() * options.maxPathMs),
      stopDurationMs: () => this.nextRandom() * MAX_STOP_MS,
      hidesStoppingRuns: number % 2 === 1,
      timers: this.timers,
      runRecorder
    })
    const agent: Partial<WorldAgent> = { agentId: `agent-${number}`, worker, extraPathMs: 0 }
    return this.startAgent(agent as WorldAgent)
  }

  /** Starts a process of the agent. */
  private startAgent (agent: WorldAgent): WorldAgent {
    const process = new SimulatedProcess()
    const timers = new ProcessTimers(this.timers, process)
    const life = `${agent.agentId}-life-${++this.lives}`
    const log: settings.Log = { ...silentLog, event: (event, fields) => { this.checkEnd(agent, event, fields) } }
    agent.process = process
    agent.node = new fleet.AgentNode({ agentId: agent.agentId, life, failureDomain: 'a' }, { timers, log, driver: new ProcessDriver(agent.worker, process), random: this.nextRandom, dialLink: address => this.dial(agent, life, address) })
    this.reportWorker(agent)
    agent.node.updateEntries(this.entryList)
    return agent
  }

  private reportWorker ({ worker, process, node }: WorldAgent): void {
    if (worker.faults.isDown || worker.faults.isUnresponsive) return
    const report = worker.report()
    process.read(() => { node.executor.applyReport(report) })
  }

  private dial (agent: WorldAgent, agentLife: string, address: string): runtime.DialedLink<protocol.runs.FromEntry, protocol.runs.IFromAgent> {
    const entry = this.entries.find(each => each.address === address)!
    const { process, node, life } = entry
    const method = protocol.runLink.exchange
    const link: Link = new SimulatedLink(agent.process, process, { ...method, requestSerialize: message => this.recordEnds(agentLife, life, message) }, this.timers, () => this.nextRandom() * MAX_MESSAGE_MS)
    const known = { link, entry, agent }
    this.links.add(known)
    this.timers.after(this.nextRandom() * MAX_MESSAGE_MS, () => {
      if (process.isDead) link.reset()
      else process.read(() => { node.serve(link.acceptor, agent.agentId).finally(() => { link.acceptor.end() }) })
    })
    return {
      stream: link.dialer,
      close: () => {
        link.dialer.destroy()
        this.links.delete(known)
      }
    }
  }

  /** Serializes a message of an agent. Reports of one end must agree. Entries use numbers again once agents no longer repeat the ends. */
  private recordEnds (agentLife: string, entryLife: string, message: protocol.runs.IFromAgent): Buffer {
    for (const { jobId, step, index, attempt, kind } of message.report?.ends ?? []) {
      const key = `${agentLife} ${entryLife} ${jobId}/${step}/${index}#${attempt}`
      const known = this.reportedEnds.get(key)
      if (known === undefined || this.timers.nowMs() - known.atMs > fleet.END_RETENTION_MS) this.reportedEnds.set(key, { kind, atMs: this.timers.nowMs() })
      else if (known.kind !== kind) this.violations.push(`${key} ended in two ways`)
    }
    return protocol.runLink.exchange.requestSerialize(message)
  }

  /** Checks that a task that an agent counts as ended does not run on its worker. */
  private checkEnd ({ worker }: WorldAgent, event: settings.LogEvent, fields: settings.LogFields = {}): void {
    const isEnd = event.code === workers.events.TaskReturned.code || (event.code === workers.events.RunEnded.code && fields.deferredForMs === undefined)
    if (!isEnd) return
    const task = { jobId: String(fields.jobId), step: Number(fields.step), index: Number(fields.index) }
    if (worker.isRunning(task)) this.violations.push(`${workers.taskKey(task)} counts as ended while it runs: ${fields.reason}`)
  }

  /** Checks that a worker gets no more tasks of a step than its limit. */
  private checkLimit (worker: standin.StandinWorker, task: workers.TaskRef): void {
    const { count, maxPerWorker } = this.specs.get(task.jobId)!.steps[task.step]!
    if (maxPerWorker === undefined) return
    const others = Array.from({ length: count }, (_, index) => ({ ...task, index })).filter(other => other.index !== task.index && worker.isRunning(other))
    if (others.length >= maxPerWorker) this.violations.push(`${workers.taskKey(task)} started beside ${others.map(workers.taskKey).join()}, with a limit of ${maxPerWorker}`)
  }

  private createSpec (jobId: string, count: number, estimatedMs: number, maxPerWorker?: number): scheduler.JobSpec {
    const spec: scheduler.JobSpec = { jobId, spec: '', steps: [{ count, size: TASK_SIZE, estimatedMs, after: [], maxPerWorker }] }
    this.specs.set(jobId, spec)
    return spec
  }

  private drawSpec (): scheduler.JobSpec {
    const jobId = String(this.jobs++)
    const count = 1 + Math.floor(this.nextRandom() * MAX_TASKS)
    const spec = this.createSpec(jobId, count, this.nextRandom() < LONG_SHARE ? LONG_WORK_MS : MIN_WORK_MS + this.nextRandom() * (MAX_WORK_MS - MIN_WORK_MS))
    if (this.options.hasLimits !== true) return spec
    const drawLimit = (): number => 1 + Math.floor(this.nextLimitRandom() * MAX_LIMIT)
    const first = spec.steps[0]!
    const steps = [{ ...first, maxPerWorker: drawLimit() }, { ...first, after: this.nextLimitRandom() < 0.5 ? [0] : [], maxPerWorker: drawLimit() }]
    const limited = { ...spec, steps }
    this.specs.set(jobId, limited)
    return limited
  }

  /** Submits a job until it is answered, as a caller does. */
  private async callUntilAnswered (): Promise<void> {
    const job: WorldJob = { spec: this.drawSpec(), wasRefusedOnly: true }
    this.openCallers++
    for (let submission = 0; submission < MAX_SUBMISSIONS; submission++) {
      const outcome = await this.submit(this.pick(this.entries), job.spec, DEADLINE_MS)
      if (outcome?.kind === 'refused') break
      job.wasRefusedOnly = false
      if (outcome?.kind === 'succeeded') this.checkSucceeded(job)
      if (outcome !== undefined && outcome.kind !== 'expired' && outcome.kind !== 'abandoned') break
      await this.timers.sleep(RESUBMIT_DELAY_MS)
    }
    this.openCallers--
    if (job.wasRefusedOnly) for (const key of taskKeys(job)) if (this.runRecorder.starts.has(key)) this.violations.push(`${key} started, though it was refused`)
  }

  private checkSucceeded (job: WorldJob): void {
    for (const key of taskKeys(job)) if (!this.runRecorder.done.has(key)) this.violations.push(`${key} is not done, though its job succeeded`)
  }

  /** Submits a job once. Resolves with undefined if the entry has ended, or the caller has left before the answer. */
  private async submit (entry: WorldEntry, spec: scheduler.JobSpec, deadlineMs: number): Promise<scheduler.JobOutcome | undefined> {
    const { process, scheduler: target } = entry
    const stayMs = this.options.hasLeavingCallers && this.isFaulty && this.nextRandom() < LEAVING_SHARE ? MIN_STAY_MS + this.nextRandom() * (MAX_STAY_MS - MIN_STAY_MS) : deadlineMs
    let outcomes = 0
    let job: scheduler.Job | undefined
    return await new Promise(resolve => {
      let hasLeft = false
      const leave = (): void => {
        hasLeft = true
        // The entry reads the end of the connection.
        process.read(() => { if (job !== undefined) target.abandon(job) })
        resolve(undefined)
      }
      const timer = this.timers.after(stayMs, leave)
      const checkAlive = this.timers.every(STEP_MS, () => {
        if (!process.isDead) return
        checkAlive.cancel()
        timer.cancel()
        resolve(undefined)
      })
      process.read(() => {
        // An entry drops a request whose caller has left before it was read.
        if (hasLeft) return
        job = target.submit(spec, TERMS, deadlineMs)
        job.onOutcome(outcome => {
          if (++outcomes > 1) this.violations.push(`${spec.jobId} was answered twice`)
          checkAlive.cancel()
          timer.cancel()
          resolve(outcome)
        })
      })
    })
  }

  private async injectFault (): Promise<void> {
    this.activeFaults++
    await this.applyFault(this.pick(this.options.faults), MIN_FAULT_MS + this.nextRandom() * (MAX_FAULT_MS - MIN_FAULT_MS))
    this.activeFaults--
  }

  private async applyFault (fault: FleetFault, faultMs: number): Promise<void> {
    const { timers } = this
    const agent = this.pick(this.agents)
    const { worker } = agent
    switch (fault) {
      case FleetFault.PauseEntry: return await this.pause(this.pick(this.entries).process, faultMs)
      case FleetFault.PauseAgent: return await this.pause(this.pick(this.agents).process, faultMs)
      case FleetFault.KillEntry: return await this.restartEntry(this.pick(this.entries))
      case FleetFault.KillAgent: return await this.restartAgent(this.pick(this.agents))
      case FleetFault.ResetLink:
        this.pickLink()?.reset()
        return
      case FleetFault.SilenceLink: {
        const link = this.pickLink()
        const ways = Math.floor(this.nextRandom() * 3)
        link?.setSilent(ways !== 1, ways !== 2)
        await timers.sleep(faultMs)
        if (this.nextRandom() < 0.5) link?.setSilent(false, false)
        else link?.reset()
        return
      }
      case FleetFault.DelayLink: {
        const link = this.pickLink()
        link?.setExtraDelay(this.nextRandom() * MAX_EXTRA_DELAY_MS)
        await timers.sleep(faultMs)
        link?.setExtraDelay(0)
        return
      }
      case FleetFault.RestartWorker:
        worker.restart()
        // Its first report may reach the agent at once or with the next period.
        if (this.nextRandom() < 0.5) this.reportWorker(agent)
        return
      case FleetFault.CrashWorker:
        worker.crash(CRASH_DOWN_MS)
        return
      case FleetFault.SilenceWorker:
        worker.faults.isUnresponsive = true
        await timers.sleep(faultMs)
        worker.faults.isUnresponsive = false
        return
      case FleetFault.DelayWorker:
        agent.extraPathMs = this.nextRandom() * MAX_EXTRA_DELAY_MS
        await timers.sleep(faultMs)
        agent.extraPathMs = 0
        return
      case FleetFault.StallWorker:
        worker.faults.isStalled = true
        await timers.sleep(faultMs)
        worker.faults.isStalled = false
        return
      default: protocol.assertNever(fault)
    }
  }

  private async pause (process: SimulatedProcess, pauseMs: number): Promise<void> {
    process.pause()
    await this.timers.sleep(pauseMs)
    process.resume(this.nextRandom() < 0.5)
  }

  private async restartEntry (entry: WorldEntry): Promise<void> {
    if (entry.process.isDead) return
    this.kill(entry.process)
    await this.timers.sleep(this.nextRandom() * MAX_RESTART_MS)
    Object.assign(entry, this.createEntry(entry.address))
  }

  private async restartAgent (agent: WorldAgent): Promise<void> {
    if (agent.process.isDead) return
    this.kill(agent.process)
    await this.timers.sleep(this.nextRandom() * MAX_RESTART_MS)
    this.startAgent(agent)
  }

  private kill (process: SimulatedProcess): void {
    process.kill()
    for (const known of this.links) {
      const { link } = known
      if (link.dialingProcess !== process && link.acceptingProcess !== process) continue
      link.handleProcessEnd(process)
      if (link.dialingProcess === process) this.links.delete(known)
    }
  }

  /** Checks that nothing is left of the jobs. */
  private checkAtRest (): void {
    if (this.activeFaults > 0 || this.openCallers > 0) this.violations.push(`${this.activeFaults} faults and ${this.openCallers} callers have not ended`)
    for (const { address, scheduler: { openCount } } of this.entries) if (openCount > 0) this.violations.push(`${address} has ${openCount} open jobs`)
    for (const { agentId, worker, node } of this.agents) {
      if (worker.runCount > 0) this.violations.push(`the worker of ${agentId} still runs ${worker.runCount} tasks`)
      const { free } = node.executor.load
      if (free.cpuMilli !== TOTAL.cpuMilli) this.violations.push(`${agentId} has ${free.cpuMilli} of ${TOTAL.cpuMilli} free`)
    }
  }

  /** Checks that each entry can fill all workers at once, if need be after workers that failed are no longer ejected and estimates have aged. */
  private async probeCapacity (): Promise<void> {
    const shares = this.options.hasLimits === true ? [SLOTS, 1, MAX_LIMIT] : [SLOTS]
    for (const entry of this.entries) for (const share of shares) await this.probeShare(entry, share)
  }

  private async probeShare (entry: WorldEntry, share: number): Promise<void> {
    for (let attempt = 1, runs = await this.fillWorkers(entry, share); runs.some(count => count !== share); attempt++, runs = await this.fillWorkers(entry, share)) {
      if (attempt === PROBE_ATTEMPTS) {
        this.violations.push(`${entry.address} fills ${runs.join()} of ${share} slots each`)
        return
      }
      await passTime(this.timers, PROBE_PAUSE_MS)
    }
  }

  /** Submits a job that fills a share of the slots of all workers, and returns how many of its tasks run on each. */
  private async fillWorkers (entry: WorldEntry, share: number): Promise<number[]> {
    this.submit(entry, this.createSpec(`probe-${this.jobs++}`, AGENTS * share, MAX_WORK_MS, share === SLOTS ? undefined : share), PROBE_DEADLINE_MS)
    await passTime(this.timers, MAX_WORK_MS / 2)
    const runs = this.agents.map(({ worker }) => worker.runCount)
    await passTime(this.timers, PROBE_DEADLINE_MS)
    return runs
  }

  private pickLink (): Link | undefined {
    const links = [...this.links]
    return links.length === 0 ? undefined : this.pick(links).link
  }

  private pick<T> (items: readonly T[]): T {
    return items[Math.floor(this.nextRandom() * items.length)]!
  }
}

function taskKeys ({ spec: { jobId, steps } }: WorldJob): string[] {
  return steps.flatMap(({ count }, step) => Array.from({ length: count }, (_, index) => workers.taskKey({ jobId, step, index })))
}

/** Returns a generator of numbers from 0 to 1. */
function createRandom (seed: number): () => number {
  const generator = prand.xoroshiro128plus(seed)
  return () => prand.unsafeUniformIntDistribution(0, 1_000_000, generator) / 1_000_001
}
