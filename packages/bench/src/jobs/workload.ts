/** Seeded loads of jobs for leased workers: several kinds of jobs whose rate follows a wave with bursts. */
import type * as scheduler from '@egretvalve/scheduler'
import { Random } from '../random.ts'

/** One kind of job. Work is log-normal, and a few jobs take many times longer. */
export interface JobKind {
  name: string
  terms: scheduler.JobTerms
  ratePerS: number
  /** Mean number of tasks. */
  meanCount: number
  maxCount: number
  /** Mean work of one task, in milliseconds. */
  meanWorkMs: number
  /** Time that a caller waits beyond its patience for the work itself, in milliseconds. */
  deadlineMs: number
  /** Credit of an answer within the objective. */
  worth: number
}

/** How the rate changes over time. */
export interface LoadShape {
  durationMs: number
  /** Factor on all rates. */
  level: number
  /** Share by which the rate rises and falls around its mean. */
  swing: number
  periodMs: number
  burst?: { fromMs: number, toMs: number, factor: number }
}

/** A job of the load, with what only its worker and an omniscient queue know. */
export interface ArrivingJob {
  atMs: number
  kind: JobKind
  spec: scheduler.JobSpec
  /** True work of each task, in milliseconds. */
  workMs: readonly number[]
  /** Time from the arrival by which the caller wants the answer, by the true work. */
  objectiveMs: number
  /** Time from the arrival at which the caller leaves. */
  deadlineMs: number
}

/** How many times the work of its job a caller waits. */
const PATIENCE_FACTOR = 4
/** Deviations of the logarithms of work and of estimates, and of the tasks of one job against each other. */
const WORK_SIGMA = 0.4
const ESTIMATE_SIGMA = 0.4
const UNEVEN_SIGMA = 0.15
const COUNT_SIGMA = 0.4
/** Share of the jobs with much more work, and how many times more. */
const LONG_SHARE = 0.03
const LONG_FACTOR = 7
const MEAN_CPU_MILLI = 3_100
const CPU_SIGMA = 0.2
const MAX_CPU_MILLI = 4_700
const MEMORY_MB = 64

/** Creates the jobs of a load in the order of their arrival. */
export function createJobLoad (kinds: readonly JobKind[], shape: LoadShape, seed: number): ArrivingJob[] {
  const random = new Random(seed)
  const jobs: ArrivingJob[] = []
  kinds.forEach((kind, number) => {
    const peakPerMs = kind.ratePerS / 1_000 * shape.level * (1 + shape.swing) * (shape.burst?.factor ?? 1)
    let atMs = random.exponential(1 / peakPerMs)
    for (; atMs < shape.durationMs; atMs += random.exponential(1 / peakPerMs)) {
      if (random.chance(rateAt(shape, atMs) * kind.ratePerS / 1_000 / peakPerMs)) jobs.push(createJob(kind, atMs, `${number}-${jobs.length}`, random))
    }
  })
  return jobs.sort((left, right) => left.atMs - right.atMs)
}

/** Returns the mean work of the load in use at one moment, in cores, without the factor of its shape. */
export function meanCores (kinds: readonly JobKind[]): number {
  const longFactor = 1 + LONG_SHARE * (LONG_FACTOR - 1)
  return kinds.reduce((sum, kind) => sum + kind.ratePerS * kind.meanCount * kind.meanWorkMs / 1_000 * longFactor * MEAN_CPU_MILLI / 1_000, 0)
}

function rateAt (shape: LoadShape, atMs: number): number {
  const isBurst = shape.burst !== undefined && atMs >= shape.burst.fromMs && atMs < shape.burst.toMs
  return shape.level * (1 + shape.swing * Math.sin(2 * Math.PI * atMs / shape.periodMs)) * (isBurst ? shape.burst!.factor : 1)
}

function createJob (kind: JobKind, atMs: number, jobId: string, random: Random): ArrivingJob {
  const count = Math.min(kind.maxCount, Math.max(1, Math.round(drawMean(kind.meanCount, COUNT_SIGMA, random))))
  const jobWorkMs = drawMean(kind.meanWorkMs, WORK_SIGMA, random) * (random.chance(LONG_SHARE) ? LONG_FACTOR : 1)
  const workMs = Array.from({ length: count }, () => drawMean(jobWorkMs, UNEVEN_SIGMA, random))
  const cpuMilli = Math.round(Math.min(MAX_CPU_MILLI, drawMean(MEAN_CPU_MILLI, CPU_SIGMA, random)))
  const estimatedMs = Math.round(drawMean(jobWorkMs, ESTIMATE_SIGMA, random))
  const longestMs = Math.max(...workMs)
  return {
    atMs,
    kind,
    spec: { jobId, spec: '', steps: [{ count, size: { cpuMilli, memoryMb: MEMORY_MB, accelerators: 0 }, estimatedMs, after: [] }] },
    workMs,
    objectiveMs: kind.terms.slackFactor * longestMs + kind.terms.targetLatencyMs,
    deadlineMs: kind.deadlineMs + PATIENCE_FACTOR * longestMs
  }
}

/** Draws a log-normal number by its mean. */
function drawMean (mean: number, sigma: number, random: Random): number {
  return random.logNormal(mean * Math.exp(-sigma * sigma / 2), sigma)
}
