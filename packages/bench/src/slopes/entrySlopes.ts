/** Measures costs of one entry process against the number of agents, task rate, job size, teams and retained answers. */
import type * as settings from '@egretvalve/settings'
import { CallerClient } from '../callerClient.ts'
import { waitUntilReady } from '../localFleet.ts'
import { type MeasuredProcess, startMeasuredProcess } from '../measuredProcess.ts'
import type { MeasuredPoint } from './fit.ts'
import { runClosedLoad, runOpenLoad } from './jobLoad.ts'
import type { JobLoad } from './jobLoad.ts'
import { LightAgent } from './lightAgent.ts'
import { SeriesName, createSeries } from './series.ts'
import type { Series, StartRate } from './series.ts'
import { SocketByteCounter, SocketSide } from './socketBytes.ts'
import { measureWindow } from './window.ts'
import type { WindowCosts, WindowTarget } from './window.ts'

/** Clock and window lengths of the experiments. */
export interface SlopeOptions {
  timers: settings.Timers
  /** Length of each measurement window under load, in milliseconds. */
  windowMs: number
  /** Length of each idle measurement window, in milliseconds. Should be a multiple of the heartbeat and keepalive periods, so that each window covers the same number of them. */
  restWindowMs: number
}

const SERVICE = 'slopes'
const SETTLE_MS = 2_000
const AGENT_COUNTS = [10, 50, 100, 200, 300]
const TASK_RATES = [200, 500, 1_000, 2_000]
const RATE_TASKS_PER_JOB = 10
const JOB_SIZES = [1, 10, 100, 680]
const TASKS_PER_SIZE = 12_000
const LANES = 32
const WARM_UP_TASKS = 2_000
const TEAM_COUNTS = [2, 10, 50, 130]
const TEAM_TASKS_PER_JOB = 10
const RECORD_STEPS = 5
const RECORD_STEP_TASKS = 20_000
const WORK_AGENTS = 20
const WORK_SLOTS = 100
const WORK_RUN_MS = 20

/** An entry process under measurement, with light agents in this process. */
class EntryRig {
  private constructor (
    readonly entry: MeasuredProcess,
    readonly agents: LightAgent[],
    readonly counter: SocketByteCounter,
    readonly caller: CallerClient
  ) {}

  static async start (agentCount: number, slots: number, runMs: number, timers: settings.Timers): Promise<EntryRig> {
    const counter = new SocketByteCounter(SocketSide.Client)
    counter.start()
    const entry = await startMeasuredProcess('entry', ['--http-listen', '127.0.0.1:0', '--link-listen', '127.0.0.1:0', '--plain-text', '--log-level', 'error'])
    await waitUntilReady(entry.addressAfter('http'), timers)
    const agents = Array.from({ length: agentCount }, (_, index) => new LightAgent({
      agentId: `agent-${index + 1}`,
      service: SERVICE,
      slots,
      entryAddresses: [entry.addressAfter('link')],
      timers,
      runMs
    }))
    await Promise.all(agents.map(agent => agent.start()))
    return new EntryRig(entry, agents, counter, new CallerClient([entry.addressAfter('http')], SERVICE))
  }

  get target (): WindowTarget {
    return { processId: this.entry.processId, counter: this.counter, addresses: [this.entry.addressAfter('link')] }
  }

  async stop (): Promise<void> {
    await this.caller.close()
    for (const agent of this.agents) agent.stop()
    await this.entry.stop()
    this.counter.stop()
  }
}

/** Measures idle entries against the number of agents. Uses one entry process per agent count, all running concurrently. */
export async function measureAgentSlopes (options: SlopeOptions): Promise<Series[]> {
  const costs = await Promise.all(AGENT_COUNTS.map(async x => ({ x, window: await measureEntryAtRest(x, options) })))
  const pick = (read: (window: WindowCosts) => number): MeasuredPoint[] => costs.map(cost => ({ x: cost.x, y: read(cost.window) }))
  return [
    createSeries(SeriesName.EntryControlCpu, 'Entry at rest: processor time against agents', 'agents', 'ms/s', pick(window => window.cpuMsPerSecond)),
    createSeries(SeriesName.EntryControlBytes, 'Entry at rest: bytes on agent links against agents', 'agents', 'B/s', pick(window => window.bytesPerSecond)),
    createSeries(SeriesName.EntryMemory, 'Entry at rest: memory against agents', 'agents', 'MB', pick(window => window.memoryMb))
  ]
}

async function measureEntryAtRest (agentCount: number, options: SlopeOptions): Promise<WindowCosts> {
  const rig = await EntryRig.start(agentCount, WORK_SLOTS, WORK_RUN_MS, options.timers)
  await options.timers.sleep(SETTLE_MS)
  const window = await measureWindow(rig.target, options.timers, async () => { await options.timers.sleep(options.restWindowMs) })
  await rig.stop()
  return window
}

