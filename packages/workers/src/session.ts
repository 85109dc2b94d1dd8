/** Session with one incarnation of a worker: starts and stops runs, renews their lease and collects the ends that the worker lists. */
import { setMaxListeners } from 'node:events'
import * as protocol from '@egretvalve/protocol'
import type * as settings from '@egretvalve/settings'
import { WorkerClock } from './clock.ts'
import { CrashKind, describeLostRuns, formatLostRuns, type WorkerCrash } from './crash.ts'
import type { WorkerOptions } from './defaults.ts'
import { EndCause, type CallScope, type EndedRun, type RenewOutcome, type RunRef, type RunningRun, type RunSize, StartRefusal, type WorkerDriver, type WorkerReport, type WorkerRuns } from './driver.ts'
import { events } from './events.ts'
import { ReturnReason, type TaskEnding, TaskEnd, type TaskOrder } from './order.ts'
import { RunTimeRatioEstimate } from './runTimeRatio.ts'
import { type ActiveRun, RunRegistry, RunPhase, StartProof } from './runRegistry.ts'
import { subtractSize } from './size.ts'
import type { FencingToken } from './fencing.ts'
import type { OwnerLeases } from './ownerLeases.ts'

/** State of the connection to the worker. */
export enum SessionState {
  /** Runs started by an earlier incarnation of the agent are being stopped. */
  TakingOver = 'taking-over',
  Ready = 'ready',
  /** The worker has not answered for `unresponsiveAfterMs`. */
  Unresponsive = 'silent',
  /** Nothing listens at the worker's address. */
  Down = 'down',
  /** `end` was called, for example because another incarnation of the worker has replaced this one. */
  Ended = 'ended'
}

/** Callbacks of a session. */
export interface SessionHandlers {
  onEnd: (ending: TaskEnding) => void
  /** The worker has crashed while runs were active. Called before their ends. */
  onCrash: (crash: WorkerCrash) => void
  /** The worker still runs a task whose end has been reported. */
  onReappeared: () => void
  /** The state has changed. */
  onChange: () => void
}

/** Dependencies of a session. */
export interface SessionServices {
  timers: settings.Timers
  log: settings.Log
  driver: WorkerDriver
  fencing: FencingToken
  ownerLeases: OwnerLeases
  options: WorkerOptions
  /** Monotonic time since which no other session can have called this incarnation of the worker, in milliseconds. */
  soleSinceMs: number
}

/** Attempts to start a run, each with a new run number or fencing token, before the task is returned. */
const MAX_START_ATTEMPTS = 4
/** Added to the run number when a start is superseded: an entry that has taken over the job counts its own attempts from 1, so the worker may have seen higher numbers. */
const RUN_NUMBER_INCREMENT = 8
/** Consecutive answers that do not list a run after which it counts as lost. */
const MAX_MISSED_ANSWERS = 3
/** Longest time between the query before a start and the start for which the worker counts as responsive, in milliseconds. */
const MAX_CHECK_AGE_MS = 50
/** Time after a start without an answer for which it may be carried out, in milliseconds. The worker is queried in this time, so that its next incarnation soon refuses the start. */
const MAX_LATE_START_MS = 15_000
/** Delay before a stop or a query is retried, in milliseconds. */
const RETRY_PAUSE_MS = 40

/** Manages the runs on one incarnation of a worker. */
export class WorkerSession {
  state = SessionState.TakingOver
  /** Capacity by the worker's latest report. */
  total: RunSize
  /** True once the worker has said that it leaves. The loss of its runs is then no crash. */
  isLeaving = false
  /** Run time of tasks on this worker over their estimates. */
  readonly runTimeRatio: RunTimeRatioEstimate
  private readonly registry = new RunRegistry()
  private readonly clock: WorkerClock
  private readonly abort = new AbortController()
  private lastAnswerAtMs: number
  private leaseSentAtMs = Number.NEGATIVE_INFINITY
  /** Time at which the latest answered renewal was sent. */
  private renewedAtMs = Number.NEGATIVE_INFINITY
  private wake: (() => void) | undefined
  private crashCount = 0
  /** Time of the latest query that this incarnation of the worker has answered. */
  private identifiedAtMs = Number.NEGATIVE_INFINITY
  private identification: Promise<boolean> | undefined
  /** Time until which a start without an answer may be carried out. */
  private lateStartsUntilMs = Number.NEGATIVE_INFINITY

