/** Measures costs of one agent process against the number of entries, its task rate and its recorded starts. */
import type * as settings from '@egretvalve/settings'
import { ServerAnnouncer } from '../announcer.ts'
import { BackendServer } from '../backend.ts'
import { CallerClient } from '../callerClient.ts'
import { LocalFleet } from '../localFleet.ts'
import { type MeasuredProcess, startMeasuredProcess } from '../measuredProcess.ts'
import type { SlopeOptions } from './entrySlopes.ts'
import type { MeasuredPoint } from './fit.ts'
import { runClosedLoad, runOpenLoad } from './jobLoad.ts'
import { SeriesName, createSeries } from './series.ts'
import type { Series } from './series.ts'
import { SocketByteCounter, SocketSide } from './socketBytes.ts'
import { measureWindow } from './window.ts'
import type { WindowCosts } from './window.ts'

const ENTRY_COUNTS = [1, 3, 6, 12]
const TASK_RATES = [10, 40, 80, 160]
const RUN_MS = 20
const RECORD_STEPS = 4
const RECORD_STEP_TASKS = 15_000
const RECORD_TASKS_PER_JOB = 10
const RECORD_LANES = 8
const SLOTS = 64
const SETTLE_MS = 2_000
const WARM_UP_MS = 1_500
const SERVICE = 'slopes'

/** An agent process under measurement, with its backend server and entries in this process. */
class AgentRig {
  private constructor (
    readonly agent: MeasuredProcess,
    private readonly fleet: LocalFleet,
    private readonly backend: BackendServer,
    private readonly announcer: ServerAnnouncer,
    private readonly counter: SocketByteCounter,
    readonly caller: CallerClient
  ) {}

  static async start (entries: number, timers: settings.Timers): Promise<AgentRig> {
    const counter = new SocketByteCounter(SocketSide.Server)
    counter.start()
    const fleet = new LocalFleet({ entries, agents: 0, timers })
    await fleet.start()
    const backend = new BackendServer(SLOTS, timers)
    await backend.start()
    const links = fleet.entries.map(entry => entry.linkAddress).join(',')
    const agent = await startMeasuredProcess('agent', ['--announce-listen', '127.0.0.1:0', '--entries', links, '--plain-text', '--log-level', 'error'])
    const announcer = new ServerAnnouncer(agent.addressAfter('on'), { service: SERVICE, address: backend.address, slots: SLOTS, rack: 'rack-1' }, timers)
    await announcer.announce()
    await timers.sleep(SETTLE_MS)
    return new AgentRig(agent, fleet, backend, announcer, counter, new CallerClient(fleet.entries.map(entry => entry.httpAddress), SERVICE))
  }

  async measure (timers: settings.Timers, work: () => Promise<void>): Promise<WindowCosts> {
    const addresses = this.fleet.entries.map(entry => entry.linkAddress)
    return await measureWindow({ processId: this.agent.processId, counter: this.counter, addresses }, timers, work)
  }

  async stop (): Promise<void> {
    await this.caller.close()
    this.announcer.stop()
    await this.agent.stop()
    await this.fleet.stop()
    await this.backend.stop()
    this.counter.stop()
  }
}

/** Measures idle agents against the number of entries. Uses one agent process per entry count, all running concurrently. */
export async function measureAgentRestSlopes (options: SlopeOptions): Promise<Series[]> {
  const costs = await Promise.all(ENTRY_COUNTS.map(async x => ({ x, window: await measureAgentAtRest(x, options) })))
  const pick = (read: (window: WindowCosts) => number): MeasuredPoint[] => costs.map(cost => ({ x: cost.x, y: read(cost.window) }))
  return [
    createSeries(SeriesName.AgentControlCpu, 'Agent at rest: processor time against entries', 'entries', 'ms/s', pick(window => window.cpuMsPerSecond)),
    createSeries(SeriesName.AgentControlBytes, 'Agent at rest: bytes on links against entries', 'entries', 'B/s', pick(window => window.bytesPerSecond)),
    createSeries(SeriesName.AgentMemory, 'Agent at rest: memory against entries', 'entries', 'MB', pick(window => window.memoryMb))
  ]
}

async function measureAgentAtRest (entries: number, options: SlopeOptions): Promise<WindowCosts> {
  const rig = await AgentRig.start(entries, options.timers)
  const window = await rig.measure(options.timers, async () => { await options.timers.sleep(options.restWindowMs) })
  await rig.stop()
  return window
}

/** Measures the processor time of an agent against its task rate. */
export async function measureAgentWorkSlopes (options: SlopeOptions): Promise<Series[]> {
  const rig = await AgentRig.start(1, options.timers)
  const load = { tasksPerJob: 1, teams: 1, runMs: RUN_MS }
  await runOpenLoad(rig.caller, load, TASK_RATES[0]!, WARM_UP_MS, options.timers)
  const cpu: MeasuredPoint[] = []
  for (const rate of TASK_RATES) {
    let completed = 0
    const window = await rig.measure(options.timers, async () => {
      completed = await runOpenLoad(rig.caller, load, rate, options.windowMs, options.timers)
    })
    cpu.push({ x: completed / window.durationMs * 1_000, y: window.cpuMsPerSecond })
  }
  await rig.stop()
  return [createSeries(SeriesName.AgentWorkCpu, 'Agent at work: processor time against its task rate, jobs of 1', 'tasks/s', 'ms/s', cpu)]
}

/** Measures the memory of an agent against the number of starts in its record. */
export async function measureRecordSlopes (options: SlopeOptions): Promise<Series[]> {
  const rig = await AgentRig.start(1, options.timers)
  const load = { tasksPerJob: RECORD_TASKS_PER_JOB, teams: 1, runMs: 0 }
  const memory: MeasuredPoint[] = []
  for (let step = 1; step <= RECORD_STEPS; step++) {
    const window = await rig.measure(options.timers, async () => {
      await runClosedLoad(rig.caller, load, RECORD_STEP_TASKS / RECORD_TASKS_PER_JOB, RECORD_LANES)
    })
    memory.push({ x: step * RECORD_STEP_TASKS, y: window.memoryMb })
  }
  await rig.stop()
  return [createSeries(SeriesName.AgentRecordMemory, 'Agent: memory against recorded starts', 'starts', 'MB', memory)]
}
