/** Jobs of tasks that run on leased workers, and the terms on which they are accepted. */
import type * as workers from '@egretvalve/workers'

/** Tasks of equal size. */
export interface StepSpec {
  count: number
  size: workers.RunSize
  /** The caller's rough estimate of one task. */
  estimatedMs: number
  /** Numbers of earlier steps whose tasks must all be done first. */
  after: readonly number[]
  /** Label that the worker must have. */
  requirement?: string
  /** Rack where the data lies; tasks take longer elsewhere. */
  dataRack?: string
  /** Most tasks of the step on one worker. */
  maxPerWorker?: number
}

/** A job as its caller submitted it. */
export interface JobSpec {
  jobId: string
  /** Text that each start of a task carries. */
  spec: string
  steps: readonly StepSpec[]
}

/** Terms of the queue that a job came to. */
export interface JobTerms {
  service: string
  /** 0 goes first. */
  priority: number
  /** Failures of one task after which the job has failed. */
  maxAttempts: number
  /** Part of the latency objective that does not depend on the job's work. */
  targetLatencyMs: number
  /** Factor of the latency objective over the job's longest chain of work. */
  slackFactor: number
}

/** How a job ended for its caller. */
export type JobOutcome =
  | { kind: 'succeeded' }
  | { kind: 'failed', reason: string }
  /** Nothing of the job has started, and nothing will. */
  | { kind: 'refused', reason: string, retryAfterMs: number }
  /** The caller's deadline passed after a task had started. */
  | { kind: 'expired', reason: string }
  | { kind: 'cancelled' }

/** Returns the length of the longest chain of steps by the caller's estimates, in milliseconds. */
export function longestChainMs (steps: readonly StepSpec[]): number {
  const ends: number[] = []
  steps.forEach((step, index) => {
    const readyMs = Math.max(0, ...step.after.filter(earlier => earlier < index).map(earlier => ends[earlier]!))
    ends.push(readyMs + step.estimatedMs)
  })
  return Math.max(0, ...ends)
}

/** Returns the work of a job in core-milliseconds by the caller's estimates. */
export function estimatedWork (steps: readonly StepSpec[]): number {
  return steps.reduce((sum, step) => sum + step.count * step.size.cpuMilli / 1000 * step.estimatedMs, 0)
}
