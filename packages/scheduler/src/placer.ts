/** Places tasks on the workers of connected agents. */
import type * as placement from '@egretvalve/placement'
import type * as settings from '@egretvalve/settings'
import * as workers from '@egretvalve/workers'
import type { AgentRecord, Agents } from './agents.ts'
import type { Containment } from './containment.ts'
import type { CrashRecords } from './crashRecords.ts'
import { type Candidate, chooseForSuspect, chooseReserved, chooseWorker, sampleCandidates, sampleSize } from './workerChoice.ts'
import type { SchedulerOptions } from './defaults.ts'
import { events } from './events.ts'
import { type Job, type Task, TaskPhase } from './job.ts'
import type { StepSpec } from './model.ts'
import type { RunCounts } from './runCounts.ts'
import { createStepKey, type SentTask } from './sentTasks.ts'
import type { SpeedEstimate } from './speed.ts'
import type { StopOrders } from './stopOrders.ts'
import type { UnconfirmedStarts } from './unconfirmedStarts.ts'

/** Dependencies that the placer shares with its scheduler. */
export interface PlacerContext {
  timers: settings.Timers
  log: settings.Log
  options: SchedulerOptions
  agents: Agents
  speeds: SpeedEstimate
  ejection: placement.Ejection
  crashRecords: CrashRecords
  unconfirmedStarts: UnconfirmedStarts
  containment: Containment
  stopOrders: StopOrders
  runCounts: RunCounts
  failureDomain: string
  /** Returns a number from 0 to 1. */
  random: () => number
  /** Returns the number of entries that share the workers. */
  entryCount: () => number
}

const NONE_RESERVED: ReadonlySet<string> = new Set()

/** Chooses workers and sends tasks. */
export class Placer {
  /** Number of tasks sent since the process started. */
  sentCount = 0
  /** Number of steps of jobs with tasks that have waited for their limit on each worker. */
  limitedStepCount = 0

  constructor (private readonly context: PlacerContext) {}

  /** Returns true when another worker has free capacity for a task that an agent holds. */
  hasAlternative (job: Job, task: Task): boolean {
    const step = job.stepOf(task)
    const others = this.filterFor(job, task, this.findCandidates(job, task.ref.step, NONE_RESERVED)).filter(each => each.agentId !== task.agentId)
    return chooseWorker(others, step, step.estimatedMs, this.context.options) !== undefined
  }

  /** Returns true while some worker is not reserved for a task earlier in the dispatch pass. When all are reserved, later jobs need not be tried. */
  hasUnreserved (reserved: ReadonlySet<string>): boolean {
    return reserved.size < this.context.agents.count
  }

  /** Sends the waiting tasks of a job for which there is free capacity. `reserved` holds the agents whose workers are reserved for more urgent tasks. */
  place (job: Job, reserved: Set<string>): void {
    const placed: string[] = []
    this.placeTasks(job, reserved, placed)
    this.logPlaced(job, placed)
  }

  /** Places waiting tasks and adds a description of each to `placed`: step, index, attempt, agent, its free cores, its speed factor, the milliseconds since its last message and, for a further attempt, how the one before ended. */
  private placeTasks (job: Job, reserved: Set<string>, placed: string[]): void {
    let step = -1
    let candidates: Candidate[] = []
    let sample: Candidate[] = []
    let isStepBlocked = false
    let isStepAtLimit = false
    for (const task of job.waitingTasks()) {
      const holderId = this.context.stopOrders.findHolder(task.ref)
      if (task.ref.step === step && isStepBlocked && holderId === undefined) {
        task.isAtLimit = isStepAtLimit
        continue
      }
      if (this.isSuspect(task) || this.awaitsVerdict(task)) continue
      if (task.ref.step !== step) {
        step = task.ref.step
        isStepBlocked = false
        candidates = this.findCandidates(job, step, reserved)
        // No worker is left for the other steps either.
        if (candidates.length === 0 && job.stepOf(task).requirement === undefined) break
        sample = sampleCandidates(candidates, job.spec.steps[step]!, sampleSize(candidates.length, this.context.entryCount()), this.context.random)
      }
      if (holderId !== undefined && !candidates.some(({ agentId }) => agentId === holderId)) continue
      const hasWorker = this.placeTask(job, task, sample, candidates, reserved)
      if (task.phase === TaskPhase.Sent) placed.push(this.describePlacement(task))
      else task.isAtLimit = holderId === undefined && this.isHeldByLimit(job, task, candidates)
      if (holderId !== undefined) continue
      isStepBlocked = !hasWorker
      isStepAtLimit = task.isAtLimit
    }
    this.recordLimited(job)
  }