  constructor (readonly worker: WorkerReport, private readonly services: SessionServices, private readonly handlers: SessionHandlers) {
    // One listener for each stop that is under way.
    setMaxListeners(0, this.abort.signal)
    this.clock = new WorkerClock(services.timers, services.options.clockDrift)
    this.runTimeRatio = new RunTimeRatioEstimate(services.timers)
    this.lastAnswerAtMs = services.timers.nowMs()
    this.total = worker.total
  }

  /** Capacity that no run takes; negative when the worker has shrunk below what its runs take. */
  get free (): RunSize {
    return subtractSize(this.total, this.registry.used)
  }

  /** Runs that take capacity. */
  get runs (): Iterable<ActiveRun> {
    return this.registry.all
  }

  /** The same, for loops that end none. */
  get activeRuns (): Iterable<ActiveRun> {
    return this.registry.current
  }

  get runCount (): number {
    return this.registry.count
  }

  /** True while runs may start. */
  get acceptsRuns (): boolean {
    return this.state === SessionState.Ready
  }

  find (key: string): ActiveRun | undefined {
    return this.registry.find(key)
  }

  /** Applies the time in a report of this incarnation, which keeps leases exact while no calls are made. */
  updateClock (clockMs: number): void {
    this.clock.updateFromReport(clockMs)
  }

  /** Takes over the worker, then renews the lease and collects the ends of runs until `end` is called. */
  async run (): Promise<void> {
    await this.takeOver()
    if (this.abort.signal.aborted) return
    const lease = this.services.timers.every(this.services.options.renewPeriodMs, () => { this.maintainLease() })
    await this.collectEnds()
    lease.cancel()
  }

  /** Ends the session because another incarnation of the worker has replaced this one. */
  endAsReplaced (): void {
    if (this.state === SessionState.Ended) return
    this.reportCrash(CrashKind.Replaced)
    this.end('another life of the worker')
  }

  /**
   * Ends the session. Its runs may continue until the next incarnation of the worker has been taken over or the lease has expired, so their ends
   * are deferred until then. The lease of a run that was never listed counts from the arrival of its start at the next incarnation.
   */
  end (reason: string): void {
    if (this.state === SessionState.Ended) return
    this.state = SessionState.Ended
    this.abort.abort()
    this.wake?.()
    for (const run of this.registry.all) {
      if (run.startProof === StartProof.None) this.settle(run, TaskEnd.NotStarted, reason)
      else this.settle(run, TaskEnd.Lost, reason, this.longestLeaseMs(run) + (run.wasListed ? 0 : MAX_LATE_START_MS))
    }
  }

  /** Starts a task. Its end is reported exactly once, whatever happens. */
  async start (order: TaskOrder): Promise<void> {
    const nowMs = this.services.timers.nowMs()
    const run: ActiveRun = { order, ref: { task: order.task, run: order.attempt }, phase: RunPhase.Starting, startProof: StartProof.None, confirmedAtMs: Number.POSITIVE_INFINITY, wasListed: false, isUnlisted: false, startedAtMs: nowMs, percent: 0, progressAtMs: nowMs, observedAtMs: nowMs, waitedMs: 0, missedAnswers: 0, unlistedAtMs: Number.POSITIVE_INFINITY, stopAcknowledgedAtMs: Number.POSITIVE_INFINITY }
    this.registry.add(run)
    this.wake?.()
    await this.sendStart(run)
  }

