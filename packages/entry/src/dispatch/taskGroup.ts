/** Tasks of a job as they wait and as they are sent. */
import * as protocol from '@egretvalve/protocol'
import type { Job } from '../jobs/job.ts'

/** One task of a job with the number of earlier attempts. */
export interface WaitingTask {
  job: Job
  index: number
  attempt: number
  /** Agents on which earlier attempts failed. */
  excludedAgentIds?: ReadonlySet<string>
}

/** Equal tasks of a job that wait together. */
export interface TaskGroup {
  job: Job
  /** Indexes of the tasks that still wait. */
  indexes: number[]
  attempt: number
  excludedAgentIds?: ReadonlySet<string>
}

/** Splits the tasks of a job that have not ended into those declared short and those declared long. */
export function createTaskGroups (job: Job): { short: TaskGroup, long: TaskGroup } {
  const short: TaskGroup = { job, indexes: [], attempt: 0 }
  const long: TaskGroup = { job, indexes: [], attempt: 0 }
  for (let index = job.taskCount - 1; index >= 0; index--) {
    if (job.hasEnded(index) || job.isHeld(index)) continue
    const group = declaredRunMs(job, index) >= protocol.LONG_RUN_MS ? long : short
    group.indexes.push(index)
  }
  return { short, long }
}

/** Returns the declared run time of a task in milliseconds; 0 when none was declared. */
export function declaredRunMs (job: Job, index: number): number {
  return job.submission.tasks![index]!.declaredRunMs ?? 0
}

/** Returns the time after which no task of a job may start, in Unix milliseconds; positive infinity for none. */
export function resolveDeadlineMs (submission: protocol.wire.ISubmission): number {
  const deadlineAtMs = submission.deadlineAtMs ?? 0
  return deadlineAtMs > 0 ? deadlineAtMs : Number.POSITIVE_INFINITY
}
