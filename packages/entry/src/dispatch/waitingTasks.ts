/** Tasks that wait at the entry for a slot, pressing ones first. */
import * as protocol from '@egretvalve/protocol'
import type { Job } from '../jobs/job.ts'

/** One task of a job with the number of earlier attempts. */
export interface WaitingTask {
  job: Job
  index: number
  attempt: number
}

/** A queue for each class, in order of arrival. */
export class WaitingTasks {
  private pressing: WaitingTask[] = []
  private ordinary: WaitingTask[] = []

  get size (): number {
    return this.pressing.length + this.ordinary.length
  }

  push (task: WaitingTask): void {
    this.queueOf(task).push(task)
  }

  shift (): WaitingTask | undefined {
    return this.pressing.shift() ?? this.ordinary.shift()
  }

  /** Puts tasks back at the front, in their order. */
  restore (tasks: readonly WaitingTask[]): void {
    this.pressing = [...tasks.filter(isPressing), ...this.pressing]
    this.ordinary = [...tasks.filter(task => !isPressing(task)), ...this.ordinary]
  }

  /** Removes and returns the tasks that match. */
  remove (matches: (task: WaitingTask) => boolean): WaitingTask[] {
    if (this.size === 0) return []
    const removed = [...this.pressing, ...this.ordinary].filter(matches)
    if (removed.length === 0) return removed
    this.pressing = this.pressing.filter(task => !matches(task))
    this.ordinary = this.ordinary.filter(task => !matches(task))
    return removed
  }

  private queueOf (task: WaitingTask): WaitingTask[] {
    return isPressing(task) ? this.pressing : this.ordinary
  }
}

function isPressing (task: WaitingTask): boolean {
  return task.job.submission.requestClass === protocol.wire.RequestClass.REQUEST_CLASS_PRESSING
}