  /** Stops a run. Its capacity becomes free when the worker lists the end. */
  async stop (run: ActiveRun, reason: string): Promise<void> {
    const wasStarting = run.phase === RunPhase.Starting
    if (run.phase === RunPhase.Stopping) return
    run.phase = RunPhase.Stopping
    this.services.log.event(events.RunStopping, { jobId: run.order.task.jobId, step: run.order.task.step, index: run.order.task.index, run: run.ref.run, reason })
    if (!wasStarting) await this.sendStop(run)
  }

  private isActive (run: ActiveRun): boolean {
    return this.registry.contains(run)
  }

  private get scope (): CallScope {
    return { workerId: this.worker.workerId, fencingToken: this.services.fencing.value }
  }

  private async sendStart (run: ActiveRun): Promise<void> {
    for (let attempt = 0; attempt < MAX_START_ATTEMPTS && this.isActive(run); attempt++) {
      const isResponsive = run.order.checksWorker === true && await this.checkBeforeStart(run)
      if (this.mayOutliveOwnerLease(run)) await this.identifyWorker(run)
      if (!this.isActive(run)) return
      if (run.phase === RunPhase.Stopping) return this.settle(run, TaskEnd.NotStarted, 'stopped before its start')
      run.startedAtMs = this.services.timers.nowMs()
      run.startProof = isResponsive ? StartProof.SentToResponsive : StartProof.Sent
      this.recordLeaseSent()
      const outcome = await this.services.driver.start({ ...this.scope, ref: run.ref, spec: run.order.spec, leaseUntilMs: this.clock.timeAfter(this.leaseMs) })
      if (!this.isActive(run)) return
      switch (outcome.kind) {
        case 'started': return await this.handleStarted(run)
        case 'unanswered': return await this.resolveUnanswered(run, outcome.reason)
        case 'refused':
          run.startProof = StartProof.None
          if (!await this.prepareRetry(run, outcome.refusal)) return
          break
        default: protocol.assertNever(outcome)
      }
    }
    if (this.isActive(run)) this.settle(run, TaskEnd.NotStarted, 'start refused repeatedly')
  }

  /**
   * Queries the worker before the start, so that a crash before the answer shows that the start had reached it. Returns whether it answered
   * just now; the run of one that did not answer at all is settled.
   */
  private async checkBeforeStart (run: ActiveRun): Promise<boolean> {
    const { timers } = this.services
    const sentAtMs = timers.nowMs()
    const wasAnswered = await this.queryRuns(0, false)
    if (!wasAnswered && this.isActive(run)) this.settle(run, TaskEnd.NotStarted, ReturnReason.WorkerUnresponsive)
    return wasAnswered && timers.nowMs() - sentAtMs <= MAX_CHECK_AGE_MS
  }

  /**
   * Returns true if a start sent now could run beyond its owner lease, should this process freeze right after: a worker that has started again
   * unnoticed takes any lease on its earlier clock for the longest one.
   */
  private mayOutliveOwnerLease ({ order }: ActiveRun): boolean {
    const { timers, options, ownerLeases } = this.services
    if (timers.nowMs() - this.identifiedAtMs <= options.renewPeriodMs) return false
    return ownerLeases.remainingMs(order.owner) < options.maxLeaseMs * options.clockDrift
  }

  /** Queries the worker for its incarnation before a start. One query serves all starts that wait for it. The run of a worker that did not answer is settled. */
  private async identifyWorker (run: ActiveRun): Promise<void> {
    this.identification ??= this.queryRuns(0, false).finally(() => { this.identification = undefined })
    const wasAnswered = await this.identification
    if (!wasAnswered && this.isActive(run)) this.settle(run, TaskEnd.NotStarted, ReturnReason.WorkerUnresponsive)
  }

  private confirm (run: ActiveRun): void {
    run.startProof = StartProof.Confirmed
    run.confirmedAtMs = Math.min(run.confirmedAtMs, this.services.timers.nowMs())
  }

