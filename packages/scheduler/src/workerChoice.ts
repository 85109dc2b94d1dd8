/** The choice of a worker for one task. */
import * as workers from '@egretvalve/workers'
import type { StepSpec } from './model.ts'

/** A worker that may get the task. */
export interface Candidate {
  agentId: string
  free: workers.RunSize
  /** Share of the processors in use, from 0 to 1. */
  usedShare: number
  /** How many times longer tasks take than on a typical worker; above 1 is slower. */
  speedFactor: number
  hasDataRack: boolean
  isOwnDomain: boolean
  /** True when another task of the same job was placed on it in this dispatch pass. */
  hasSibling: boolean
  /** True while it runs a task that is suspected of a crash, and may crash too. */
  hasSuspect: boolean
  /** Time since the worker's last load report, in milliseconds. */
  reportAgeMs: number
}

/** Weights of the choice; see `SchedulerOptions`. */
export interface ChoiceOptions {
  loadPenaltyMs: number
  remoteDataFactor: number
}

/** Bonus for a worker in the entry's own failure domain: the round trip that it saves. */
const OWN_DOMAIN_BONUS_MS = 2

/** Bonus for a worker that already gets tasks of the job: their orders and ends share messages. */
const SIBLING_BONUS_MS = 5

/** Cost of a worker that may crash under a suspect, so that it is chosen only when no other has capacity. A crash by another task would also blame the suspect. */
const SUSPECT_PENALTY_MS = 500

/** Returns the cost of a task on a worker with free capacity: its expected run time, corrected by load and bonuses, in milliseconds. */
export function expectedCostMs (candidate: Candidate, step: StepSpec, expectedMs: number, options: ChoiceOptions): number {
  const isRemote = step.dataRack !== undefined && !candidate.hasDataRack
  const runMs = expectedMs * candidate.speedFactor * (isRemote ? options.remoteDataFactor : 1)
  return runMs + candidate.usedShare * options.loadPenaltyMs - (candidate.isOwnDomain ? OWN_DOMAIN_BONUS_MS : 0) - (candidate.hasSibling ? SIBLING_BONUS_MS : 0) + (candidate.hasSuspect ? SUSPECT_PENALTY_MS : 0)
}

/** Chooses the worker with the lowest cost among those with free capacity for the task that `mayUse` admits. */
export function chooseWorker (candidates: readonly Candidate[], step: StepSpec, expectedMs: number, options: ChoiceOptions, mayUse: (candidate: Candidate) => boolean = () => true): Candidate | undefined {
  let best: Candidate | undefined
  let bestMs = Number.POSITIVE_INFINITY
  for (const candidate of candidates) {
    if (!workers.fits(candidate.free, step.size) || !mayUse(candidate)) continue
    const costMs = expectedCostMs(candidate, step, expectedMs, options)
    if (costMs >= bestMs) continue
    best = candidate
    bestMs = costMs
  }
  return best
}

/** Tasks of the same size for which a worker has room beyond the one to place, so that orders of other entries don't take its place. See docs/design/placement.md for other values. */
const SPARE_TASKS = 2
/** Age up to which a report shows what is free now: it has come with a reservation or with ends of runs, and the other entries have hardly used it yet. */
const FRESH_REPORT_MS = 10
/** Age from which a report shows what is free now, since agents report a change of it sooner. */
const STEADY_REPORT_MS = 100

/** The best worker with room for further tasks, and the best whose last report can be relied on for the last task that fits. */
export interface ContendedChoice {
  spare: Candidate | undefined
  reliable: Candidate | undefined
}

/**
 * Chooses among workers that other entries use too. Load: 6 to 10 entries that all see the same free capacity of a fast worker and send it
 * more than it can take, so that a quarter of the orders is returned.
 */
export function chooseContended (candidates: readonly Candidate[], step: StepSpec, expectedMs: number, options: ChoiceOptions): ContendedChoice {
  const spareSize = multiplySize(step.size, 1 + SPARE_TASKS)
  return {
    spare: chooseWorker(candidates, step, expectedMs, options, ({ free }) => workers.fits(free, spareSize)),
    reliable: chooseWorker(candidates, step, expectedMs, options, ({ reportAgeMs }) => reportAgeMs <= FRESH_REPORT_MS || reportAgeMs >= STEADY_REPORT_MS)
  }
}

function multiplySize ({ cpuMilli, memoryMb, accelerators }: workers.RunSize, factor: number): workers.RunSize {
  return { cpuMilli: cpuMilli * factor, memoryMb: memoryMb * factor, accelerators: accelerators * factor }
}

/** Chooses the worker for a task that may crash it: one without another such task, and with the least to lose. */
export function chooseForSuspect (candidates: readonly Candidate[], step: StepSpec): Candidate | undefined {
  let best: Candidate | undefined
  for (const candidate of candidates) {
    if (candidate.hasSuspect || !workers.fits(candidate.free, step.size)) continue
    if (best === undefined || candidate.usedShare < best.usedShare) best = candidate
  }
  return best
}

/** Chooses the worker to reserve for a task that fits nowhere yet, so that smaller tasks don't use up its capacity: the one with the most free processors. */
export function chooseReserved (candidates: readonly Candidate[]): Candidate | undefined {
  let best: Candidate | undefined
  for (const candidate of candidates) {
    if (best === undefined || candidate.free.cpuMilli > best.free.cpuMilli) best = candidate
  }
  return best
}

/** Minimum size of the sample. */
const MIN_SAMPLE = 4
/** Factor of the sample size over the number of workers per entry. */
const SAMPLE_FACTOR = 1

/**
 * Returns how many workers an entry considers for one step. Entries see the same load reports; if each considered all workers,
 * they would all send tasks to the same best worker until its next report.
 */
export function sampleSize (workerCount: number, entryCount: number): number {
  return Math.max(MIN_SAMPLE, Math.ceil(SAMPLE_FACTOR * workerCount / Math.max(1, entryCount)))
}

/** Draws a random sample, without replacement, of the workers with free capacity for a task. `random` returns a number from 0 to 1. */
export function sampleCandidates (candidates: readonly Candidate[], step: StepSpec, size: number, random: () => number): Candidate[] {
  const pool = candidates.filter(candidate => workers.fits(candidate.free, step.size))
  if (pool.length <= size) return pool
  for (let drawn = 0; drawn < size; drawn++) {
    const other = drawn + Math.min(pool.length - drawn - 1, Math.floor(random() * (pool.length - drawn)))
    const candidate = pool[other]!
    pool[other] = pool[drawn]!
    pool[drawn] = candidate
  }
  return pool.slice(0, size)
}
