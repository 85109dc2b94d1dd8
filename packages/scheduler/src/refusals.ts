/** Which jobs an entry refuses, when they arrive and while they wait. */
import type * as settings from '@egretvalve/settings'
import { type ArrivalState, canServe, expectedWaitMs, startLimitMs } from './admission.ts'
import type { Agents } from './agents.ts'
import { fitsSomewhere, ownCores, workAhead } from './fleetCapacity.ts'
import type { Job } from './job.ts'
import type { SpeedEstimate } from './speed.ts'

/** Time without any worker, as after a start of the whole system, in which jobs wait for the first one instead of being refused. */
const WORKER_WAIT_MS = 1_500

/** Why a job is refused, and the expected wait that its caller is told to stay away for. */
export interface Refusal {
  reason: string
  waitMs: number
}

/** What the decision looks at. */
export interface RefusalContext {
  timers: settings.Timers
  agents: Agents
  speeds: SpeedEstimate
  /** Jobs that have not ended. */
  open: ReadonlyMap<string, Job>
  /** Number of workers that take runs. */
  workerCount: () => number
  /** How far this process is behind its work, in milliseconds. */
  lagMs: () => number
}

/** Decides on refusals. */
export class Refusals {
  /** Time at which a worker was last known to take runs, or the start. */
  private workerSeenAtMs: number

  constructor (private readonly context: RefusalContext) {
    this.workerSeenAtMs = context.timers.nowMs()
  }

  /** Notes whether workers take runs now. */
  review (): void {
    if (this.context.workerCount() > 0) this.workerSeenAtMs = this.nowMs
  }

  /** Returns why a job that arrives is refused, or undefined when it is accepted. */
  findAtArrival (job: Job): Refusal | undefined {
    const { agents, speeds } = this.context
    if (this.context.workerCount() === 0) {
      const isWaiting = this.nowMs - this.workerSeenAtMs < WORKER_WAIT_MS
      return isWaiting ? undefined : { reason: 'no worker takes runs', waitMs: 0 }
    }
    const unplaceable = job.spec.steps.find(step => !fitsSomewhere(agents, job, step))
    if (unplaceable !== undefined) return { reason: 'no worker is large enough or has the label', waitMs: 0 }
    const state: ArrivalState = {
      workAhead: workAhead(this.context.open.values(), job, speeds),
      cores: ownCores(agents, job.terms.service),
      expectedMs: this.expectedMs(job),
      lagMs: this.context.lagMs(),
      deadlineInMs: job.deadlineMs,
      startLimitMs: this.startLimitOf(job)
    }
    return canServe(state) ? undefined : { reason: 'can not be served in useful time', waitMs: expectedWaitMs(state) }
  }

  /** Returns why a job of which nothing has started must not wait any longer, or undefined when it may. */
  findWhileWaiting (job: Job): Refusal | undefined {
    if (this.nowMs + this.expectedMs(job) > job.deadlineAtMs) return { reason: 'can not end before the deadline', waitMs: this.expectedWaitFor(job) }
    if (this.nowMs - job.arrivedAtMs > this.startLimitOf(job)) return { reason: 'no room in useful time', waitMs: this.expectedWaitFor(job) }
    return undefined
  }

  private get nowMs (): number {
    return this.context.timers.nowMs()
  }

  /** Expected time from the start of the tasks that wait to the end of the job. */
  private expectedMs (job: Job): number {
    return this.context.speeds.expectedMs(job.remainingEstimateMs())
  }

  /** Time from its arrival by which a job must have started. */
  private startLimitOf (job: Job): number {
    return startLimitMs(job.deadlineMs, job.uselessAtMs - job.arrivedAtMs, this.expectedMs(job))
  }

  private expectedWaitFor (job: Job): number {
    const { open, agents, speeds } = this.context
    return workAhead(open.values(), job, speeds) / Math.max(1, ownCores(agents, job.terms.service))
  }
}