  private async handleStarted (run: ActiveRun): Promise<void> {
    this.confirm(run)
    run.waitedMs = run.order.age.ms
    if (run.phase === RunPhase.Stopping) await this.sendStop(run)
    else run.phase = RunPhase.Running
  }

  /** Returns true if the start is to be retried; otherwise the run has been settled. */
  private async prepareRetry (run: ActiveRun, refusal: StartRefusal): Promise<boolean> {
    const { task } = run.order
    this.services.log.event(events.RunRefused, { jobId: task.jobId, step: task.step, index: task.index, run: run.ref.run, refusal })
    if (run.phase === RunPhase.Stopping) {
      this.settle(run, TaskEnd.NotStarted, refusal)
      return false
    }
    switch (refusal) {
      case StartRefusal.Fenced:
        this.services.fencing.raise()
        return true
      case StartRefusal.Superseded:
        run.ref = { ...run.ref, run: run.ref.run + RUN_NUMBER_INCREMENT }
        return true
      case StartRefusal.LeaseExpired:
        await this.queryRuns(0, false)
        return true
      case StartRefusal.Replaced:
        this.handleReplacement()
        return false
      case StartRefusal.NoCapacity:
      case StartRefusal.Unhealthy:
      case StartRefusal.Invalid:
        this.settle(run, TaskEnd.NotStarted, refusal)
        return false
      default: return protocol.assertNever(refusal)
    }
  }

  /**
   * Handles a start that got no answer and may still be carried out later. The run is stopped before the task may start
   * elsewhere; the stop also makes the worker refuse a start that arrives late. If the stop is not acknowledged either,
   * the run ends when the lease carried by the start expires.
   */
  private async resolveUnanswered (run: ActiveRun, reason: string): Promise<void> {
    const { task } = run.order
    this.lateStartsUntilMs = this.services.timers.nowMs() + MAX_LATE_START_MS
    this.services.log.event(events.RunUnanswered, { jobId: task.jobId, step: task.step, index: task.index, run: run.ref.run, reason })
    const wasAnswered = await this.queryRuns(0, false)
    if (!this.isActive(run)) return
    if (run.phase === RunPhase.Running) return
    if (wasAnswered && run.startProof === StartProof.SentToResponsive) run.startProof = StartProof.Sent
    run.phase = RunPhase.Stopping
    await this.sendStop(run)
  }

  private async sendStop (run: ActiveRun): Promise<void> {
    const { options, driver, timers, log } = this.services
    const { task } = run.order
    for (let attempt = 1; this.isActive(run); attempt++) {
      if (await driver.stop(this.scope, run.ref)) {
        run.stopAcknowledgedAtMs = timers.nowMs()
        return await this.confirmStop(run)
      }
      if (attempt === options.stopAttemptsUntilWarning) log.event(events.StopUnacknowledged, { jobId: task.jobId, step: task.step, index: task.index, run: run.ref.run })
      await timers.sleep(RETRY_PAUSE_MS, this.abort.signal)
    }
  }

  /** Queries the worker, up to `MAX_MISSED_ANSWERS` times, once a stopped run has ended for certain, unless its end was listed before. */
  private async confirmStop (run: ActiveRun): Promise<void> {
    for (let attempt = 0; attempt < MAX_MISSED_ANSWERS && this.isActive(run); attempt++) {
      await this.services.timers.sleep(attempt === 0 ? this.stopDurationMs : RETRY_PAUSE_MS, this.abort.signal)
      if (this.isActive(run)) await this.queryRuns(0, false)
    }
  }

  /** Longest time for which a run goes on after the worker has acknowledged its stop, on the agent's clock. */
  private get stopDurationMs (): number {
    const { options } = this.services
    return options.stopDurationMs * options.clockDrift
  }

