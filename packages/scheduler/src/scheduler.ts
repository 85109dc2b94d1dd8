/** Accepts jobs, places their tasks on workers, and ends each job once. */
import * as placement from '@egretvalve/placement'
import * as protocol from '@egretvalve/protocol'
import type * as settings from '@egretvalve/settings'
import * as workers from '@egretvalve/workers'
import { retryAfterMs } from './admission.ts'
import { type AgentPort, type AgentRecord, Agents } from './agents.ts'
import { AttemptNumbers } from './attemptNumbers.ts'
import { CancelledJobs } from './cancelledJobs.ts'
import { Containment } from './containment.ts'
import { CrashRecords } from './crashRecords.ts'
import { DEFAULT_SCHEDULER, type SchedulerOptions } from './defaults.ts'
import { DemandNotifier, type QueuedJob } from './demandNotifier.ts'
import { events } from './events.ts'
import { Job, TaskPhase } from './job.ts'
import { estimatedWorkCoreMs, type JobOutcome, type JobSpec, type JobTerms } from './model.ts'
import { compareJobs } from './order.ts'
import { Placer } from './placer.ts'
import { Refusals, UNCONFIRMED_REASON } from './refusals.ts'
import type { SentTask } from './sentTasks.ts'
import { isWorthMoving, type SlowRun } from './slowRuns.ts'
import { RunCounts } from './runCounts.ts'
import { SpeedEstimate } from './speed.ts'
import { type HeldTask, StopOrders } from './stopOrders.ts'
import { UnconfirmedStarts } from './unconfirmedStarts.ts'
import { recordOutcome } from './workerOutcomes.ts'
import type { ReportedLoad } from './workerView.ts'

/** Claims on jobs, of which one entry at a time holds each. */
export interface ClaimPort {
  /** Claims a job whose runs will have ended in `validForMs` milliseconds. Returns true if it is granted already; otherwise `handleClaimGranted` follows. */
  claim: (jobId: string, validForMs: number) => boolean
  /** Ends the claim on a job of which nothing runs any more. Ignored without a claim. */
  release: (jobId: string, hasSucceeded: boolean) => void
}

/** Dependencies of the scheduler. */
export interface SchedulerServices {
  timers: settings.Timers
  log: settings.Log
  options?: SchedulerOptions
  /** Returns a random number from 0 to 1; used for sampling workers and for the jitter of retry times. */
  random: () => number
  failureDomain: string
  /** Returns the event loop lag of this process, in milliseconds. */
  lagMs?: () => number
  /** Returns the number of entries that share the workers. */
  entryCount?: () => number
  /** Claims on jobs. Without it, this is the only entry. */
  claims?: ClaimPort
  /** Called for each job that has ended or was refused, with the time since its arrival in milliseconds. */
  onEnded?: (outcome: JobOutcome, durationMs: number) => void
}

/** End of a task as reported by an agent. */
export interface ReportedEnd {
  ref: workers.TaskRef
  attempt: number
  end: workers.TaskEnd
  runMs: number
  reason: string
}

/** Counters since the process started. Ended jobs are counted by the kind of their outcome. */
export interface SchedulerCounters {
  accepted: number
  refused: number
  succeeded: number
  failed: number
  expired: number
  abandoned: number
  cancelled: number
  /** Jobs that failed because workers crashed under one of their tasks. They are counted as failed too. */
  givenUp: number
  moves: number
  /** Steps with tasks that have waited for their limit on each worker, beside workers with free capacity. */
  limitedSteps: number
  /** Jobs whose callers left right after tasks were sent. */
  lateRequests: number
  /** Runs that went on after their stop had been ordered, or that were unknown here, and were stopped later. */
  staleRunsStopped: number
}

