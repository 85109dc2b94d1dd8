/** Use of the fleet's processors over time, and how slow each worker was, reconstructed from the logs. */
import * as workers from '@egretvalve/workers'
import { type LogRecord, readNumber } from './logLines.ts'
import { AttemptEnd, type Submission } from './submissions.ts'

/** Resolution of the use, in milliseconds. */
const BIN_MS = 50
/** Period over which the slowness of a worker is measured, in milliseconds. */
const SLOWNESS_WINDOW_MS = 1_000
/** Smallest number of runs from which a worker's slowness is computed. */
const MIN_RUNS = 4

/** Use and slowness at any time. */
export class FleetUse {
  private readonly usedCpuMilli = new Map<number, number>()
  private readonly totalCpuMilli = new Map<string, number>()
  private readonly ratios = new Map<string, number[]>()
  private readonly medianRatios = new Map<number, number>()

  constructor (records: readonly LogRecord[], submissions: readonly Submission[]) {
    for (const record of records) {
      if (record.event === workers.events.WorkerJoined.code) this.totalCpuMilli.set(record.nodeId, readNumber(record, 'cpuMilli'))
    }
    for (const submission of submissions) this.addRuns(submission)
    this.computeMedians()
  }

  /** Mean share of all processors in use in a period, from 0 to 1. */
  usedShare (fromMs: number, toMs: number): number {
    const total = [...this.totalCpuMilli.values()].reduce((sum, cpuMilli) => sum + cpuMilli, 0)
    if (total === 0) return 0
    let used = 0
    let bins = 0
    for (let bin = binOf(fromMs); bin <= binOf(Math.max(fromMs, toMs)); bin++, bins++) used += this.usedCpuMilli.get(bin) ?? 0
    return used / bins / total
  }

  /** Run time of tasks over their estimates on a worker, relative to the median of the fleet at that time; 1 when too little is known. */
  slownessOf (agentId: string, atMs: number): number {
    const window = windowOf(atMs)
    const ratios = this.ratios.get(`${agentId} ${window}`) ?? []
    const fleetRatio = this.medianRatios.get(window)
    return ratios.length < MIN_RUNS || fleetRatio === undefined ? 1 : median(ratios) / fleetRatio
  }

  private addRuns (submission: Submission): void {
    for (const attempts of submission.tasks.values()) {
      for (const { agentId, end, endedAtMs, runMs } of attempts) {
        if (runMs <= 0) continue
        for (let bin = binOf(endedAtMs - runMs); bin <= binOf(endedAtMs); bin++) this.usedCpuMilli.set(bin, (this.usedCpuMilli.get(bin) ?? 0) + submission.taskCpuMilli)
        if (end !== AttemptEnd.Done || submission.estimatedMs <= 0) continue
        const key = `${agentId} ${windowOf(endedAtMs - runMs / 2)}`
        const ratios = this.ratios.get(key)
        if (ratios === undefined) this.ratios.set(key, [runMs / submission.estimatedMs])
        else ratios.push(runMs / submission.estimatedMs)
      }
    }
  }

  private computeMedians (): void {
    const byWindow = new Map<number, number[]>()
    for (const [key, ratios] of this.ratios) {
      const window = Number(key.split(' ').at(-1))
      byWindow.set(window, [...byWindow.get(window) ?? [], median(ratios)])
    }
    for (const [window, ratios] of byWindow) this.medianRatios.set(window, median(ratios))
  }
}

function binOf (atMs: number): number {
  return Math.floor(atMs / BIN_MS)
}

function windowOf (atMs: number): number {
  return Math.floor(atMs / SLOWNESS_WINDOW_MS)
}

function median (values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right)
  return sorted[Math.floor(sorted.length / 2)]!
}