/** Measures processor time and link bytes of an entry against the task rate. */
export async function measureRateSlopes (options: SlopeOptions): Promise<Series[]> {
  const load: JobLoad = { tasksPerJob: RATE_TASKS_PER_JOB, teams: 1, runMs: WORK_RUN_MS }
  const rig = await EntryRig.start(WORK_AGENTS, WORK_SLOTS, WORK_RUN_MS, options.timers)
  await runClosedLoad(rig.caller, load, WARM_UP_TASKS / RATE_TASKS_PER_JOB, LANES)
  const cpu: MeasuredPoint[] = []
  const bytes: MeasuredPoint[] = []
  for (const rate of TASK_RATES) {
    let completed = 0
    const window = await measureWindow(rig.target, options.timers, async () => {
      completed = await runOpenLoad(rig.caller, load, rate / RATE_TASKS_PER_JOB, options.windowMs, options.timers)
    })
    const reached = completed * RATE_TASKS_PER_JOB / window.durationMs * 1_000
    cpu.push({ x: reached, y: window.cpuMsPerSecond })
    bytes.push({ x: reached, y: window.bytesPerSecond })
  }
  await rig.stop()
  return [
    createSeries(SeriesName.EntryWorkCpu, `Entry at work: processor time against task rate, jobs of ${RATE_TASKS_PER_JOB}`, 'tasks/s', 'ms/s', cpu),
    createSeries(SeriesName.EntryLinkBytes, `Entry at work: bytes on agent links against task rate, jobs of ${RATE_TASKS_PER_JOB}`, 'tasks/s', 'B/s', bytes)
  ]
}

/** Result of the experiment with job sizes. */
export interface JobSizeResult {
  series: Series[]
  startRates: StartRate[]
}

/** Measures the processor time of a job and the start rate of a saturated entry against the job size. */
export async function measureJobSizes (options: SlopeOptions): Promise<JobSizeResult> {
  const cpu: MeasuredPoint[] = []
  const startRates: StartRate[] = []
  for (const tasksPerJob of JOB_SIZES) {
    const { window, tasks, jobs } = await measureClosedLoad({ tasksPerJob, teams: 1, runMs: 0 }, options)
    cpu.push({ x: tasksPerJob, y: window.cpuMs / jobs })
    startRates.push({ tasksPerJob, startsPerSecond: tasks / window.durationMs * 1_000, startsPerCoreSecond: tasks / window.cpuMs * 1_000 })
  }
  const title = 'Entry as fast as it goes: processor time of a job against its tasks'
  return { series: [createSeries(SeriesName.EntryJobCpu, title, 'tasks/job', 'ms/job', cpu)], startRates }
}

/** Measures the processor time of a task on a saturated entry against the number of teams. */
export async function measureTeamSlopes (options: SlopeOptions): Promise<Series[]> {
  const cpu: MeasuredPoint[] = []
  for (const teams of TEAM_COUNTS) {
    const { window, tasks } = await measureClosedLoad({ tasksPerJob: TEAM_TASKS_PER_JOB, teams, runMs: 0 }, options)
    cpu.push({ x: teams, y: window.cpuMs / tasks * 1_000 })
  }
  return [createSeries(SeriesName.EntryTeamCpu, `Entry: processor time of a task against teams, jobs of ${TEAM_TASKS_PER_JOB}`, 'teams', 'us/task', cpu)]
}

/** Measures the memory of an entry against the number of tasks whose answers it retains. */
export async function measureEntryRecords (options: SlopeOptions): Promise<Series[]> {
  const load: JobLoad = { tasksPerJob: RATE_TASKS_PER_JOB, teams: 1, runMs: 0 }
  const rig = await EntryRig.start(WORK_AGENTS, WORK_SLOTS, 0, options.timers)
  const memory: MeasuredPoint[] = []
  for (let step = 1; step <= RECORD_STEPS; step++) {
    const window = await measureWindow(rig.target, options.timers, async () => {
      await runClosedLoad(rig.caller, load, RECORD_STEP_TASKS / RATE_TASKS_PER_JOB, LANES)
    })
    memory.push({ x: step * RECORD_STEP_TASKS, y: window.memoryMb })
  }
  await rig.stop()
  return [createSeries(SeriesName.EntryRecordMemory, `Entry: memory against answered tasks, jobs of ${RATE_TASKS_PER_JOB}`, 'tasks', 'MB', memory)]
}

interface ClosedLoadResult {
  window: WindowCosts
  tasks: number
  jobs: number
}

async function measureClosedLoad (load: JobLoad, options: SlopeOptions): Promise<ClosedLoadResult> {
  const rig = await EntryRig.start(WORK_AGENTS, WORK_SLOTS, 0, options.timers)
  await runClosedLoad(rig.caller, load, Math.ceil(WARM_UP_TASKS / load.tasksPerJob), LANES)
  let jobs = 0
  const window = await measureWindow(rig.target, options.timers, async () => {
    jobs = await runClosedLoad(rig.caller, load, Math.ceil(TASKS_PER_SIZE / load.tasksPerJob), LANES)
  })
  await rig.stop()
  return { window, jobs, tasks: jobs * load.tasksPerJob }
}