/** Schedules the jobs of one entry. */
export class Scheduler {
  private readonly counts = { accepted: 0, refused: 0, succeeded: 0, failed: 0, expired: 0, abandoned: 0, cancelled: 0, givenUp: 0, moves: 0, lateRequests: 0 }
  private readonly options: SchedulerOptions
  /** Jobs that have not ended, by id. */
  private readonly open = new Map<string, Job>()
  /** Ended jobs by id, oldest end first, retained so that a resubmission gets their outcome. */
  private readonly ended = new Map<string, Job>()
  private readonly cancelledJobs: CancelledJobs
  private readonly attemptNumbers: AttemptNumbers
  private readonly agents = new Agents()
  private readonly speeds: SpeedEstimate
  private readonly ejection: placement.Ejection
  private readonly crashRecords: CrashRecords
  private readonly unconfirmedStarts: UnconfirmedStarts
  private readonly containment: Containment
  private readonly placer: Placer
  private readonly demandNotifier: DemandNotifier
  private readonly refusals: Refusals
  private readonly stopOrders: StopOrders
  private readonly runCounts = new RunCounts()
  private readonly tick: settings.TimerHandle
  /** Time of the last periodic check. */
  private checkedAtMs: number
  private isDispatchScheduled = false

  constructor (private readonly services: SchedulerServices) {
    this.options = services.options ?? DEFAULT_SCHEDULER
    this.checkedAtMs = services.timers.nowMs()
    this.speeds = new SpeedEstimate(services.timers)
    this.cancelledJobs = new CancelledJobs(services.timers, this.options.cancelRetentionMs)
    this.attemptNumbers = new AttemptNumbers(services.timers)
    this.ejection = new placement.Ejection(placement.DEFAULT_EJECTION, change => { this.logEjectionChange(change) })
    this.crashRecords = new CrashRecords(services.timers)
    this.unconfirmedStarts = new UnconfirmedStarts(services.timers)
    this.containment = new Containment(services.timers, this.agents, (queue, isContained) => { services.log.event(isContained ? events.QueueContained : events.QueueReleased, { queue }) })
    this.demandNotifier = new DemandNotifier(services.random)
    this.stopOrders = new StopOrders({ timers: services.timers, log: services.log, repeatMs: this.options.stopRepeatMs })
    this.placer = new Placer({
      timers: services.timers,
      log: services.log,
      options: this.options,
      agents: this.agents,
      speeds: this.speeds,
      ejection: this.ejection,
      crashRecords: this.crashRecords,
      unconfirmedStarts: this.unconfirmedStarts,
      containment: this.containment,
      stopOrders: this.stopOrders,
      runCounts: this.runCounts,
      failureDomain: services.failureDomain,
      random: services.random,
      entryCount: () => services.entryCount?.() ?? 1
    })
    this.refusals = new Refusals({ timers: services.timers, agents: this.agents, speeds: this.speeds, containment: this.containment, open: this.open, workerCount: () => this.workerCount, lagMs: () => services.lagMs?.() ?? 0 })
    this.tick = services.timers.every(this.options.tickMs, () => { this.runPeriodicChecks() })
  }

  get counters (): SchedulerCounters {
    return { ...this.counts, limitedSteps: this.placer.limitedStepCount, staleRunsStopped: this.stopOrders.staleCount }
  }

  /** Number of tasks sent since the process started. */
  get sentCount (): number {
    return this.placer.sentCount
  }

  /** Number of jobs that have not ended. */
  get openCount (): number {
    return this.open.size
  }

  /** Number of open jobs of which no task has started, by service. */
  countPending (service: string): number {
    let count = 0
    for (const job of this.open.values()) count += !job.mayHaveStarted && job.terms.service === service ? 1 : 0
    return count
  }

  /** Number of workers with a connected agent that accept runs. */
  get workerCount (): number {
    let count = 0
    for (const agent of this.agents.all) count += this.agents.acceptsRuns(agent) ? 1 : 0
    return count
  }

  /** True while more workers are expected to appear than are connected, as after a start of the whole system. */
  get isFleetGrowing (): boolean {
    return this.refusals.isFleetGrowing
  }

  /** Number of connected workers in evacuated failure domains. */
  get evacuatedWorkerCount (): number {
    let count = 0
    for (const agent of this.agents.all) count += agent.port !== undefined && this.agents.isEvacuated(agent) ? 1 : 0
    return count
  }

  stop (): void {
    this.tick.cancel()
  }

  find (jobId: string): Job | undefined {
    return this.open.get(jobId) ?? this.ended.get(jobId)
  }

