/** Waiting tasks of a job: single attempts and groups of equal tasks. */
import * as protocol from '@egretvalve/protocol'
import type { Job } from '../jobs/job.ts'

/** One task of a job; `attempt` is the number of earlier attempts. */
export interface WaitingTask {
  job: Job
  index: number
  attempt: number
  /** Agents on which earlier attempts failed. */
  excludedAgentIds?: ReadonlySet<string>
}

/** Tasks of a job that are queued as one item. */
export interface TaskGroup {
  job: Job
  /** Indexes of the tasks that still wait. */
  indexes: number[]
  attempt: number
  excludedAgentIds?: ReadonlySet<string>
}

/** Groups the tasks that are still to be sent into those declared short and those declared long (at least `LONG_RUN_MS`). */
export function createTaskGroups (job: Job): { short: TaskGroup, long: TaskGroup } {
  const short: TaskGroup = { job, indexes: [], attempt: 0 }
  const long: TaskGroup = { job, indexes: [], attempt: 0 }
  for (let index = job.taskCount - 1; index >= 0; index--) {
    if (job.hasEnded(index) || job.isAdopted(index)) continue
    const group = declaredRunMs(job, index) >= protocol.LONG_RUN_MS ? long : short
    group.indexes.push(index)
  }
  return { short, long }
}

/** Returns the declared run time of a task in milliseconds, 0 if none was declared. */
export function declaredRunMs (job: Job, index: number): number {
  return job.submission.tasks![index]!.declaredRunMs ?? 0
}

/** Returns the deadline in Unix milliseconds, or positive infinity if there is none. No task starts after it. */
export function resolveDeadlineMs (submission: protocol.wire.ISubmission): number {
  const deadlineAtMs = submission.deadlineAtMs ?? 0
  return deadlineAtMs > 0 ? deadlineAtMs : Number.POSITIVE_INFINITY
}
