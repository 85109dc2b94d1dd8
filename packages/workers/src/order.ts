/** Tasks ordered by entries, and how they end. */
import type { RunSize, TaskRef } from './driver.ts'
import type { Age } from './clock.ts'

/** A task ordered by an entry. */
export interface TaskOrder {
  /** Incarnation of the entry that ordered the task; the end is reported to it. */
  owner: string
  task: TaskRef
  attempt: number
  /** Name of the queue to which the job was submitted. */
  queue: string
  spec: string
  size: RunSize
  /** Label that the worker must have. */
  requirement?: string
  estimatedMs: number
  /** Number of workers that have crashed while they ran the task. */
  crashes: number
  /** Time from its start for which the run keeps suspects of other jobs off the worker, so that another crash names the job, in milliseconds; 0 for a task that is not suspected of a crash. */
  observationMs: number
  /** True when the worker has to answer a query right before the start, because an earlier start of the task was under way to a worker that crashed. */
  checksWorker?: boolean
  /** Time since the order arrived. */
  age: Age
  /** Age after which the task must not start, in milliseconds. */
  expiresAfterMs: number
}

/** How a task ended at this agent. */
export enum TaskEnd {
  Done = 'done',
  Failed = 'failed',
  /** Ended without a result, and certain not to be running here any more. */
  Lost = 'lost',
  /** Did not start here and will not. */
  NotStarted = 'not-started'
}

/** Why an agent returns a task without a start. The worker's own refusals are a `StartRefusal`. */
export enum ReturnReason {
  NoCapacity = 'no room',
  /** The job's deadline has passed. */
  Expired = 'expired',
  /** The entry has not been heard for so long that it may have placed the task elsewhere. */
  OwnerLeaseExpired = 'owner lease expired',
  /** Another kind of worker has come since the entry chose this one. */
  LabelMissing = 'worker lacks the required label',
  /** A task of another job that is suspected of a crash is being observed. */
  SuspectRunning = 'another suspect runs',
  WorkerLeft = 'worker left',
  WorkerDraining = 'worker is draining',
  WorkerUnresponsive = 'worker does not answer',
  WorkerUnavailable = 'worker takes no runs',
  /** The operator has asked that nothing starts in the failure domain. */
  DomainEvacuated = 'domain evacuated',
  AgentStopping = 'agent stops'
}

/** The end of a task. */
export interface TaskEnding {
  /** Time for which the report waits, unless the next incarnation of the worker is taken over before, because the task might still be running; in milliseconds. */
  deferredForMs: number
  order: TaskOrder
  end: TaskEnd
  runMs: number
  reason: string
}