  /** Stops the runs that an earlier incarnation of the agent started, acknowledges all ends, and waits until stops that are under way have ended. */
  private async takeOver (): Promise<void> {
    let stopsEndByMs: number | undefined
    while (this.state === SessionState.TakingOver) {
      const sentAtMs = this.services.timers.nowMs()
      const outcome = await this.services.driver.renew({ ...this.scope, acknowledgedEnd: this.registry.acknowledgedEnd, waitMs: 0 })
      if (outcome.kind === 'answered' && outcome.runs.bornAtMs === this.worker.bornAtMs) {
        this.handleAnswer(outcome.runs)
        this.identifiedAtMs = sentAtMs
        const last = outcome.runs.ended.at(-1)
        if (last !== undefined) this.registry.acknowledgedEnd = Math.max(this.registry.acknowledgedEnd, last.number)
        stopsEndByMs ??= this.mayHaveEarlierStops(outcome.runs.clockMs) ? this.services.timers.nowMs() + this.stopDurationMs : sentAtMs
        if (outcome.runs.running.length === 0 && last === undefined && sentAtMs >= stopsEndByMs) return this.becomeReady()
        if (outcome.runs.running.length > 0) {
          await Promise.all(outcome.runs.running.map(async each => await this.services.driver.stop(this.scope, each.ref)))
          stopsEndByMs = this.services.timers.nowMs() + this.stopDurationMs
        }
      } else if (outcome.kind === 'answered') {
        if (this.handleReplacement()) await this.fenceNextIncarnation()
      } else this.handleFailedRenewal(outcome)
      await this.services.timers.sleep(RETRY_PAUSE_MS, this.abort.signal)
    }
  }

  /** Returns true if an earlier session, of this agent or another, may have ordered stops that go on unlisted. The worker's clock counts from the start of its incarnation. */
  private mayHaveEarlierStops (workerClockMs: number): boolean {
    const { soleSinceMs, options, timers } = this.services
    return workerClockMs * options.clockDrift > timers.nowMs() - soleSinceMs
  }

  private becomeReady (): void {
    this.state = SessionState.Ready
    this.services.log.event(events.TakenOver, { workerId: this.worker.workerId, acknowledgedEnd: this.registry.acknowledgedEnd })
    this.handlers.onChange()
  }

  /** Long-polls the worker for ends while runs are active or ends are unacknowledged. */
  private async collectEnds (): Promise<void> {
    while (!this.abort.signal.aborted) {
      if (this.registry.count === 0 && !this.registry.hasUnacknowledged) {
        await new Promise<void>(resolve => { this.wake = resolve })
        this.wake = undefined
        continue
      }
      const mayWait = this.registry.count > 0 && !this.abort.signal.aborted
      const wasAnswered = await this.queryRuns(mayWait ? this.services.options.endWaitMs : 0, this.state === SessionState.Ready)
      if (!wasAnswered) await this.services.timers.sleep(RETRY_PAUSE_MS, this.abort.signal)
    }
  }

  /** Renews the lease while runs are active; lets it expire when the worker is unresponsive. */
  private maintainLease (): void {
    const { timers, options } = this.services
    if (this.registry.count === 0 && this.state === SessionState.Ready && timers.nowMs() > this.lateStartsUntilMs) {
      this.lastAnswerAtMs = timers.nowMs()
      return
    }
    this.checkResponsiveness()
    if (timers.nowMs() - this.renewedAtMs >= options.renewPeriodMs) this.queryRuns(0, this.state === SessionState.Ready)
  }

  private checkResponsiveness (): void {
    const { timers, options, log } = this.services
    const nowMs = timers.nowMs()
    if (this.state === SessionState.Ready && nowMs - this.lastAnswerAtMs > options.unresponsiveAfterMs) {
      this.state = SessionState.Unresponsive
      log.event(events.WorkerUnresponsive, { workerId: this.worker.workerId, silentMs: Math.round(nowMs - this.lastAnswerAtMs), runs: this.registry.count })
      this.handlers.onChange()
    }
    if (this.state !== SessionState.Unresponsive) return
    const leaseMs = this.registry.all.reduce((longestMs, run) => Math.max(longestMs, this.longestLeaseMs(run)), 0)
    if (nowMs > this.leaseSentAtMs + leaseMs) {
      this.reportCrash(CrashKind.Unresponsive)
      this.settleAllAsLost('lease lapsed on a silent worker')
    }
  }