  /** Returns true if all workers have reached the limit of a task's step, and one of them has free capacity for the task. */
  private isHeldByLimit (job: Job, task: Task, candidates: readonly Candidate[]): boolean {
    const step = job.stepOf(task)
    if (step.maxPerWorker === undefined) return false
    const isWithinLimit = this.createLimitCheck(job, task)
    return !candidates.some(({ agentId }) => isWithinLimit(agentId)) && candidates.some(({ free }) => workers.fits(free, step.size))
  }

  /** Counts and logs each step once whose tasks wait for its limit. */
  private recordLimited (job: Job): void {
    job.spec.steps.forEach(({ maxPerWorker }, step) => {
      if (maxPerWorker === undefined || job.limitedSteps.has(step)) return
      const tasks = job.tasks[step]!.filter(task => task.phase === TaskPhase.Waiting && task.isAtLimit).length
      if (tasks === 0) return
      job.limitedSteps.add(step)
      this.limitedStepCount++
      this.context.log.event(events.TasksAtLimit, { jobId: job.id, step, tasks, maxPerWorker, ageMs: Math.round(this.nowMs - job.arrivedAtMs) })
    })
  }

  /**
   * Sends the waiting tasks of a job that are suspected of a crash to workers without suspects of other jobs. Those that need not be apart share
   * one, so that a crash takes few workers. Without such a worker they wait, and reserve nothing.
   */
  placeSuspects (job: Job): void {
    if (this.hasNoSuspects) return
    const placed: string[] = []
    const sharedIds = new Set<string>()
    let number = -1
    let candidates: Candidate[] = []
    for (const task of job.waitingTasks()) {
      if (!this.isSuspect(task) || this.awaitsVerdict(task)) continue
      const step = job.stepOf(task)
      if (task.ref.step !== number) {
        number = task.ref.step
        candidates = this.findCandidates(job, number, NONE_RESERVED, true)
      }
      const chosen = chooseForSuspect(this.filterFor(job, task, candidates), step, sharedIds)
      if (chosen === undefined) {
        task.isAtLimit = this.isHeldByLimit(job, task, candidates)
        continue
      }
      this.send(job, task, chosen)
      Object.assign(chosen, this.createCandidate(this.context.agents.get(chosen.agentId)!, step))
      sharedIds.add(chosen.agentId)
      placed.push(this.describePlacement(task))
    }
    this.recordLimited(job)
    this.logPlaced(job, placed)
  }

  private get hasNoSuspects (): boolean {
    return this.context.crashRecords.isEmpty && this.context.unconfirmedStarts.isEmpty
  }

  private isSuspect (task: Task): boolean {
    return this.observationMsOf(task) > 0
  }

  private observationMsOf ({ ref }: Task): number {
    return Math.max(this.context.crashRecords.observationMsOf(ref), this.context.unconfirmedStarts.observationMsOf(ref))
  }

  private awaitsVerdict (task: Task): boolean {
    return this.context.crashRecords.awaitsVerdict(task.ref)
  }

  /** Returns true while a worker runs a task that is suspected of a crash, or is about to start one. */
  private hasSuspect (agent: AgentRecord): boolean {
    if (agent.view.hasSuspect) return true
    if (this.hasNoSuspects) return false
    for (const { task, observationMs } of agent.sent.values()) {
      if (this.nowMs - task.sentAtMs < observationMs) return true
    }
    return false
  }

  private logPlaced (job: Job, placed: readonly string[]): void {
    if (placed.length > 0) this.context.log.event(events.TasksPlaced, { jobId: job.id, tasks: placed.join(' '), ageMs: Math.round(this.nowMs - job.arrivedAtMs) })
  }

  private describePlacement (task: Task): string {
    const agent = this.context.agents.get(task.agentId!)!
    const freeCores = Math.round(agent.view.free.cpuMilli / 1_000)
    return `${task.ref.step}.${task.ref.index}#${task.attempt}@${agent.agentId},free=${freeCores},speed=${this.context.speeds.factorOf(agent.agentId).toFixed(2)},age=${Math.round(agent.port?.sinceLastMessageMs() ?? 0)}${task.lastEnd === undefined ? '' : `,after=${task.lastEnd}`}`
  }

  /** Sends a task to a worker of the sample, else to any worker with free capacity, else reserves the worker with the most free processors. Returns false if no worker may get the task or be reserved for it. */
  private placeTask (job: Job, task: Task, sample: Candidate[], candidates: Candidate[], reserved: Set<string>): boolean {
    const step = job.stepOf(task)
    const usable = this.filterFor(job, task, candidates)
    const expectedMs = this.context.speeds.expectedMs(step.estimatedMs)
    const chosen = chooseWorker(this.filterFor(job, task, sample), step, expectedMs, this.context.options) ?? chooseWorker(usable, step, expectedMs, this.context.options)
    if (chosen !== undefined) {
      this.send(job, task, chosen)
      Object.assign(chosen, this.createCandidate(this.context.agents.get(chosen.agentId)!, step), { hasSibling: true })
      return true
    }
    const toReserve = chooseReserved(usable)
    if (toReserve === undefined) return false
    reserved.add(toReserve.agentId)
    candidates.splice(candidates.indexOf(toReserve), 1)
    return true
  }

