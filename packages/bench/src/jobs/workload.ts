/** Seeded job loads for leased workers. Arrival rates follow a sine wave with an optional burst. */
import type * as scheduler from '@egretvalve/scheduler'
import { Random } from '../random.ts'

/** A kind of job. Work is log-normally distributed, and a small share of the jobs takes several times longer. */
export interface JobKind {
  name: string
  terms: scheduler.JobTerms
  ratePerS: number
  /** Mean number of tasks. */
  meanCount: number
  maxCount: number
  /** Mean work of one task, in milliseconds. */
  meanWorkMs: number
  /** Constant part of the deadline, in milliseconds; a multiple of the work is added to it. */
  deadlineMs: number
  /** Credit for an answer within the objective. */
  creditPerJob: number
}

/** Arrival rate over time. */
export interface LoadShape {
  durationMs: number
  /** Factor on the rates of all job kinds. */
  level: number
  /** Amplitude of the sine wave as a share of the mean rate. */
  swing: number
  periodMs: number
  burst?: { fromMs: number, toMs: number, factor: number }
}

/** A job of the load, with its true work, which the dispatcher does not see. */
export interface ArrivingJob {
  /** Arrival after the start of the load, in milliseconds. */
  atMs: number
  kind: JobKind
  spec: scheduler.JobSpec
  /** True work of each task, in milliseconds. */
  workMs: readonly number[]
  /** Time from the arrival to the answer within which the job earns full credit, in milliseconds; derived from the true work. */
  objectiveMs: number
  /** Time from the arrival after which the caller stops waiting, in milliseconds. */
  deadlineMs: number
}

/** A caller waits this many times the longest task of its job, beyond the constant part of the deadline. */
const DEADLINE_WORK_FACTOR = 4
/** Standard deviations of the logarithms of a job's work, its estimate, the work of its tasks, and its task count. */
const WORK_SIGMA = 0.4
const ESTIMATE_SIGMA = 0.4
const TASK_WORK_SIGMA = 0.15
const COUNT_SIGMA = 0.4
/** Share of long jobs, and the factor on their work. */
const LONG_SHARE = 0.03
const LONG_FACTOR = 7
const MEAN_CPU_MILLI = 3_100
const CPU_SIGMA = 0.2
const MAX_CPU_MILLI = 4_700
const MEMORY_MB = 64

/** Creates the jobs of a load in arrival order. The same seed gives the same jobs. */
export function createJobLoad (kinds: readonly JobKind[], shape: LoadShape, seed: number): ArrivingJob[] {
  const random = new Random(seed)
  const jobs: ArrivingJob[] = []
  kinds.forEach((kind, number) => {
    const peakPerMs = kind.ratePerS / 1_000 * shape.level * (1 + shape.swing) * (shape.burst?.factor ?? 1)
    let atMs = random.exponential(1 / peakPerMs)
    for (; atMs < shape.durationMs; atMs += random.exponential(1 / peakPerMs)) {
      if (random.chance(resolveRateFactor(shape, atMs) * kind.ratePerS / 1_000 / peakPerMs)) jobs.push(createJob(kind, atMs, `${number}-${jobs.length}`, random))
    }
  })
  return jobs.sort((left, right) => left.atMs - right.atMs)
}

/** Returns the mean number of cores that the load keeps busy, before the factors of its shape. */
export function meanCores (kinds: readonly JobKind[]): number {
  const longFactor = 1 + LONG_SHARE * (LONG_FACTOR - 1)
  return kinds.reduce((sum, kind) => sum + kind.ratePerS * kind.meanCount * kind.meanWorkMs / 1_000 * longFactor * MEAN_CPU_MILLI / 1_000, 0)
}

function resolveRateFactor (shape: LoadShape, atMs: number): number {
  const isBurst = shape.burst !== undefined && atMs >= shape.burst.fromMs && atMs < shape.burst.toMs
  return shape.level * (1 + shape.swing * Math.sin(2 * Math.PI * atMs / shape.periodMs)) * (isBurst ? shape.burst!.factor : 1)
}

function createJob (kind: JobKind, atMs: number, jobId: string, random: Random): ArrivingJob {
  const count = Math.min(kind.maxCount, Math.max(1, Math.round(drawLogNormal(kind.meanCount, COUNT_SIGMA, random))))
  const jobWorkMs = drawLogNormal(kind.meanWorkMs, WORK_SIGMA, random) * (random.chance(LONG_SHARE) ? LONG_FACTOR : 1)
  const workMs = Array.from({ length: count }, () => drawLogNormal(jobWorkMs, TASK_WORK_SIGMA, random))
  const cpuMilli = Math.round(Math.min(MAX_CPU_MILLI, drawLogNormal(MEAN_CPU_MILLI, CPU_SIGMA, random)))
  const estimatedMs = Math.round(drawLogNormal(jobWorkMs, ESTIMATE_SIGMA, random))
  const longestMs = Math.max(...workMs)
  return {
    atMs,
    kind,
    spec: { jobId, spec: '', steps: [{ count, size: { cpuMilli, memoryMb: MEMORY_MB, accelerators: 0 }, estimatedMs, after: [] }] },
    workMs,
    objectiveMs: kind.terms.slackFactor * longestMs + kind.terms.targetLatencyMs,
    deadlineMs: kind.deadlineMs + DEADLINE_WORK_FACTOR * longestMs
  }
}

/** Draws a log-normally distributed number with the given mean. */
function drawLogNormal (mean: number, sigma: number, random: Random): number {
  return random.logNormal(mean * Math.exp(-sigma * sigma / 2), sigma)
}
