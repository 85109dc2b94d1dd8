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

/** Chooses the worker with the lowest cost among those with free capacity for the task. */
export function chooseWorker (candidates: readonly Candidate[], step: StepSpec, expectedMs: number, options: ChoiceOptions): Candidate | undefined {
  let best: Candidate | undefined
  let bestMs = Number.POSITIVE_INFINITY
  for (const candidate of candidates) {
    if (!workers.fits(candidate.free, step.size)) continue
    const costMs = expectedCostMs(candidate, step, expectedMs, options)
    if (costMs >= bestMs) continue
    best = candidate
    bestMs = costMs
  }
  return best
}

/** Chooses the worker for a task that may crash it: one of `sharedIds`, which have such tasks of the same job only, else one without any and with the least to lose. */
export function chooseForSuspect (candidates: readonly Candidate[], step: StepSpec, sharedIds: ReadonlySet<string>): Candidate | undefined {
  let best: Candidate | undefined
  for (const candidate of candidates) {
    if (!workers.fits(candidate.free, step.size)) continue
    if (sharedIds.has(candidate.agentId)) return candidate
    if (candidate.hasSuspect) continue
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
