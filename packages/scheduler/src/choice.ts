/** The choice of a worker for one task. */
import * as workers from '@egretvalve/workers'
import type { StepSpec } from './model.ts'

/** A worker that may take the task. */
export interface Candidate {
  agentId: string
  free: workers.RunSize
  usedShare: number
  /** How many times longer tasks take than on an average worker. */
  speedFactor: number
  hasDataRack: boolean
  isOwnDomain: boolean
  /** True when a task of the same job goes there too. */
  hasSibling: boolean
}

/** Weights of the choice. */
export interface ChoiceOptions {
  loadPenaltyMs: number
  remoteDataFactor: number
}

/** Advantage of a worker in the entry's own failure domain among equals, in milliseconds: the round trip that it saves. */
const OWN_DOMAIN_GAIN_MS = 2

/** Advantage of a worker that gets tasks of the job anyway, in milliseconds: orders and ends travel together. */
const SIBLING_GAIN_MS = 5

/** Returns the expected time of a task on a worker that has room, in milliseconds. */
export function expectedCostMs (candidate: Candidate, step: StepSpec, expectedMs: number, options: ChoiceOptions): number {
  const isRemote = step.dataRack !== undefined && !candidate.hasDataRack
  const runMs = expectedMs * candidate.speedFactor * (isRemote ? options.remoteDataFactor : 1)
  return runMs + candidate.usedShare * options.loadPenaltyMs - (candidate.isOwnDomain ? OWN_DOMAIN_GAIN_MS : 0) - (candidate.hasSibling ? SIBLING_GAIN_MS : 0)
}

/** Chooses the worker on which the task is expected to end first, among those with room. */
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

/** Chooses the worker to keep free for a task that fits nowhere yet, so that smaller tasks don't take its room. */
export function chooseReserved (candidates: readonly Candidate[]): Candidate | undefined {
  let best: Candidate | undefined
  for (const candidate of candidates) {
    if (best === undefined || candidate.free.cpuMilli > best.free.cpuMilli) best = candidate
  }
  return best
}

/** Fewest workers among which a task is placed. */
const MIN_SAMPLE = 4
/** Workers in the sample for each worker that falls to an entry. */
const SAMPLE_FACTOR = 1

/**
 * Returns how many workers an entry looks at for one step. Entries see the same reports, so if each looked at all workers they
 * would send their next tasks to the same best one, until its next report.
 */
export function sampleSize (workerCount: number, entryCount: number): number {
  return Math.max(MIN_SAMPLE, Math.ceil(SAMPLE_FACTOR * workerCount / Math.max(1, entryCount)))
}

/** Draws some of the workers that have room, without replacement. `random` returns a number from 0 to 1. */
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
