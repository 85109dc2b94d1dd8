/** Decides which jobs an entry refuses, at their arrival and while they wait. */
import type * as settings from '@egretvalve/settings'
import { type ArrivalState, canServe, expectedWaitMs, latestUsefulStartMs, MAX_WAIT_SHARE, RECOVERY_WAIT_SHARE } from './admission.ts'
import type { Agents } from './agents.ts'
import type { Containment } from './containment.ts'
import { fitsSomewhere, ownCores, workAheadCoreMs } from './fleetCapacity.ts'
import { FleetGrowth } from './fleetGrowth.ts'
import type { Job } from './job.ts'
import type { SpeedEstimate } from './speed.ts'

/** Expected wait while the workers of a contained queue are down, in milliseconds: crashed workers are back after some seconds. */
const CRASHED_WORKER_WAIT_MS = 3_000

/** Reason for the refusal of a job whose claim has not been granted. */
export const UNCONFIRMED_REASON = 'no other entry has confirmed in useful time that the job may run here'

/** Why a job is refused, and the expected wait from which the caller's retry time is computed. */
export interface Refusal {
  reason: string
  waitMs: number
}

/** Dependencies of the decisions. */
export interface RefusalContext {
  timers: settings.Timers
  agents: Agents
  speeds: SpeedEstimate
  containment: Containment
  /** Jobs that have not ended. */
  open: ReadonlyMap<string, Job>
  /** Returns the number of workers that accept runs. */
  workerCount: () => number
  /** Returns the event loop lag of this process, in milliseconds. */
  lagMs: () => number
}

export class Refusals {
  private readonly growth: FleetGrowth

  constructor (private readonly context: RefusalContext) {
    this.growth = new FleetGrowth(context.timers.nowMs())
  }

  /** Records the numbers of linked agents and of workers that accept runs now, also in evacuated failure domains: no others are expected in place of these. */
  recordFleetSize (): void {
    const size = { agents: 0, workers: 0 }
    for (const { port, view } of this.context.agents.all) {
      if (port === undefined) continue
      size.agents++
      if (view.acceptsRuns) size.workers++
    }
    this.growth.record(this.nowMs, size)
  }

  /** True while more workers are expected to appear than this entry sees, as after a start of the whole system. */
  get isFleetGrowing (): boolean {
    return this.growth.isGrowing(this.nowMs)
  }

  /** Returns why a job that arrives is refused, or undefined when it is accepted. */
  findAtArrival (job: Job): Refusal | undefined {
    this.recordFleetSize()
    if (this.isFleetGrowing) return undefined
    if (this.context.workerCount() === 0) return { reason: 'no worker takes runs', waitMs: 0 }
    if (!this.isPlaceable(job)) return { reason: 'no worker is large enough or has the label', waitMs: 0 }
    const state: ArrivalState = {
      workAheadCoreMs: this.workAheadOf(job),
      cores: this.coresFor(job),
      expectedMs: this.expectedMs(job),
      lagMs: this.context.lagMs(),
      deadlineInMs: job.deadlineAtMs - this.nowMs,
      latestUsefulStartMs: this.latestUsefulStartOf(job) - (this.nowMs - job.arrivedAtMs)
    }
    if (canServe(state)) return undefined
    return this.findContained(job) ?? { reason: 'can not be served in useful time', waitMs: expectedWaitMs(state) }
  }

  /** Returns why a waiting job, of which nothing has started, is refused, or undefined while it may wait. */
  findWhileWaiting (job: Job): Refusal | undefined {
    const { agents } = this.context
    const contained = this.findContained(job)
    if (contained !== undefined) return contained
    if (agents.hasEvacuatedDomain && !this.isFleetGrowing && !this.isPlaceable(job)) return { reason: 'the workers that fit are in an evacuated failure domain', waitMs: 0 }
    if (this.nowMs + this.expectedMs(job) > job.deadlineAtMs) return { reason: job.hasClaim ? 'can not end before the deadline' : UNCONFIRMED_REASON, waitMs: this.expectedWaitFor(job) }
    if (this.nowMs - job.arrivedAtMs > this.latestUsefulStartOf(job)) return { reason: job.hasClaim ? 'no room in useful time' : UNCONFIRMED_REASON, waitMs: this.expectedWaitFor(job) }
    return undefined
  }

  private isPlaceable (job: Job): boolean {
    return job.spec.steps.every(step => fitsSomewhere(this.context.agents, job, step))
  }

  /** Returns a refusal while the job's queue is contained and all workers that it may use are down. */
  private findContained (job: Job): Refusal | undefined {
    const isServable = !this.context.containment.isContained(job.terms.queue) || this.coresFor(job) > 0
    return isServable ? undefined : { reason: 'the tasks of the queue crash its workers', waitMs: CRASHED_WORKER_WAIT_MS }
  }

  private get nowMs (): number {
    return this.context.timers.nowMs()
  }

  /** Returns the expected time from the start of the waiting tasks to the end of the job. */
  private expectedMs (job: Job): number {
    return this.context.speeds.expectedMs(job.remainingEstimateMs())
  }

  /** Returns the time from the arrival to the latest useful start. */
  private latestUsefulStartOf (job: Job): number {
    // A caller that is refused during a recovery comes back too late for its latency objective, so its job may wait longer.
    const maxWaitShare = this.growth.hasGrownSince(job.arrivedAtMs) ? RECOVERY_WAIT_SHARE : MAX_WAIT_SHARE
    return latestUsefulStartMs(job.deadlineMs, job.usefulUntilMs - job.arrivedAtMs, this.expectedMs(job), maxWaitShare)
  }

  private expectedWaitFor (job: Job): number {
    return this.workAheadOf(job) / Math.max(1, this.coresFor(job))
  }

  private workAheadOf (job: Job): number {
    const { open, speeds, containment } = this.context
    const isContained = containment.isContained(job.terms.queue)
    return workAheadCoreMs(open.values(), job, speeds, other => containment.isContained(other.terms.queue) === isContained)
  }

  private coresFor ({ terms }: Job): number {
    return ownCores(this.context.agents, terms.service, this.context.containment.filterFor(terms.queue, terms.service))
  }
}