  /**
   * Accepts or refuses a job. A resubmission of a job that is open, has succeeded or has failed shares the outcome of the first
   * submission. A job that was abandoned because its caller's connection broke, or that expired, runs again; its earlier runs
   * were stopped when it ended. A job that a caller has cancelled ends at once. `deadlineMs` counts from the time at which the request reached this VM, `waitedMs` ago.
   */
  submit (spec: JobSpec, terms: JobTerms, deadlineMs: number, waitedMs = 0): Job {
    const known = this.find(spec.jobId)
    if (known !== undefined && !isRepeatable(known)) {
      this.services.log.event(events.JobResubmitted, { jobId: spec.jobId, outcome: known.outcome?.kind ?? 'open' })
      return known
    }
    const job = new Job(spec, terms, deadlineMs, this.nowMs, new workers.Age(this.services.timers), known?.lastAttempt ?? this.attemptNumbers.lastOf(spec.jobId), waitedMs)
    if (this.cancelledJobs.has(job.id)) {
      this.end(job, { kind: 'cancelled' }, 'cancelled by a caller before')
      return job
    }
    const givenUp = job.tasks.flat().find(task => this.crashRecords.isGivenUp(task.ref))
    if (givenUp !== undefined) {
      this.giveUp(job, givenUp.ref)
      return job
    }
    this.containment.recordWork(terms.queue, estimatedWorkCoreMs(spec.steps))
    const refusal = this.refusals.findAtArrival(job)
    if (refusal !== undefined) {
      this.refuse(job, refusal.reason, refusal.waitMs)
      return job
    }
    this.ended.delete(job.id)
    this.open.set(job.id, job)
    this.counts.accepted++
    job.advance()
    this.services.log.event(events.JobAccepted, { jobId: job.id, service: terms.service, priority: terms.priority, tasks: spec.steps.reduce((sum, step) => sum + step.count, 0), estimatedMs: job.remainingEstimateMs(), dueInMs: Math.round(job.dueAtMs - this.nowMs), deadlineMs, open: this.openCount, workers: this.workerCount, targetLatencyMs: terms.targetLatencyMs, lagMs: Math.round(this.services.lagMs?.() ?? 0), waitedMs: Math.round(waitedMs) })
    job.hasClaim = this.services.claims?.claim(job.id, deadlineMs - waitedMs + this.options.lostAfterMs) ?? true
    this.scheduleDispatch()
    return job
  }

  /** Starts the tasks of a job that no other entry runs. */
  handleClaimGranted (jobId: string): void {
    const job = this.open.get(jobId)
    if (job === undefined) return
    job.hasClaim = true
    this.scheduleDispatch()
  }

  /** Records that another entry may run the job, so that it is not refused as one that has not run. */
  handleClaimHeld (jobId: string): void {
    const job = this.open.get(jobId)
    if (job !== undefined) job.mayRunElsewhere = true
  }

  /** Ends a job that has succeeded at another entry. */
  handleClaimSucceeded (jobId: string, holderId: string): void {
    const job = this.open.get(jobId)
    if (job !== undefined) this.end(job, { kind: 'succeeded' }, `succeeded at ${holderId}`)
  }

  /** Ends a job that another entry has got, and stops its runs. */
  handleClaimLost (jobId: string, holderId: string): void {
    const job = this.open.get(jobId)
    if (job !== undefined) this.end(job, { kind: 'expired', reason: 'another entry has the job' }, `claimed by ${holderId}`)
  }

  /** Ends a job whose callers have all disconnected. A resubmission runs it again. */
  abandon (job: Job): void {
    if (job.hasEnded) return
    if (job.mayHaveStarted && this.nowMs - job.acceptedAtMs < this.options.lateRequestMs) this.recordLateRequest(job)
    this.end(job, { kind: 'abandoned' }, 'caller disconnected')
  }

  /** Ends a job by order of a caller, and makes sure that no resubmission runs it. The job may be unknown here. */
  cancel (jobId: string): void {
    this.cancelledJobs.add(jobId)
    const job = this.open.get(jobId)
    if (job !== undefined) this.end(job, { kind: 'cancelled' }, 'cancelled by a caller')
  }

  /** Refuses the open jobs of which nothing has started, which tells the callers that nothing has run. */
  refuseUnstarted (reason: string): void {
    for (const job of [...this.open.values()]) if (this.isKnownUnstarted(job)) this.refuse(job, reason, 0)
  }

  /** Ends all open jobs at the end of a planned stop. Jobs of which nothing has started are refused instead, which tells the caller that nothing has run. */
  abortAll (reason: string): void {
    for (const job of [...this.open.values()]) {
      if (this.isKnownUnstarted(job)) this.refuse(job, reason, 0)
      else this.end(job, { kind: 'expired', reason }, reason)
    }
  }