  /** Lists the workers that are eligible for tasks of a step and not reserved for others. */
  private findCandidates (job: Job, number: number, reserved: ReadonlySet<string>, isSuspect = false): Candidate[] {
    const step = job.spec.steps[number]!
    const candidates: Candidate[] = []
    const mayUse = this.context.containment.filterFor(job.terms.queue, job.terms.service, isSuspect)
    for (const agent of this.context.agents.all) {
      if (!reserved.has(agent.agentId) && mayUse(agent) && this.isEligible(agent, job, step)) candidates.push(this.createCandidate(agent, step))
    }
    return candidates
  }

  private isEligible (agent: AgentRecord, job: Job, step: StepSpec): boolean {
    if (agent.port === undefined || agent.view.service !== job.terms.service || !this.context.agents.acceptsRuns(agent)) return false
    if (agent.port.sinceLastMessageMs() > this.context.options.suspectAfterMs) return false
    if (step.requirement !== undefined && !agent.view.hasLabel(step.requirement)) return false
    return this.context.ejection.accepts(agent.agentId, this.nowMs)
  }

  /** Returns the workers that may get the task; every way to a worker goes through here. Workers that the task avoids are returned only when there is no other. */
  private filterFor (job: Job, task: Task, candidates: readonly Candidate[]): Candidate[] {
    const holderId = this.context.stopOrders.findHolder(task.ref)
    const isWithinLimit = this.createLimitCheck(job, task)
    const allowed = candidates.filter(({ agentId }) => (holderId === undefined || agentId === holderId) && this.context.ejection.accepts(agentId, this.nowMs) && isWithinLimit(agentId))
    if (holderId !== undefined || task.avoided.size === 0) return allowed
    const preferred = allowed.filter(each => !task.avoided.has(each.agentId))
    return preferred.length > 0 ? preferred : allowed
  }

  /** Returns a test of the workers that hold fewer other tasks of the step than its limit, also by runs whose end is not known. */
  private createLimitCheck (job: Job, task: Task): (agentId: string) => boolean {
    const { maxPerWorker } = job.stepOf(task)
    if (maxPerWorker === undefined) return () => true
    const stepKey = createStepKey(task.ref)
    const key = workers.taskKey(task.ref)
    return agentId => this.context.agents.get(agentId)!.sent.countSiblings(stepKey, key) < maxPerWorker
  }

  private createCandidate (agent: AgentRecord, step: StepSpec): Candidate {
    return {
      agentId: agent.agentId,
      free: agent.view.free,
      usedShare: agent.view.usedShare,
      speedFactor: this.context.speeds.factorOf(agent.agentId),
      hasDataRack: step.dataRack !== undefined && agent.view.hasLabel(step.dataRack),
      isOwnDomain: agent.view.failureDomain === this.context.failureDomain,
      hasSibling: false,
      hasSuspect: this.hasSuspect(agent)
    }
  }

  private send (job: Job, task: Task, chosen: Candidate): void {
    const agent = this.context.agents.get(chosen.agentId)!
    task.attempt++
    job.setPhase(task, TaskPhase.Sent)
    task.isAtLimit = false
    task.agentId = agent.agentId
    task.sentAtMs = this.nowMs
    job.recordSent()
    this.sentCount++
    const key = workers.taskKey(task.ref)
    // The agent stops an earlier run of the task itself before it starts this one.
    const earlier = agent.sent.get(key)
    this.context.stopOrders.withdraw(earlier)
    if (earlier === undefined) this.context.runCounts.add(task.ref.jobId)
    const sent: SentTask = { job, task, attempt: task.attempt, observationMs: this.observationMsOf(task), port: agent.port! }
    agent.sent.set(key, sent)
    this.context.ejection.recordSent(agent.agentId)
    this.sendOrder(agent, sent)
  }

  /** Sends a task again, under the same attempt, on the link that has replaced the one which lost its order. */
  sendAgain (agent: AgentRecord, sent: SentTask): void {
    sent.port = agent.port!
    this.sendOrder(agent, sent)
  }

  private sendOrder (agent: AgentRecord, { job, task, observationMs, port }: SentTask): void {
    const { crashRecords, unconfirmedStarts } = this.context
    agent.view.recordSent(job.stepOf(task).size)
    port.sendTask(job, task, job.deadlineAtMs - this.nowMs, { crashes: crashRecords.crashesOf(task.ref), observationMs, checksWorker: unconfirmedStarts.has(task.ref) })
  }

  private get nowMs (): number {
    return this.context.timers.nowMs()
  }
}
