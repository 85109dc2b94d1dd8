/** Runs the tasks of the stand-in backend server. */
import type * as settings from '@egretvalve/settings'
import * as random from 'pure-rand'
import { events } from '../events.ts'
import { NO_FAULTS, type BackendFaults } from './options.ts'
import { StartLedger, type TaskIdentity } from './starts.ts'

/** What the backend server has counted. */
export interface BackendCounters {
  started: number
  finished: number
  failed: number
  /** Tasks that started while all slots were taken. */
  overSlots: number
  /** Starts of a task that had started before. */
  doubleStarts: number
  running: number
}

/** The result of one task. */
export interface TaskResult {
  statusCode: number
  body: Buffer
}

/** Longest run time that a body may ask for, in milliseconds. */
const MAX_RUN_MS = 600_000
/** Longest body that is searched for a run time, in bytes. */
const MAX_PLAN_BYTES = 64 * 1024
const PLAN_FIRST_BYTE = '{'.charCodeAt(0)
const STATUS_OK = 200
const STATUS_FAILED = 500
const SHARE_PRECISION = 1_000_000

/** Runs tasks and counts their starts. */
export class TaskRunner {
  readonly ledger = new StartLedger()
  readonly counters: BackendCounters = { started: 0, finished: 0, failed: 0, overSlots: 0, doubleStarts: 0, running: 0 }
  faults: BackendFaults
  private readonly generator: random.RandomGenerator

  constructor (
    private readonly slots: number,
    private readonly timers: settings.Timers,
    private readonly log: settings.Log,
    seed: number,
    faults: Partial<BackendFaults>
  ) {
    this.generator = random.xoroshiro128plus(seed)
    this.faults = { ...NO_FAULTS, ...faults }
  }

  /** Runs one task; undefined when it was stopped or hangs until the server stops. */
  async run (task: TaskIdentity, body: Buffer, stopping: AbortSignal): Promise<TaskResult | undefined> {
    this.countStart(task)
    const result = await this.execute(body, stopping)
    this.counters.running--
    if (result === undefined) return undefined
    if (result.statusCode === STATUS_OK) this.counters.finished++
    else this.counters.failed++
    return result
  }

  private async execute (body: Buffer, stopping: AbortSignal): Promise<TaskResult | undefined> {
    if (this.faults.failAll) return { statusCode: STATUS_FAILED, body: Buffer.from('the stand-in backend server fails all tasks') }
    if (this.faults.hang) {
      await waitForAbort(stopping)
      return undefined
    }
    const runMs = readRunMs(body) * this.drawStretch()
    if (runMs > 0) await this.timers.sleep(runMs, stopping)
    return stopping.aborted ? undefined : { statusCode: STATUS_OK, body }
  }

  private countStart (task: TaskIdentity): void {
    this.counters.started++
    this.counters.running++
    if (this.counters.running > this.slots) this.counters.overSlots++
    if (this.ledger.add(task) === 1) return
    this.counters.doubleStarts++
    this.log.event(events.doubleStart, { team: task.team, submissionId: task.submissionId, index: task.index })
  }

  private drawStretch (): number {
    if (this.faults.stragglerShare === 0) return 1
    const draw = random.unsafeUniformIntDistribution(0, SHARE_PRECISION - 1, this.generator)
    return draw < this.faults.stragglerShare * SHARE_PRECISION ? this.faults.stragglerFactor : 1
  }
}

async function waitForAbort (signal: AbortSignal): Promise<void> {
  if (signal.aborted) return
  await new Promise(resolve => { signal.addEventListener('abort', resolve, { once: true }) })
}

/** Reads the run time in milliseconds that a body asks for; 0 when it asks for none. */
function readRunMs (body: Buffer): number {
  if (body.length > MAX_PLAN_BYTES || body[0] !== PLAN_FIRST_BYTE) return 0
  try {
    const plan = JSON.parse(body.toString()) as { runMs?: unknown }
    return typeof plan.runMs === 'number' ? Math.min(Math.max(plan.runMs, 0), MAX_RUN_MS) : 0
  } catch {
    return 0
  }
}
