/** Types of the slope report. Their fields are written to its JSON file. */
import { availableParallelism } from 'node:os'
import { fitLine } from './fit.ts'
import type { FittedLine, MeasuredPoint } from './fit.ts'

/** Names of the series. Reports are looked up by these names. */
export enum SeriesName {
  EntryControlCpu = 'entryControlCpu',
  EntryControlBytes = 'entryControlBytes',
  EntryMemory = 'entryMemory',
  EntryWorkCpu = 'entryWorkCpu',
  EntryLinkBytes = 'entryLinkBytes',
  EntryJobCpu = 'entryJobCpu',
  EntryTeamCpu = 'entryTeamCpu',
  EntryPeerBytes = 'entryPeerBytes',
  AgentControlCpu = 'agentControlCpu',
  AgentControlBytes = 'agentControlBytes',
  AgentMemory = 'agentMemory',
  AgentWorkCpu = 'agentWorkCpu',
  EntryRecordMemory = 'entryRecordMemory',
  ChangeReads = 'changeReads',
  ChangeWrites = 'changeWrites',
  AgentRecordMemory = 'agentRecordMemory',
  StoreReads = 'storeReads',
  StoreWrites = 'storeWrites'
}

/** Measured cost against a size, with the fitted line. */
export interface Series {
  name: SeriesName
  title: string
  /** Unit of the size. */
  x: string
  /** Unit of the cost. */
  y: string
  points: MeasuredPoint[]
  line: FittedLine
}

/** Start rate of one entry process with jobs of one size. */
export interface StartRate {
  tasksPerJob: number
  startsPerSecond: number
  /** Starts per second of processor time of the entry. */
  startsPerCoreSecond: number
}

/** Store calls during one phase of a fleet's lifecycle. */
export interface StorePhase {
  phase: string
  entries: number
  /** Reads in the busiest second of the phase. */
  peakReads: number
  /** Writes in the busiest second of the phase. */
  peakWrites: number
  refusedCalls: number
}

/** Response times of direct calls and of calls through entry and agent. */
export interface Overhead {
  /** Number of concurrent callers. */
  lanes: number
  directP50Ms: number
  directP99Ms: number
  throughP50Ms: number
  throughP99Ms: number
}

/** Time from the request of a configuration change until it is in force on all entries. */
export interface ChangeSpeed {
  entries: number
  changes: number
  inForceP50Ms: number
  inForceP99Ms: number
}

/** Results of all slope experiments of one run. */
export interface SlopeReport {
  machine: { cores: number, node: string }
  windowMs: number
  restWindowMs: number
  series: Series[]
  startRates: StartRate[]
  storePhases: StorePhase[]
  overheads: Overhead[]
  changeSpeed: ChangeSpeed
}

/** Creates a series and fits its line. `x` and `y` are the units of the axes. */
export function createSeries (name: SeriesName, title: string, x: string, y: string, points: MeasuredPoint[]): Series {
  return { name, title, x, y, points, line: fitLine(points) }
}

/** Returns the core count and Node version of this machine. */
export function describeMachine (): SlopeReport['machine'] {
  return { cores: availableParallelism(), node: process.version }
}
