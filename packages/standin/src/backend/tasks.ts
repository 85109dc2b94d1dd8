/** Simulated task execution of the stand-in backend server. */
import type * as settings from '@egretvalve/settings'
import * as random from 'pure-rand'
import { events } from '../events.ts'
import { NO_FAULTS, type BackendFaults } from './options.ts'
import { StartCounter, type TaskIdentity } from './startCounter.ts'

/** Task counters of a backend server since its creation. */
export interface BackendCounters {
  started: number
  finished: number
  failed: number
  /** Tasks that started while all slots were in use. */
  overSlots: number
  /** Repeated starts of a task. */
  doubleStarts: number
  /** Tasks running now. */
  running: number
}

/** HTTP response to one task. */
export interface TaskResult {
  statusCode: number
  body: Buffer
}

/** Upper limit of the requested run time, in milliseconds. */
const MAX_RUN_MS = 600_000
/** Largest body that is parsed for a run time, in bytes. */
const MAX_PARSED_BODY_BYTES = 64 * 1024
const JSON_OBJECT_FIRST_BYTE = '{'.charCodeAt(0)
const STATUS_OK = 200
const STATUS_FAILED = 500
/** Resolution of the random draw for `stragglerShare`. */
const SHARE_PRECISION = 1_000_000

/** Runs tasks, applies the faults and counts starts. */
export class TaskRunner {
  readonly startCounter = new StartCounter()
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

  /** Runs one task. Resolves to undefined if `stopping` is aborted before the task ends. */
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
    const runMs = readRunMs(body) * this.drawRunTimeFactor()
    if (runMs > 0) await this.timers.sleep(runMs, stopping)
    return stopping.aborted ? undefined : { statusCode: STATUS_OK, body }
  }

  private countStart (task: TaskIdentity): void {
    this.counters.started++
    this.counters.running++
    if (this.counters.running > this.slots) this.counters.overSlots++
    if (this.startCounter.add(task) === 1) return
    this.counters.doubleStarts++
    this.log.event(events.doubleStart, { team: task.team, submissionId: task.submissionId, index: task.index })
  }

  private drawRunTimeFactor (): number {
    if (this.faults.stragglerShare === 0) return 1
    const randomValue = random.unsafeUniformIntDistribution(0, SHARE_PRECISION - 1, this.generator)
    return randomValue < this.faults.stragglerShare * SHARE_PRECISION ? this.faults.stragglerFactor : 1
  }
}

async function waitForAbort (signal: AbortSignal): Promise<void> {
  if (signal.aborted) return
  await new Promise(resolve => { signal.addEventListener('abort', resolve, { once: true }) })
}

/** Reads the requested run time in milliseconds from the JSON body; 0 if it has none. */
function readRunMs (body: Buffer): number {
  if (body.length > MAX_PARSED_BODY_BYTES || body[0] !== JSON_OBJECT_FIRST_BYTE) return 0
  try {
    const parsed = JSON.parse(body.toString()) as { runMs?: unknown }
    return typeof parsed.runMs === 'number' ? Math.min(Math.max(parsed.runMs, 0), MAX_RUN_MS) : 0
  } catch {
    return 0
  }
}