  /** Sets the failure domains in which no task may start. Runs there go on. */
  setEvacuatedDomains (failureDomains: readonly string[]): void {
    this.agents.setEvacuatedDomains(failureDomains)
    this.scheduleDispatch()
  }

  /**
   * Adds a link to an agent. Once the worker of a new incarnation of the agent accepts runs, the runs of the earlier incarnation
   * have been stopped, so their tasks are marked lost.
   */
  connect (port: AgentPort, load: ReportedLoad): void {
    const known = this.agents.get(port.agentId)
    const isNewIncarnation = known !== undefined && known.incarnation !== port.incarnation
    const agent = this.agents.connect(port, load)
    this.ejection.add(port.agentId)
    this.services.log.event(events.AgentConnected, { agentId: port.agentId, life: port.incarnation, isNewLife: isNewIncarnation, sent: agent.sent.size, takesRuns: agent.view.acceptsRuns, freeCpuMilli: agent.view.free.cpuMilli })
    if (isNewIncarnation && agent.view.acceptsRuns) this.adoptIncarnation(agent, port.incarnation)
    this.stopOrders.repeatOn(agent)
    this.scheduleDispatch()
  }

  /**
   * Applies the list of tasks that an agent holds for this entry. Tasks that were sent on an earlier link and are not in the list
   * will not start on the agent and are marked lost; if the agent holds an earlier run of such a task, the task is sent again, as the
   * agent stops that run before it starts the task. Once the job has ended, that run stands for the task until its end is known.
   * Tasks in the list of which this entry has no record are stopped. Tasks sent on this link are skipped, as they may have crossed the list.
   */
  reconcile (port: AgentPort, held: readonly HeldTask[]): void {
    const agent = this.agents.get(port.agentId)
    if (agent?.port !== port || agent.incarnation !== port.incarnation) return
    const heldAttempts = new Map(held.map(({ ref, attempt }) => [workers.taskKey(ref), attempt]))
    for (const [key, sent] of agent.sent.all) {
      if (sent.port === port) continue
      const heldAttempt = heldAttempts.get(key)
      if (heldAttempt === undefined) this.handleEnd(agent, { ref: sent.task.ref, attempt: sent.attempt, end: workers.TaskEnd.Lost, runMs: 0, reason: 'agent does not hold the task' })
      else if (heldAttempt !== sent.attempt && !sent.job.hasEnded) this.placer.sendAgain(agent, sent)
      else Object.assign(sent, { port, attempt: heldAttempt })
    }
    this.stopOrders.stopUnknown(port, held.filter(({ ref }) => !agent.sent.has(workers.taskKey(ref))))
    this.scheduleDispatch()
  }

  /** Records the loss of a link. The agent's tasks may still run until its owner lease has certainly expired. */
  disconnect (port: AgentPort, reason: string): void {
    const agent = this.agents.get(port.agentId)
    if (agent?.port !== port) return
    agent.port = undefined
    agent.lastMessageAtMs = this.nowMs - port.sinceLastMessageMs()
    this.services.log.event(events.AgentDisconnected, { agentId: port.agentId, reason, sent: agent.sent.size })
  }

  /** Applies a load report of an agent. */
  handleLoad (port: AgentPort, load: ReportedLoad): void {
    const agent = this.agents.get(port.agentId)
    if (agent?.port !== port) return
    agent.view.apply(load)
    this.speeds.record(agent.agentId, load.runTimeRatio)
    if (agent.incarnation !== port.incarnation && agent.view.acceptsRuns) this.adoptIncarnation(agent, port.incarnation)
    this.scheduleDispatch()
  }

  /** Handles task ends reported by an agent. */
  handleEnds (port: AgentPort, ends: readonly ReportedEnd[]): void {
    const agent = this.agents.get(port.agentId)
    if (agent === undefined) return
    for (const end of ends) this.handleEnd(agent, end)
    this.scheduleDispatch()
  }

  /** Handles runs that are far slower than estimated, and moves those that are expected to end sooner on another worker. */
  handleSlowRuns (port: AgentPort, slow: readonly SlowRun[]): void {
    const agent = this.agents.get(port.agentId)
    if (agent === undefined) return
    for (const run of slow) this.considerMove(agent, run)
  }