  /**
   * Longest time, on the agent's clock, for which a run goes on after the last call that extends its lease. Until the worker has listed the
   * run, which shows its incarnation, it may run on one that has started again and takes the lease for a longer one.
   */
  private longestLeaseMs (run: ActiveRun): number {
    const { leaseMs, maxLeaseMs, clockDrift } = this.services.options
    return (run.wasListed ? leaseMs : maxLeaseMs) * clockDrift
  }

  private reportCrash (kind: CrashKind): void {
    // A worker that fell silent may have crashed right after its last answer.
    const crashedAtMs = kind === CrashKind.Unresponsive ? this.lastAnswerAtMs : this.services.timers.nowMs()
    const { runs, unconfirmed } = describeLostRuns(this.registry.all, crashedAtMs)
    if (runs.length + unconfirmed.length === 0 || this.isLeaving) return
    const crash: WorkerCrash = { crashId: `${this.worker.workerId}@${this.worker.bornAtMs}#${++this.crashCount}`, kind, crashedAtMs, runs, unconfirmed }
    this.services.log.event(events.WorkerCrashed, { workerId: this.worker.workerId, crashId: crash.crashId, kind, runs: formatLostRuns(runs), unconfirmed: formatLostRuns(unconfirmed) })
    this.handlers.onCrash(crash)
  }

  private settleAllAsLost (reason: string): void {
    for (const run of this.registry.all) this.settle(run, TaskEnd.Lost, reason)
  }

  /** Queries the worker's runs and, with `extendsLease`, renews the lease. Returns whether the worker answered. */
  private async queryRuns (waitMs: number, extendsLease: boolean): Promise<boolean> {
    const sentAtMs = this.services.timers.nowMs()
    const acknowledgedEnd = this.registry.acknowledgedEnd
    const { leaseMs } = this
    const isRenewal = extendsLease && this.clock.isKnown && this.registry.count > 0 && leaseMs > 0
    if (isRenewal) this.recordLeaseSent()
    const leaseUntilMs = isRenewal ? this.clock.timeAfter(leaseMs) : undefined
    const outcome = await this.services.driver.renew({ ...this.scope, acknowledgedEnd, leaseUntilMs, waitMs })
    if (this.state === SessionState.Ended) return false
    if (outcome.kind !== 'answered') {
      this.handleFailedRenewal(outcome)
      return false
    }
    if (outcome.runs.bornAtMs !== this.worker.bornAtMs) {
      if (this.handleReplacement()) await this.fenceNextIncarnation()
      return false
    }
    this.identifiedAtMs = Math.max(this.identifiedAtMs, sentAtMs)
    if (acknowledgedEnd === this.registry.acknowledgedEnd) this.registry.hasUnacknowledged = false
    if (isRenewal) this.renewedAtMs = Math.max(this.renewedAtMs, sentAtMs)
    this.handleAnswer(outcome.runs)
    this.applyEnds(outcome.runs.ended)
    this.applyRunning(outcome.runs.running, sentAtMs)
    return true
  }

  /**
   * Duration of a lease granted now. It ends with the first owner lease of the active runs, as the worker's lease covers all runs:
   * a stalled agent leaves no run behind that its entry may have placed elsewhere.
   */
  private get leaseMs (): number {
    const owners = new Set<string>()
    for (const { order } of this.registry.current) owners.add(order.owner)
    let leaseMs = this.services.options.leaseMs
    for (const owner of owners) leaseMs = Math.min(leaseMs, this.services.ownerLeases.remainingMs(owner))
    return leaseMs
  }

  private recordLeaseSent (): void {
    this.leaseSentAtMs = this.services.timers.nowMs()
  }

