/** Jobs of tasks that run on leased workers, and the terms on which they are accepted. */
import type * as workers from '@egretvalve/workers'

/** A step of a job: tasks of equal size. */
export interface StepSpec {
  count: number
  size: workers.RunSize
  /** The caller's rough estimate of the run time of one task. */
  estimatedMs: number
  /** Indexes of earlier steps whose tasks must all be done first. */
  after: readonly number[]
  /** Label that the worker must have. */
  requirement?: string
  /** Label of the rack that holds the data; tasks run longer on workers without it. */
  dataRack?: string
  /** Maximum number of the step's tasks that one worker has at a time. */
  maxPerWorker?: number
}

/** A job as its caller submitted it. */
export interface JobSpec {
  jobId: string
  /** Text that is sent with each start of a task. */
  spec: string
  steps: readonly StepSpec[]
}

/** Terms of the queue that a job was submitted to. */
export interface JobTerms {
  /** Name of the queue, the same at all entries. */
  queue: string
  service: string
  /** 0 is the most urgent. */
  priority: number
  /** Number of failures of one task at which the job fails. */
  maxAttempts: number
  /** Part of the latency objective that does not depend on the job's estimates, in milliseconds. */
  targetLatencyMs: number
  /** Factor by which the job's longest chain of steps enters the latency objective. */
  slackFactor: number
}

/** How a job ended for its caller. */
export type JobOutcome =
  | { kind: 'succeeded' }
  | { kind: 'failed', reason: string }
  /** No task has started, and none will. */
  | { kind: 'refused', reason: string, retryAfterMs: number }
  /** The caller's deadline passed, or the entry stopped, after a task may have started. */
  | { kind: 'expired', reason: string }
  /** The last caller that waited for the job has disconnected. */
  | { kind: 'abandoned' }
  /** A caller has ordered the end of the job, which never runs again. */
  | { kind: 'cancelled' }

/** Returns the length of the longest chain of dependent steps by the caller's estimates, in milliseconds. */
export function longestChainMs (steps: readonly StepSpec[]): number {
  const ends: number[] = []
  steps.forEach((step, index) => {
    const readyMs = Math.max(0, ...step.after.filter(earlier => earlier < index).map(earlier => ends[earlier]!))
    ends.push(readyMs + step.estimatedMs)
  })
  return Math.max(0, ...ends)
}

/** Returns the work of a job in core-milliseconds by the caller's estimates. */
export function estimatedWorkCoreMs (steps: readonly StepSpec[]): number {
  return steps.reduce((sum, step) => sum + step.count * step.size.cpuMilli / 1000 * step.estimatedMs, 0)
}
