/** The tasks that one agent holds for this entry. */
import * as workers from '@egretvalve/workers'
import type { AgentPort } from './agents.ts'
import type { Job, Task } from './job.ts'

/** A task held by an agent. */
export interface SentTask {
  job: Job
  task: Task
  attempt: number
  /** Time for which the run is observed, in milliseconds; 0 for a task that is not suspected of a crash. */
  observationMs: number
  /** Link on which the task was sent or, after a reconnect, reported as held. */
  port: AgentPort
}

/**
 * Tasks by their key, from the order until the end of the run is known, with their number by step. That includes tasks of ended jobs, whose
 * runs are being stopped, and those of an agent that is silent, disconnected or restarted: their runs may still be at work.
 */
export class SentTasks {
  private readonly tasks = new Map<string, SentTask>()
  private readonly countsByStep = new Map<string, number>()

  get size (): number {
    return this.tasks.size
  }

  get (key: string): SentTask | undefined {
    return this.tasks.get(key)
  }

  has (key: string): boolean {
    return this.tasks.has(key)
  }

  values (): Iterable<SentTask> {
    return this.tasks.values()
  }

  /** Snapshot of the tasks with their keys, unaffected by ends during the loop. */
  get all (): Array<[key: string, sent: SentTask]> {
    return [...this.tasks]
  }

  /** Adds a task. It replaces an earlier attempt, which the agent stops before it starts this one. */
  set (key: string, sent: SentTask): void {
    if (!this.tasks.has(key)) this.count(sent.task.ref, 1)
    this.tasks.set(key, sent)
  }

  delete (key: string): void {
    const sent = this.tasks.get(key)
    if (sent === undefined) return
    this.tasks.delete(key)
    this.count(sent.task.ref, -1)
  }

  /** Returns how many tasks of a step the agent holds besides the given one. Both keys are those of that task. */
  countSiblings (stepKey: string, taskKey: string): number {
    const count = this.countsByStep.get(stepKey) ?? 0
    return count > 0 && this.tasks.has(taskKey) ? count - 1 : count
  }

  private count (ref: workers.TaskRef, change: number): void {
    const key = createStepKey(ref)
    const count = (this.countsByStep.get(key) ?? 0) + change
    if (count === 0) this.countsByStep.delete(key)
    else this.countsByStep.set(key, count)
  }
}

/** Returns the key of a task's step. */
export function createStepKey ({ jobId, step }: workers.TaskRef): string {
  return `${jobId}/${step}`
}