  private handleAnswer (runs: WorkerRuns): void {
    this.clock.update(runs.clockMs)
    this.lastAnswerAtMs = this.services.timers.nowMs()
    if (this.state !== SessionState.Unresponsive && this.state !== SessionState.Down) return
    this.state = SessionState.Ready
    this.services.log.event(events.WorkerResponsive, { workerId: this.worker.workerId })
    this.handlers.onChange()
  }

  private handleFailedRenewal (outcome: Exclude<RenewOutcome, { kind: 'answered' }>): void {
    switch (outcome.kind) {
      case 'fenced':
        this.services.fencing.raise()
        return
      case 'replaced':
        this.handleReplacement()
        return
      case 'down':
        if (this.state === SessionState.Down) return
        this.state = SessionState.Down
        this.services.log.event(events.WorkerDown, { workerId: this.worker.workerId, reason: outcome.reason, runs: this.registry.count })
        this.registry.hasUnacknowledged = false
        this.reportCrash(CrashKind.Down)
        this.settleAllAsLost('worker is down')
        this.handlers.onChange()
        return
      case 'unanswered': return
      default: protocol.assertNever(outcome)
    }
  }

  /** Ends the session. Returns false if it had ended before. */
  private handleReplacement (): boolean {
    if (this.state === SessionState.Ended) return false
    this.services.log.event(events.WorkerReplaced, { workerId: this.worker.workerId, bornAtMs: this.worker.bornAtMs })
    this.endAsReplaced()
    this.handlers.onChange()
    return true
  }

  /**
   * Makes the next incarnation refuse starts that were meant for this one and may be carried out late, and stops those that it has carried out.
   * Its own session begins with its first report, which may take more than a second.
   */
  private async fenceNextIncarnation (): Promise<void> {
    const { driver, fencing } = this.services
    fencing.advance()
    const scope = this.scope
    const outcome = await driver.renew({ ...scope, acknowledgedEnd: 0, waitMs: 0 })
    if (outcome.kind !== 'answered' || outcome.runs.bornAtMs === this.worker.bornAtMs) return
    await Promise.all(outcome.runs.running.map(async ({ ref }) => await driver.stop(scope, ref)))
  }

  private applyEnds (ended: readonly EndedRun[]): void {
    for (const { run, cause } of this.registry.applyEnds(ended, this.services.timers.nowMs())) this.settle(run, resolveEnd(cause), cause)
  }

  private applyRunning (running: readonly RunningRun[], sentAtMs: number): void {
    const nowMs = this.services.timers.nowMs()
    const listed = new Set<ActiveRun>()
    for (const each of running) {
      const run = this.registry.findRef(each.ref)
      if (run === undefined) {
        this.handleUnknownRun(each.ref, sentAtMs)
        continue
      }
      listed.add(run)
      this.confirm(run)
      run.wasListed = true
      if (run.phase === RunPhase.Starting) run.phase = RunPhase.Running
      if (each.percent > run.percent) run.progressAtMs = nowMs
      run.percent = each.percent
      run.observedAtMs = nowMs
      this.runTimeRatio.recordRunning(run.order.task.jobId, nowMs - run.startedAtMs, run.percent, run.order.estimatedMs)
    }
    for (const run of this.registry.all) this.updateMissedAnswers(run, listed.has(run), sentAtMs)
  }

  private updateMissedAnswers (run: ActiveRun, isListed: boolean, sentAtMs: number): void {
    if (isListed) {
      run.missedAnswers = 0
      run.unlistedAtMs = Number.POSITIVE_INFINITY
      run.isUnlisted = false
      return
    }
    if (sentAtMs > run.confirmedAtMs) run.isUnlisted = true
    if (!this.wouldList(run, sentAtMs)) return
    const nowMs = this.services.timers.nowMs()
    run.missedAnswers++
    run.unlistedAtMs = Math.min(run.unlistedAtMs, nowMs)
    // After an acknowledged stop the worker refuses a late start, so one answer suffices.
    const needed = sentAtMs > run.stopAcknowledgedAtMs ? 1 : MAX_MISSED_ANSWERS
    // The worker may omit a run that is being stopped.
    const endedByMs = Math.min(run.stopAcknowledgedAtMs, run.unlistedAtMs) + this.stopDurationMs
    if (run.missedAnswers >= needed && nowMs >= endedByMs) this.settle(run, TaskEnd.Lost, 'worker does not list the run')
  }