  /** Records a crash of a worker, and decides on the tasks that ran on it once other crashes of the same moment have been reported. */
  handleCrash (crash: workers.WorkerCrash): void {
    this.unconfirmedStarts.record(crash)
    const verdictInMs = this.crashRecords.record(crash)
    if (verdictInMs !== undefined) this.services.timers.after(verdictInMs, () => { this.judgeCrashes() })
  }

  private get nowMs (): number {
    return this.services.timers.nowMs()
  }

  /** Fails the jobs of tasks that are given up for the crashes that are due. */
  private judgeCrashes (): void {
    for (const { crash, givenUp, isPartOfGroup } of this.crashRecords.judge()) {
      const queues = new Set(crash.runs.map(({ queue }) => queue))
      if (queues.size === 1 && !isPartOfGroup) this.containment.recordCrash(crash.runs[0]!.queue, crash.crashedAtMs)
      for (const { task, queue } of givenUp) {
        this.services.log.event(events.TaskGivenUp, { jobId: task.jobId, step: task.step, index: task.index, queue, crashes: this.crashRecords.crashesOf(task), crashId: crash.crashId })
        this.containment.recordVerdict(queue, task.jobId, crash.crashedAtMs)
        const job = this.open.get(task.jobId)
        if (job !== undefined) this.giveUp(job, task)
      }
    }
    this.scheduleDispatch()
  }

  private giveUp (job: Job, ref: workers.TaskRef): void {
    this.counts.givenUp++
    const reason = `task ${ref.step}.${ref.index} given up: ${this.crashRecords.crashesOf(ref)} workers crashed while they ran it`
    this.end(job, { kind: 'failed', reason }, reason)
  }

  private adoptIncarnation (agent: AgentRecord, incarnation: string): void {
    agent.incarnation = incarnation
    this.speeds.remove(agent.agentId)
    this.markTasksLost(agent, 'agent restarted')
  }

  private markTasksLost (agent: AgentRecord, reason: string): void {
    for (const sent of [...agent.sent.values()]) {
      this.handleEnd(agent, { ref: sent.task.ref, attempt: sent.attempt, end: workers.TaskEnd.Lost, runMs: 0, reason })
    }
  }

  private handleEnd (agent: AgentRecord, end: ReportedEnd): void {
    const key = workers.taskKey(end.ref)
    const sent = agent.sent.get(key)
    if (sent === undefined || sent.attempt !== end.attempt) return
    agent.sent.delete(key)
    this.runCounts.remove(end.ref.jobId)
    this.stopOrders.withdraw(sent)
    if (end.end === workers.TaskEnd.NotStarted) sent.job.recordNotStarted()
    if (end.end !== workers.TaskEnd.Done) this.services.log.event(events.TaskNotCompleted, { jobId: end.ref.jobId, step: end.ref.step, index: end.ref.index, attempt: end.attempt, agentId: agent.agentId, end: end.end, reason: end.reason, runMs: Math.round(end.runMs), sinceSentMs: Math.round(this.nowMs - sent.task.sentAtMs) })
    recordOutcome(this.ejection, agent.agentId, end, this.nowMs)
    if (sent.job.hasEnded) {
      this.releaseClaim(sent.job)
      return
    }
    if (sent.task.attempt !== end.attempt || sent.task.phase !== TaskPhase.Sent) return
    this.applyTaskEnd(sent, agent, end)
  }

  /** Releases the claim on an ended job once no run of it is left, also of earlier submissions. */
  private releaseClaim (job: Job): void {
    if (this.open.has(job.id) || this.runCounts.has(job.id)) return
    const { outcome } = this.ended.get(job.id) ?? job
    this.services.claims?.release(job.id, outcome?.kind === 'succeeded')
  }

