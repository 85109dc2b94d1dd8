/** Use of the fleet's processors over time, and how slow each worker was, reconstructed from the logs. */
import * as workers from '@egretvalve/workers'
import { type LogRecord, readNumber, readText } from './logLines.ts'

/** Resolution of the use, in milliseconds. */
const BIN_MS = 50
/** Period over which the slowness of a worker is measured, in milliseconds. */
const SLOWNESS_WINDOW_MS = 1_000
/** Smallest number of runs from which a worker's slowness is computed. */
const MIN_RUNS = 4

/** Use and slowness at any time. */
export class FleetUse {
  private readonly usedCpuMilli = new Map<number, number>()
  /** Changes of the total capacity, in order of time. */
  private readonly capacityChanges: Array<{ atMs: number, cpuMilli: number }> = []
  private readonly ratios = new Map<string, number[]>()
  private readonly medianRatios = new Map<number, number>()

  /** `records` are in order of time. */
  constructor (records: readonly LogRecord[]) {
    this.addCapacity(records)
    for (const record of records) {
      if (record.event === workers.events.RunEnded.code) this.addRun(record)
    }
    this.computeMedians()
  }

  /** Mean share of all processors in use in a period, from 0 to 1. */
  usedShare (fromMs: number, toMs: number): number {
    const totalCpuMilli = this.capacityChanges.filter(({ atMs }) => atMs <= fromMs).at(-1)?.cpuMilli ?? 0
    if (totalCpuMilli === 0) return 0
    let used = 0
    let bins = 0
    for (let bin = binOf(fromMs); bin <= binOf(Math.max(fromMs, toMs)); bin++, bins++) used += this.usedCpuMilli.get(bin) ?? 0
    return used / bins / totalCpuMilli
  }

  /** Run time of tasks over their estimates on a worker, relative to the median of the fleet at that time; 1 when too little is known. */
  slownessOf (agentId: string, atMs: number): number {
    const window = windowOf(atMs)
    const ratios = this.ratios.get(`${agentId} ${window}`) ?? []
    const fleetRatio = this.medianRatios.get(window)
    return ratios.length < MIN_RUNS || fleetRatio === undefined ? 1 : median(ratios) / fleetRatio
  }

  /** Adds the workers that join, and removes those that drain, leave, restart or stop reporting. */
  private addCapacity (records: readonly LogRecord[]): void {
    const { WorkerJoined, WorkerDraining, WorkerLeft, WorkerDown, WorkerReplaced, ReportTimeout } = workers.events
    const departures = [WorkerDraining, WorkerLeft, WorkerDown, WorkerReplaced, ReportTimeout].map(event => event.code)
    const capacities = new Map<string, number>()
    for (const record of records) {
      if (record.event === WorkerJoined.code) capacities.set(record.nodeId, readNumber(record, 'cpuMilli'))
      else if (!departures.includes(record.event) || !capacities.delete(record.nodeId)) continue
      this.capacityChanges.push({ atMs: record.atMs, cpuMilli: [...capacities.values()].reduce((sum, cpuMilli) => sum + cpuMilli, 0) })
    }
  }

  private addRun (record: LogRecord): void {
    const runMs = readNumber(record, 'runMs')
    const startedAtMs = record.atMs - runMs
    const cpuMilli = readNumber(record, 'cpuMilli')
    for (let bin = binOf(startedAtMs); bin < binOf(record.atMs); bin++) this.usedCpuMilli.set(bin, (this.usedCpuMilli.get(bin) ?? 0) + cpuMilli)
    const estimatedMs = readNumber(record, 'estimatedMs')
    if (readText(record, 'end') !== workers.TaskEnd.Done || estimatedMs <= 0) return
    const key = `${record.nodeId} ${windowOf(startedAtMs + runMs / 2)}`
    const ratios = this.ratios.get(key)
    if (ratios === undefined) this.ratios.set(key, [runMs / estimatedMs])
    else ratios.push(runMs / estimatedMs)
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