  /**
   * Returns true if the answer to a query sent at this time lists the run unless it has ended or will never start. Calls overtake each
   * other, so the worker may have handled an earlier query before the start.
   */
  private wouldList (run: ActiveRun, sentAtMs: number): boolean {
    const { options } = this.services
    const startExpiresAtMs = run.startedAtMs + options.leaseMs * options.clockDrift
    return sentAtMs > Math.min(run.confirmedAtMs, run.stopAcknowledgedAtMs, run.phase === RunPhase.Starting ? Number.POSITIVE_INFINITY : startExpiresAtMs)
  }

  /** Stops a run that the worker lists and that is not active here, unless the answer may be older than the end of the run. `sentAtMs` is the time of the query. */
  private handleUnknownRun (ref: RunRef, sentAtMs: number): void {
    const recentEnd = this.registry.findRecentEnd(ref)
    if (recentEnd !== undefined && sentAtMs <= recentEnd.atMs) return
    const fields = { jobId: ref.task.jobId, step: ref.task.step, index: ref.task.index, run: ref.run }
    if (recentEnd === undefined) this.services.log.event(events.OrphanedRun, fields)
    else if (!recentEnd.hasReappeared) {
      recentEnd.hasReappeared = true
      this.handlers.onReappeared()
      this.services.log.event(events.RunReappeared, { ...fields, reason: recentEnd.reason, sinceEndMs: Math.round(this.services.timers.nowMs() - recentEnd.atMs) })
    }
    this.services.driver.stop(this.scope, ref)
  }

  private settle (run: ActiveRun, end: TaskEnd, reason: string, deferredForMs = 0): void {
    if (!this.isActive(run)) return
    const { task } = run.order
    const nowMs = this.services.timers.nowMs()
    this.registry.remove(run, nowMs, reason)
    const runMs = nowMs - run.startedAtMs
    if (end === TaskEnd.Done) this.runTimeRatio.recordFinished(task.jobId, runMs, run.order.estimatedMs)
    this.services.log.event(events.RunEnded, { jobId: task.jobId, step: task.step, index: task.index, run: run.ref.run, end, reason, waitedMs: Math.round(run.waitedMs), runMs: Math.round(runMs), estimatedMs: run.order.estimatedMs, cpuMilli: run.order.size.cpuMilli, deferredForMs: deferredForMs > 0 ? Math.round(deferredForMs) : undefined, ...describeEvidence(run, end, nowMs) })
    this.handlers.onEnd({ order: run.order, end, runMs, reason, deferredForMs })
  }
}

/** Describes what the loss of a run is concluded from: the time since the worker confirmed the run and since it acknowledged a stop, in milliseconds, and the answers that did not list it. */
function describeEvidence ({ confirmedAtMs, stopAcknowledgedAtMs, missedAnswers }: ActiveRun, end: TaskEnd, nowMs: number): settings.LogFields {
  if (end !== TaskEnd.Lost) return {}
  const elapsedMs = (sinceMs: number): number | undefined => sinceMs < Number.POSITIVE_INFINITY ? Math.round(nowMs - sinceMs) : undefined
  return { sinceConfirmedMs: elapsedMs(confirmedAtMs), sinceStopMs: elapsedMs(stopAcknowledgedAtMs), missedAnswers }
}

function resolveEnd (cause: EndCause): TaskEnd {
  switch (cause) {
    case EndCause.Done: return TaskEnd.Done
    case EndCause.Failed: return TaskEnd.Failed
    case EndCause.Stopped:
    case EndCause.LeaseExpired:
    case EndCause.GroupBroken: return TaskEnd.Lost
    default: return protocol.assertNever(cause)
  }
}
