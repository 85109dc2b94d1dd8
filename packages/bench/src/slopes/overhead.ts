/** Compares response times through entry and agent with those of direct calls to the backend server. */
import * as protocol from '@egretvalve/protocol'
import * as undici from 'undici'
import { BackendServer } from '../backend.ts'
import { EgretvalveDispatcher } from '../egretvalve.ts'
import { LocalFleet } from '../localFleet.ts'
import { Distribution } from '../percentiles.ts'
import { TraceClass } from '../trace.ts'
import type { TraceJob } from '../trace.ts'
import type { SlopeOptions } from './entrySlopes.ts'
import type { Overhead } from './series.ts'

const LANE_COUNTS = [1, 8]
const WARM_UP_CALLS = 400
const CALLS = 1_500
const SLOTS = 64
const JOB: TraceJob = {
  atMs: 0,
  team: 'team-1',
  submissionId: '',
  class: TraceClass.Ordinary,
  repeatable: true,
  deadlineMs: 10_000,
  tasks: [{ runMs: 0, declaredMs: 0 }]
}

type Call = () => Promise<unknown>

async function measureCalls (lanes: number, call: Call, options: SlopeOptions): Promise<Distribution> {
  await runLanes(lanes, WARM_UP_CALLS, call)
  const times = new Distribution()
  await runLanes(lanes, CALLS, async () => {
    const startedAtMs = options.timers.nowMs()
    await call()
    times.record(options.timers.nowMs() - startedAtMs)
  })
  return times
}

async function runLanes (lanes: number, calls: number, call: Call): Promise<void> {
  let next = 0
  const runLane = async (): Promise<void> => {
    while (next++ < calls) await call()
  }
  await Promise.all(Array.from({ length: lanes }, runLane))
}

/** Measures tasks with zero run time on one entry, one agent and one backend server, all in this process. */
export async function measureOverheads (options: SlopeOptions): Promise<Overhead[]> {
  const backend = new BackendServer(SLOTS, options.timers)
  await backend.start()
  const pool = new undici.Pool(`http://${backend.address}`, { pipelining: 1 })
  const fleet = new LocalFleet({ entries: 1, agents: 1, timers: options.timers })
  const dispatcher = new EgretvalveDispatcher([backend], SLOTS, options.timers, fleet)
  await dispatcher.start()
  const callDirect = async (): Promise<void> => {
    const response = await pool.request({ method: 'POST', path: '/run', body: JSON.stringify({ runMs: 0 }) })
    await response.body.text()
  }
  const callThrough = async (): Promise<unknown> => await dispatcher.submit({ job: JOB, submissionId: protocol.createSubmissionId(), entry: 0 })
  const overheads: Overhead[] = []
  for (const lanes of LANE_COUNTS) {
    const direct = await measureCalls(lanes, callDirect, options)
    const through = await measureCalls(lanes, callThrough, options)
    overheads.push({ lanes, directP50Ms: direct.at(50)!, directP99Ms: direct.at(99)!, throughP50Ms: through.at(50)!, throughP99Ms: through.at(99)! })
  }
  await dispatcher.stop()
  await pool.destroy()
  await backend.stop()
  return overheads
}
