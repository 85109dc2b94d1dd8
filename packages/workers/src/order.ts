/** A task that an entry ordered. */
import type { RunSize, TaskRef } from './driver.ts'
import type { Age } from './clock.ts'

/** A task on its way through the agent. */
export interface TaskOrder {
  /** Life of the entry that ordered the task; its end is reported there. */
  owner: string
  task: TaskRef
  attempt: number
  spec: string
  size: RunSize
  estimatedMs: number
  /** Time since the order arrived. */
  age: Age
  /** Age from which the task must not start. */
  expiresAfterMs: number
}

/** How a task ended at this agent. */
export enum TaskEnd {
  Done = 'done',
  Failed = 'failed',
  /** Ended without a result and certain not to run here any more. */
  Lost = 'lost',
  /** Did not start here and won't. */
  NotStarted = 'not-started'
}

/** Until when an end must not be told, because the task might still run. */
export enum HoldBack {
  None = 'none',
  /** Until the next life of the worker has been asked what it runs. */
  UntilTakenOver = 'until-taken-over',
  /** Until the lease that the start carried has passed. */
  UntilLeaseEnds = 'until-lease-ends'
}

/** The end of a task. */
export interface TaskEnding {
  holdBack: HoldBack
  order: TaskOrder
  end: TaskEnd
  runMs: number
  reason: string
}
