/** The plan of a run: a trace, the fleet it meets and what happens to the fleet meanwhile. */
import type { TraceJob } from './trace.ts'

/** Named kinds of load. */
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

/** What a backend server does from a moment on. */
export enum ServerChange {
  /** Fails each task at once. */
  Fail = 'fail',
  /** Announces that it leaves. */
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
  /** The span in which demand exceeds capacity, when the profile has one. */
  loadPeak?: TimeSpan
  /** Tasks that run longer are long for the head-of-line measure, in milliseconds. */
  longRunMs?: number
  durationMs: number
}

/** Tells whether a submission has a task that counts as long in the plan. */
export function isLongJob (plan: LoadPlan, job: TraceJob): boolean {
  const longRunMs = plan.longRunMs
  return longRunMs !== undefined && job.tasks.some(task => task.runMs > longRunMs)
}

/** Returns the same plan without its long work. */
export function withoutLongWork (plan: LoadPlan): LoadPlan {
  return { ...plan, jobs: plan.jobs.filter(job => !isLongJob(plan, job)) }
}
