/** Measured series and what they were measured on. */
import { availableParallelism } from 'node:os'
import { fitLine } from './fit.ts'
import type { FittedLine, MeasuredPoint } from './fit.ts'

/** Names of the series; a page refers to them. */
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

/** A cost against a size, with its fitted line. */
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

/** Starts of one entry process in jobs of one size. */
export interface StartRate {
  tasksPerJob: number
  startsPerSecond: number
  /** Starts for each second of the entry's processor time. */
  startsPerCoreSecond: number
}

/** Store calls during one phase of a fleet's life. */
export interface StorePhase {
  phase: string
  entries: number
  /** Calls in the phase's busiest second. */
  peakReads: number
  peakWrites: number
  refusedCalls: number
}

/** Response time through entry and agent beside that of a direct call. */
export interface Overhead {
  lanes: number
  directP50Ms: number
  directP99Ms: number
  throughP50Ms: number
  throughP99Ms: number
}

/** Time from a change's request until all entries have it. */
export interface ChangeSpeed {
  entries: number
  changes: number
  inForceP50Ms: number
  inForceP99Ms: number
}

/** All that a run measured. */
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

/** Creates a series and fits its line. */
export function createSeries (name: SeriesName, title: string, x: string, y: string, points: MeasuredPoint[]): Series {
  return { name, title, x, y, points, line: fitLine(points) }
}

/** Returns what the run was measured on. */
export function describeMachine (): SlopeReport['machine'] {
  return { cores: availableParallelism(), node: process.version }
}