  private applyTaskEnd (sent: SentTask, agent: AgentRecord, end: ReportedEnd): void {
    const { job, task } = sent
    task.agentId = undefined
    task.lastEnd = end.end === workers.TaskEnd.Done ? undefined : `${end.end}:${end.reason.replaceAll(' ', '-')}`
    switch (end.end) {
      case workers.TaskEnd.Done:
        job.setPhase(task, TaskPhase.Done)
        this.crashRecords.clear(task.ref)
        this.unconfirmedStarts.clear(task.ref)
        if (job.advance()) this.end(job, { kind: 'succeeded' }, 'all tasks done')
        return
      case workers.TaskEnd.Failed:
        task.failures++
        task.avoided.add(agent.agentId)
        job.setPhase(task, TaskPhase.Waiting)
        if (task.failures >= job.terms.maxAttempts) this.end(job, { kind: 'failed', reason: `task ${task.ref.step}.${task.ref.index} failed ${task.failures} times` }, 'attempts exhausted')
        return
      case workers.TaskEnd.Lost:
      case workers.TaskEnd.NotStarted:
        job.setPhase(task, TaskPhase.Waiting)
        if (end.reason === workers.StartRefusal.Unhealthy || end.reason === workers.ReturnReason.OwnerLeaseExpired) task.avoided.add(agent.agentId)
        return
      default: protocol.assertNever(end.end)
    }
  }

  private considerMove (agent: AgentRecord, run: SlowRun): void {
    const sent = agent.sent.get(workers.taskKey(run.ref))
    if (sent === undefined || sent.job.hasEnded || agent.port === undefined) return
    const step = sent.job.stepOf(sent.task)
    if (!isWorthMoving(run, this.speeds.factorOf(agent.agentId), this.speeds.expectedMs(step.estimatedMs), this.options)) return
    if (sent.task.avoided.has(agent.agentId)) return
    if (!this.placer.hasAlternative(sent.job, sent.task)) return
    sent.task.avoided.add(agent.agentId)
    this.counts.moves++
    this.services.log.event(events.TaskMoved, { jobId: run.ref.jobId, step: run.ref.step, index: run.ref.index, agentId: agent.agentId, elapsedMs: Math.round(run.elapsedMs), percent: run.percent, stalledMs: Math.round(run.stalledMs), estimatedMs: step.estimatedMs, speedFactor: this.speeds.factorOf(agent.agentId) })
    if (run.stalledMs > this.options.stalledMs) this.ejection.recordOutcome(agent.agentId, true, this.nowMs)
    this.stopOrders.order(agent, sent)
  }

  /** Records a job whose caller left right after its acceptance: its request was probably old, and the job may run at another entry. */
  private recordLateRequest (job: Job): void {
    this.counts.lateRequests++
    this.services.log.event(events.RequestLate, { jobId: job.id, sinceAcceptedMs: Math.round(this.nowMs - job.acceptedAtMs), agents: job.sentTasks().map(({ agentId }) => agentId).join(' '), lagMs: Math.round(this.services.lagMs?.() ?? 0) })
  }

  /** Checks deadlines and silent agents. */
  private runPeriodicChecks (): void {
    this.refusals.recordFleetSize()
    const isStalled = this.nowMs - this.checkedAtMs > this.options.stallMs
    this.checkedAtMs = this.nowMs
    if (!isStalled) for (const agent of [...this.agents.all]) this.checkAgent(agent)
    for (const job of [...this.open.values()]) this.checkJob(job)
    this.stopOrders.repeatOverdue()
    this.evictEnded()
    this.containment.sweep()
    this.scheduleDispatch()
  }

  /** Marks the tasks of an agent that has been silent for too long as lost, and removes it if its link is closed. */
  private checkAgent (agent: AgentRecord): void {
    const silentMs = agent.port?.sinceLastMessageMs() ?? this.nowMs - agent.lastMessageAtMs!
    if (silentMs < this.options.lostAfterMs) return
    if (agent.sent.size > 0) {
      this.services.log.event(events.AgentLost, { agentId: agent.agentId, awayMs: Math.round(silentMs), sent: agent.sent.size })
      this.markTasksLost(agent, 'agent lost')
    }
    if (agent.port !== undefined) return
    this.agents.remove(agent.agentId)
    this.ejection.remove(agent.agentId)
    this.speeds.remove(agent.agentId)
  }

  private checkJob (job: Job): void {
    if (this.hasPassedDeadline(job)) {
      if (this.isKnownUnstarted(job)) this.refuse(job, job.hasClaim ? 'no room before the deadline' : UNCONFIRMED_REASON, 0)
      else this.end(job, { kind: 'expired', reason: 'deadline passed' }, 'deadline passed')
      return
    }
    if (!this.isKnownUnstarted(job)) return
    const refusal = this.refusals.findWhileWaiting(job)
    if (refusal !== undefined) this.refuse(job, refusal.reason, refusal.waitMs)
  }

