/** Interface to a worker that runs tasks under a lease. An adapter implements it for the worker's protocol. */

/** Resources that a task takes, or that a worker has. */
export interface RunSize {
  /** Thousandths of a core. */
  cpuMilli: number
  memoryMb: number
  accelerators: number
}

/** A worker's report of itself. */
export interface WorkerReport {
  workerId: string
  /** Unix time at which this incarnation of the worker started, in milliseconds. */
  bornAtMs: number
  service: string
  total: RunSize
  /** Kind and rack of the worker, matched against the requirements of tasks. */
  labels: readonly string[]
  isDraining: boolean
  /** Increases with each report of one incarnation. */
  sequence: number
  /** Monotonic clock of the worker when it wrote the report, in milliseconds; undefined if the report has none. */
  clockMs?: number
}

/** One task of a job. */
export interface TaskRef {
  jobId: string
  step: number
  index: number
}

/** One start of a task. Run numbers of a task increase. */
export interface RunRef {
  task: TaskRef
  run: number
}

/** The worker addressed by a call, and the authority of its caller. */
export interface CallScope {
  workerId: string
  /** A worker refuses calls with a lower token than the highest it has seen. */
  fencingToken: number
}

/** Parameters of a start. */
export interface StartCall extends CallScope {
  ref: RunRef
  spec: string
  /** Time on the worker's clock at which it ends its runs unless the lease is renewed, in milliseconds. */
  leaseUntilMs: number
}

/** Why a worker did not start a run. */
export enum StartRefusal {
  /** A higher fencing token has been seen. */
  Fenced = 'fenced',
  /** A run with this number or a higher one has been stopped or has ended there. */
  Superseded = 'superseded',
  /** The lease had already expired on the worker's clock. */
  LeaseExpired = 'lease-expired',
  NoCapacity = 'no-room',
  /** The worker considers itself unhealthy and has not carried out the call. */
  Unhealthy = 'unhealthy',
  /** Another incarnation of the worker answered. */
  Replaced = 'replaced',
  Invalid = 'invalid'
}

/** Outcome of a start. */
export type StartOutcome =
  | { kind: 'started' }
  | { kind: 'refused', refusal: StartRefusal }
  /** The call may have been carried out, or may still be carried out later. */
  | { kind: 'unanswered', reason: string }

/** Parameters of a renewal: extends the lease of all runs on a worker and queries their state. */
export interface RenewCall extends CallScope {
  /** Number of the last end that the agent has recorded; the worker lists the later ones. */
  acknowledgedEnd: number
  /** New expiry of the lease on the worker's clock, in milliseconds. When absent, the lease is not extended. */
  leaseUntilMs?: number
  /** Longest time that the worker may wait for an end before it answers, in milliseconds. */
  waitMs: number
}

/** A run that has not ended on the worker. */
export interface RunningRun {
  ref: RunRef
  /** Completed share of the work, from 0 to 100. */
  percent: number
}

/** How a run ended on the worker. */
export enum EndCause {
  Done = 'done',
  Failed = 'failed',
  Stopped = 'stopped',
  LeaseExpired = 'lease-lapsed',
  /** Ended by the worker because of other members of the run's group. */
  GroupBroken = 'group-broken'
}

/** A run that has ended. */
export interface EndedRun {
  /** Increases by one with each end in one incarnation of the worker. */
  number: number
  ref: RunRef
  cause: EndCause
}

/** State of the runs on a worker. */
export interface WorkerRuns {
  bornAtMs: number
  /** Monotonic clock of the worker, in milliseconds. */
  clockMs: number
  running: RunningRun[]
  ended: EndedRun[]
}

/** Outcome of a renewal. */
export type RenewOutcome =
  | { kind: 'answered', runs: WorkerRuns }
  /** The worker has seen a higher fencing token. */
  | { kind: 'fenced' }
  /** Another incarnation of the worker answered; the runs of the earlier one are lost. */
  | { kind: 'replaced' }
  /** Nothing listens at the worker's address; its runs are lost. */
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

/** Returns a key that identifies a task within a process. */
export function taskKey (task: TaskRef): string {
  return `${task.jobId}/${task.step}/${task.index}`
}
