/** The agent's queue of accepted tasks. */
import type * as protocol from '@egretvalve/protocol'
import type { EntryLink } from '../links/entryLink.ts'

/** A task that was accepted and has not started. */
export interface QueuedTask {
  job: protocol.wire.IJobStart
  task: protocol.wire.ITaskStart
  /** The link to which the report goes: the one that delivered the task, or that of the partition's new owner. */
  reportLink: EntryLink
}

/** Orders by request class, pressing first, then by deadline. */
function compareUrgency (left: QueuedTask, right: QueuedTask): number {
  const byClass = (right.job.requestClass ?? 0) - (left.job.requestClass ?? 0)
  if (byClass !== 0) return byClass
  return (left.job.deadlineAtMs ?? 0) - (right.job.deadlineAtMs ?? 0)
}

/** Short queue ordered by request class and deadline. */
export class TaskQueue {
  private readonly tasks: QueuedTask[] = []

  get size (): number {
    return this.tasks.length
  }

  /** The queued tasks, most urgent first. */
  get all (): readonly QueuedTask[] {
    return this.tasks
  }

  push (queued: QueuedTask): void {
    const index = this.tasks.findIndex(other => compareUrgency(queued, other) < 0)
    if (index === -1) this.tasks.push(queued)
    else this.tasks.splice(index, 0, queued)
  }

  /** Removes and returns the most urgent task that may start. */
  shift (mayStart: (queued: QueuedTask) => boolean): QueuedTask | undefined {
    const index = this.tasks.findIndex(mayStart)
    return index === -1 ? undefined : this.tasks.splice(index, 1)[0]
  }

  /** Removes and returns the tasks that match. */
  remove (matches: (queued: QueuedTask) => boolean): QueuedTask[] {
    const removed = this.tasks.filter(matches)
    const remaining = this.tasks.filter(queued => !matches(queued))
    this.tasks.splice(0, this.tasks.length, ...remaining)
    return removed
  }
}