  /** Evicts ended jobs past the retention period, oldest first. */
  private evictEnded (): void {
    for (const job of this.ended.values()) {
      if (this.nowMs - job.endedAtMs < this.options.outcomeRetentionMs) return
      this.ended.delete(job.id)
    }
  }

  /**
   * Returns true if no task of the submission has started, here or at another entry, so that a refusal is true. A job whose claim
   * has not been answered has started nothing, unless runs of an earlier submission go on here.
   */
  private isKnownUnstarted (job: Job): boolean {
    return !job.mayHaveStarted && (job.hasClaim || !this.runCounts.has(job.id))
  }

  private hasPassedDeadline (job: Job): boolean {
    return this.nowMs >= job.deadlineAtMs || job.age.ms >= job.deadlineMs
  }

  private refuse (job: Job, reason: string, waitMs: number): void {
    const retryMs = retryAfterMs(waitMs, this.services.random(), this.options)
    this.services.log.event(events.JobRefused, { jobId: job.id, reason, retryAfterMs: retryMs, workers: this.workerCount, ageMs: Math.round(this.nowMs - job.arrivedAtMs) })
    this.open.delete(job.id)
    this.attemptNumbers.record(job)
    this.finish(job, { kind: 'refused', reason, retryAfterMs: retryMs })
  }

  private end (job: Job, outcome: JobOutcome, reason: string): void {
    this.stopRuns(job)
    this.services.log.event(events.JobEnded, { jobId: job.id, outcome: outcome.kind, reason, ageMs: Math.round(this.nowMs - job.arrivedAtMs), objectiveMs: Math.round(job.dueAtMs - job.arrivedAtMs) })
    this.open.delete(job.id)
    this.ended.set(job.id, job)
    this.finish(job, outcome)
  }

  private stopRuns (job: Job): void {
    for (const task of job.sentTasks()) {
      const agent = this.agents.get(task.agentId ?? '')
      const sent = agent?.sent.get(workers.taskKey(task.ref))
      if (agent !== undefined && sent !== undefined) this.stopOrders.order(agent, sent)
    }
  }

  private finish (job: Job, outcome: JobOutcome): void {
    this.counts[outcome.kind]++
    job.finish(outcome, this.nowMs)
    this.releaseClaim(job)
    this.services.onEnded?.(outcome, this.nowMs - job.arrivedAtMs)
  }

  private scheduleDispatch (): void {
    if (this.isDispatchScheduled) return
    this.isDispatchScheduled = true
    setImmediate(() => {
      this.isDispatchScheduled = false
      this.runDispatchPass()
    })
  }

  private runDispatchPass (): void {
    const { nowMs } = this
    const queue: QueuedJob[] = []
    for (const job of this.open.values()) {
      if (!job.hasClaim || !job.hasWaitingTask) continue
      queue.push({ job, priority: job.terms.priority, dueAtMs: job.dueAtMs, usefulUntilMs: job.usefulUntilMs, remainingMs: this.speeds.expectedMs(job.remainingEstimateMs()), hasStarted: job.mayHaveStarted })
    }
    queue.sort((left, right) => compareJobs(left, right, nowMs))
    const reserved = new Set<string>()
    for (const { job } of queue) {
      if (!this.placer.hasUnreserved(reserved)) break
      if (!this.hasPassedDeadline(job)) this.placer.place(job, reserved)
    }
    for (const { job } of queue) {
      if (job.hasWaitingTask && !this.hasPassedDeadline(job)) this.placer.placeSuspects(job)
    }
    // Agents reserve capacity for a demand; those outside of its cell would reserve it in vain for a contained queue.
    this.demandNotifier.update(queue.filter(({ job }) => !this.containment.isContained(job.terms.queue)), this.agents, nowMs)
  }

  private logEjectionChange (change: placement.StandingChange): void {
    const event = change.standing === placement.ServerStanding.Ejected ? events.WorkerEjected : events.WorkerRestored
    this.services.log.event(event, { agentId: change.agentId, failureRate: change.failureRate })
  }
}

/** Returns true for a job that ended without a result for its caller, so that a resubmission runs it again. */
function isRepeatable (job: Job): boolean {
  return job.outcome?.kind === 'abandoned' || job.outcome?.kind === 'expired'
}
