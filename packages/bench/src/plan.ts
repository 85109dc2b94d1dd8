/** The plan of a run: a trace, the fleet it is run on and the changes of the fleet during the run. */
import type { TraceJob } from './trace.ts'

/** Names of the load profiles. */
export enum ProfileName {
  Shop = 'shop',
  Market = 'market',
  MixedLong = 'mixed-long',
  Resubmit = 'resubmit',
  Stragglers = 'stragglers',
  BadServers = 'bad-servers',
  CancelWave = 'cancel-wave',
  WrongSizes = 'wrong-sizes',
  Drain = 'drain'
}

/** Size of the fleet under test. */
export interface FleetSize {
  entries: number
  servers: number
  /** Slots of each backend server. */
  slots: number
}

/** Changes of the behaviour of a backend server. */
export enum ServerChange {
  /** Fails each task immediately. */
  Fail = 'fail',
  /** Withdraws its announcement. */
  Leave = 'leave',
  /** Announces itself again. */
  Return = 'return'
}

/** A change of one backend server during the run. */
export interface ServerEvent {
  atMs: number
  server: number
  change: ServerChange
}

/** A span of time in milliseconds from the start of the trace. */
export interface TimeSpan {
  fromMs: number
  toMs: number
}

/** A reproducible experiment. */
export interface LoadPlan {
  name: string
  seed: number
  fleet: FleetSize
  jobs: TraceJob[]
  events: ServerEvent[]
  /** Span in which demand exceeds capacity, if the profile has one. */
  loadPeak?: TimeSpan
  /** Tasks with a run time above this bound count as long in the head-of-line measure, in milliseconds. */
  longRunMs?: number
  durationMs: number
}

/** Returns whether a submission contains a task that counts as long in the plan. */
export function isLongJob (plan: LoadPlan, job: TraceJob): boolean {
  const longRunMs = plan.longRunMs
  return longRunMs !== undefined && job.tasks.some(task => task.runMs > longRunMs)
}

/** Returns a copy of the plan without long jobs. */
export function withoutLongWork (plan: LoadPlan): LoadPlan {
  return { ...plan, jobs: plan.jobs.filter(job => !isLongJob(plan, job)) }
}
