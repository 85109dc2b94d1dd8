/** The interface to a worker that runs tasks under a lease. An adapter implements it for the worker's protocol. */

/** What a task takes of a worker, or what a worker has. */
export interface RunSize {
  /** Thousandths of a core. */
  cpuMilli: number
  memoryMb: number
  accelerators: number
}

/** A worker as it reports itself. */
export interface WorkerReport {
  workerId: string
  /** Unix time at which this life of the worker began, in milliseconds. */
  bornAtMs: number
  service: string
  total: RunSize
  /** Kind and rack, against which requirements are matched. */
  labels: readonly string[]
  isDraining: boolean
  /** Rises with each report of one life. */
  sequence: number
}

/** One task of a job. */
export interface TaskRef {
  jobId: string
  step: number
  index: number
}

/** One start of a task. Run numbers of a task rise. */
export interface RunRef {
  task: TaskRef
  run: number
}

/** The worker that a call is meant for, and the authority of its caller. */
export interface CallScope {
  workerId: string
  /** A worker obeys no call with a lower token than the highest it has seen. */
  fencingToken: number
}

/** A start. */
export interface StartCall extends CallScope {
  ref: RunRef
  spec: string
  /** Time on the worker's clock until which it holds its runs unless the lease is renewed. */
  leaseUntilMs: number
}

/** Why a worker did not start a run. */
export enum StartRefusal {
  /** A higher fencing token has been seen. */
  Fenced = 'fenced',
  /** A run with this number or a higher one has been stopped or has ended there. */
  Superseded = 'superseded',
  /** The lease had passed on the worker's clock. */
  LeaseExpired = 'lease-expired',
  NoRoom = 'no-room',
  /** The worker considers itself unhealthy; it has done nothing. */
  Unhealthy = 'unhealthy',
  /** Another life of the worker answered. */
  Replaced = 'replaced',
  Invalid = 'invalid'
}

/** How a start ended. */
export type StartOutcome =
  | { kind: 'started' }
  | { kind: 'refused', refusal: StartRefusal }
  /** The call may have been carried out, or may be carried out later. */
  | { kind: 'unanswered', reason: string }

/** A renewal of the lease of all runs on a worker, and the question what has become of them. */
export interface RenewCall extends CallScope {
  /** Number of the last end that has been taken note of. */
  acknowledgedEnd: number
  /** Absent: asks without extending the lease. */
  leaseUntilMs?: number
  /** Longest time for which the worker may wait for an end before it answers. */
  waitMs: number
}

/** A run that is present on the worker. */
export interface RunningRun {
  ref: RunRef
  /** Share of the work that is done, from 0 to 100. */
  percent: number
}

/** How a run ended on the worker. */
export enum EndCause {
  Done = 'done',
  Failed = 'failed',
  Stopped = 'stopped',
  LeaseLapsed = 'lease-lapsed',
  /** Ended because of other members of its group. */
  GroupBroken = 'group-broken'
}

/** A run that has ended. */
export interface EndedRun {
  /** Rises by one with each end of one life of the worker. */
  number: number
  ref: RunRef
  cause: EndCause
}

/** What a worker holds. */
export interface WorkerRuns {
  bornAtMs: number
  /** Steady clock of the worker. */
  clockMs: number
  running: RunningRun[]
  ended: EndedRun[]
}

/** How a renewal ended. */
export type RenewOutcome =
  | { kind: 'answered', runs: WorkerRuns }
  /** The worker obeys a higher fencing token. */
  | { kind: 'fenced' }
  /** Another life of the worker answered: whatever ran in the earlier one is gone. */
  | { kind: 'replaced' }
  /** Nothing listens at the worker's address: whatever ran there is gone. */
  | { kind: 'down', reason: string }
  | { kind: 'unanswered', reason: string }

/** Calls to one worker. No method throws. */
export interface WorkerDriver {
  start: (call: StartCall) => Promise<StartOutcome>
  /** Returns whether the worker acknowledged the stop. */
  stop: (scope: CallScope, ref: RunRef) => Promise<boolean>
  renew: (call: RenewCall) => Promise<RenewOutcome>
  close: () => Promise<void>
}

/** Returns the text that identifies a task within a process. */
export function taskKey (task: TaskRef): string {
  return `${task.jobId}/${task.step}/${task.index}`
}
