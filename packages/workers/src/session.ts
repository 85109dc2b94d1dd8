/** The runs on one life of a worker: starts, stops, the lease that holds them and the ends that the worker lists. */
import * as protocol from '@egretvalve/protocol'
import type * as settings from '@egretvalve/settings'
import { WorkerClock } from './clock.ts'
import type { WorkerOptions } from './defaults.ts'
import { EndCause, type CallScope, type EndedRun, type RenewOutcome, type RunRef, type RunningRun, type RunSize, StartRefusal, type WorkerDriver, type WorkerReport, type WorkerRuns } from './driver.ts'
import { events } from './events.ts'
import { HoldBack, type TaskEnding, TaskEnd, type TaskOrder } from './order.ts'
import { PaceEstimate } from './pace.ts'
import { type HeldRun, RunBook, RunPhase } from './runBook.ts'
import { subtractSize } from './size.ts'
import type { FencingToken } from './fencing.ts'

/** What is known of the connection to the worker. */
export enum SessionState {
  /** Runs of an earlier life of the agent are being stopped. */
  TakingOver = 'taking-over',
  Ready = 'ready',
  /** No answer for too long. */
  Silent = 'silent',
  /** Nothing listens at its address. */
  Down = 'down',
  /** Another life of the worker has taken its place. */
  Ended = 'ended'
}

/** What the session tells its agent. */
export interface SessionHandlers {
  onEnd: (ending: TaskEnding) => void
  onChange: () => void
}

/** Services of a session. */
export interface SessionServices {
  timers: settings.Timers
  log: settings.Log
  driver: WorkerDriver
  fencing: FencingToken
  options: WorkerOptions
}

/** Starts that are repeated with another number or token before the task goes back. */
const MAX_START_TRIES = 4
/** Distance between the numbers of repeated starts: an entry that took the job over counts its own starts from 1. */
const RUN_NUMBER_STEP = 8
/** Answers without a run after which it is taken for gone. */
const MAX_MISSED_ANSWERS = 3
/** Pause before the worker is asked for the end of a stopped run, in milliseconds; a stop takes at most 50 ms. */
const CONFIRM_PAUSE_MS = 20
/** Pause before a stop or a question is repeated. */
const RETRY_PAUSE_MS = 40

/** Runs on one life of a worker. */
export class WorkerSession {
  state = SessionState.TakingOver
  /** How long tasks take here against their estimates. */
  readonly pace: PaceEstimate
  private readonly book = new RunBook()
  private readonly clock: WorkerClock
  private readonly abort = new AbortController()
  private lastAnswerAtMs: number
  private leaseSentAtMs = Number.NEGATIVE_INFINITY
  /** Time at which the newest renewal that was answered had been sent. */
  private renewedAtMs = Number.NEGATIVE_INFINITY
  private wake: (() => void) | undefined

  constructor (readonly worker: WorkerReport, private readonly services: SessionServices, private readonly handlers: SessionHandlers) {
    this.clock = new WorkerClock(services.timers)
    this.pace = new PaceEstimate(services.timers)
    this.lastAnswerAtMs = services.timers.nowMs()
  }

  /** Room that no run takes. */
  get free (): RunSize {
    return subtractSize(this.worker.total, this.book.used)
  }

  /** Runs that take room. */
  get runs (): Iterable<HeldRun> {
    return this.book.all
  }

  get runCount (): number {
    return this.book.count
  }

  /** True while runs may start. */
  get acceptsRuns (): boolean {
    return this.state === SessionState.Ready
  }

  find (key: string): HeldRun | undefined {
    return this.book.find(key)
  }

  /** Takes over the worker, then holds its runs and collects their ends until `end`. */
  async run (): Promise<void> {
    await this.takeOver()
    if (this.abort.signal.aborted) return
    const lease = this.services.timers.every(this.services.options.renewPeriodMs, () => { this.keepLease() })
    await this.collectEnds()
    lease.cancel()
  }

  /** Ends the session. What ran is gone when the next life of the worker has been asked, or the lease has lapsed; until then its end is held back. */
  end (reason: string): void {
    if (this.state === SessionState.Ended) return
    this.state = SessionState.Ended
    this.abort.abort()
    this.wake?.()
    for (const run of this.book.all) this.settle(run, TaskEnd.Lost, reason, run.phase === RunPhase.Starting ? HoldBack.UntilLeaseEnds : HoldBack.UntilTakenOver)
  }

  /** Starts a task. Its end is reported once, whatever happens. */
  async start (order: TaskOrder): Promise<void> {
    const nowMs = this.services.timers.nowMs()
    const run: HeldRun = { order, ref: { task: order.task, run: order.attempt }, phase: RunPhase.Starting, startedAtMs: nowMs, percent: 0, progressAtMs: nowMs, observedAtMs: nowMs, waitedMs: 0, missedAnswers: 0, stopAcknowledgedAtMs: Number.POSITIVE_INFINITY }
    this.book.add(run)
    this.wake?.()
    await this.sendStart(run)
  }

  /** Stops a run. The room is free when the worker lists the end. */
  async stop (run: HeldRun, reason: string): Promise<void> {
    const wasStarting = run.phase === RunPhase.Starting
    if (run.phase === RunPhase.Stopping) return
    run.phase = RunPhase.Stopping
    this.services.log.event(events.RunStopping, { jobId: run.order.task.jobId, step: run.order.task.step, index: run.order.task.index, run: run.ref.run, reason })
    if (!wasStarting) await this.sendStop(run)
  }

  private isHeld (run: HeldRun): boolean {
    return this.book.holds(run)
  }

  private get scope (): CallScope {
    return { workerId: this.worker.workerId, fencingToken: this.services.fencing.value }
  }

  private async sendStart (run: HeldRun): Promise<void> {
    for (let tries = 0; tries < MAX_START_TRIES && this.isHeld(run); tries++) {
      run.startedAtMs = this.services.timers.nowMs()
      this.noteLease()
      const outcome = await this.services.driver.start({ ...this.scope, ref: run.ref, spec: run.order.spec, leaseUntilMs: this.clock.at(this.services.options.leaseMs) })
      if (!this.isHeld(run)) return
      switch (outcome.kind) {
        case 'started': return await this.noteStarted(run)
        case 'unanswered': return await this.resolveUnanswered(run, outcome.reason)
        case 'refused':
          if (!await this.prepareRetry(run, outcome.refusal)) return
          break
        default: protocol.assertNever(outcome)
      }
    }
    if (this.isHeld(run)) this.settle(run, TaskEnd.NotStarted, 'start refused repeatedly')
  }

  private async noteStarted (run: HeldRun): Promise<void> {
    run.waitedMs = run.order.age.ms
    if (run.phase === RunPhase.Stopping) await this.sendStop(run)
    else run.phase = RunPhase.Running
  }

  /** Returns whether the start is to be sent again; otherwise the run is settled. */
  private async prepareRetry (run: HeldRun, refusal: StartRefusal): Promise<boolean> {
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
        run.ref = { ...run.ref, run: run.ref.run + RUN_NUMBER_STEP }
        return true
      case StartRefusal.LeaseExpired:
        await this.ask(0, false)
        return true
      case StartRefusal.Replaced:
        this.replace()
        return false
      case StartRefusal.NoRoom:
      case StartRefusal.Unhealthy:
      case StartRefusal.Invalid:
        this.settle(run, TaskEnd.NotStarted, refusal)
        return false
      default: return protocol.assertNever(refusal)
    }
  }

  /**
   * A start without an answer may be carried out later. It is stopped, which also refuses a late arrival, before the task
   * may start elsewhere; when the stop isn't acknowledged either, the lease that the start carried ends it.
   */
  private async resolveUnanswered (run: HeldRun, reason: string): Promise<void> {
    const { task } = run.order
    this.services.log.event(events.RunUnanswered, { jobId: task.jobId, step: task.step, index: task.index, run: run.ref.run, reason })
    await this.ask(0, false)
    if (!this.isHeld(run)) return
    if (run.phase === RunPhase.Running) return
    run.phase = RunPhase.Stopping
    await this.sendStop(run)
  }

  private async sendStop (run: HeldRun): Promise<void> {
    const { options, driver, timers, log } = this.services
    for (let attempt = 0; attempt < options.stopAttempts && this.isHeld(run); attempt++) {
      if (await driver.stop(this.scope, run.ref)) {
        run.stopAcknowledgedAtMs = this.services.timers.nowMs()
        return await this.confirmStop(run)
      }
      await timers.sleep(RETRY_PAUSE_MS, this.abort.signal)
    }
    if (!this.isHeld(run)) return
    const { task } = run.order
    log.event(events.StopUnacknowledged, { jobId: task.jobId, step: task.step, index: task.index, run: run.ref.run })
  }

  /** Waits until the worker lists the end of a stopped run, or shows that it doesn't hold the run. */
  private async confirmStop (run: HeldRun): Promise<void> {
    for (let attempt = 0; attempt < MAX_MISSED_ANSWERS && this.isHeld(run); attempt++) {
      await this.services.timers.sleep(CONFIRM_PAUSE_MS, this.abort.signal)
      if (this.isHeld(run)) await this.ask(0, false)
    }
  }

  /** Stops what an earlier life of the agent started and takes note of all ends. */
  private async takeOver (): Promise<void> {
    while (this.state === SessionState.TakingOver) {
      const outcome = await this.services.driver.renew({ ...this.scope, acknowledgedEnd: this.book.acknowledgedEnd, waitMs: 0 })
      if (outcome.kind === 'answered' && outcome.runs.bornAtMs === this.worker.bornAtMs) {
        this.noteAnswer(outcome.runs)
        const last = outcome.runs.ended.at(-1)
        if (last !== undefined) this.book.acknowledgedEnd = Math.max(this.book.acknowledgedEnd, last.number)
        if (outcome.runs.running.length === 0 && last === undefined) return this.becomeReady()
        await Promise.all(outcome.runs.running.map(async each => await this.services.driver.stop(this.scope, each.ref)))
      } else if (outcome.kind === 'answered') this.replace()
      else this.noteFailure(outcome)
      await this.services.timers.sleep(RETRY_PAUSE_MS, this.abort.signal)
    }
  }

  private becomeReady (): void {
    this.state = SessionState.Ready
    this.services.log.event(events.TakenOver, { workerId: this.worker.workerId, acknowledgedEnd: this.book.acknowledgedEnd })
    this.handlers.onChange()
  }

  /** Asks for the next end again and again while runs are present or ends are not acknowledged. */
  private async collectEnds (): Promise<void> {
    while (!this.abort.signal.aborted) {
      if (this.book.count === 0 && !this.book.hasUnacknowledged) {
        await new Promise<void>(resolve => { this.wake = resolve })
        this.wake = undefined
        continue
      }
      const mayWait = this.book.count > 0 && !this.abort.signal.aborted
      const wasAnswered = await this.ask(mayWait ? this.services.options.endWaitMs : 0, this.state === SessionState.Ready)
      if (!wasAnswered) await this.services.timers.sleep(RETRY_PAUSE_MS, this.abort.signal)
    }
  }

  /** Renews the lease while runs are present; leaves it to lapse when the worker does not answer. */
  private keepLease (): void {
    const { timers, options } = this.services
    if (this.book.count === 0 && this.state === SessionState.Ready) {
      this.lastAnswerAtMs = timers.nowMs()
      return
    }
    this.judgeSilence()
    if (timers.nowMs() - this.renewedAtMs >= options.renewPeriodMs) this.ask(0, this.state === SessionState.Ready)
  }

  private judgeSilence (): void {
    const { timers, options, log } = this.services
    const nowMs = timers.nowMs()
    if (this.state === SessionState.Ready && nowMs - this.lastAnswerAtMs > options.silentAfterMs) {
      this.state = SessionState.Silent
      log.event(events.WorkerSilent, { workerId: this.worker.workerId, silentMs: Math.round(nowMs - this.lastAnswerAtMs), runs: this.book.count })
      this.handlers.onChange()
    }
    if (this.state === SessionState.Silent && nowMs > this.leaseSentAtMs + options.leaseMs * options.clockDrift) this.loseAll('lease lapsed on a silent worker')
  }

  private loseAll (reason: string): void {
    for (const run of this.book.all) this.settle(run, TaskEnd.Lost, reason)
  }

  /** Asks what the worker holds. Returns whether it answered. */
  private async ask (waitMs: number, renews: boolean): Promise<boolean> {
    const askedAtMs = this.services.timers.nowMs()
    const acknowledgedEnd = this.book.acknowledgedEnd
    const isRenewal = renews && this.clock.isKnown && this.book.count > 0
    if (isRenewal) this.noteLease()
    const leaseUntilMs = isRenewal ? this.clock.at(this.services.options.leaseMs) : undefined
    const outcome = await this.services.driver.renew({ ...this.scope, acknowledgedEnd, leaseUntilMs, waitMs })
    if (this.state === SessionState.Ended) return false
    if (outcome.kind !== 'answered') {
      this.noteFailure(outcome)
      return false
    }
    if (outcome.runs.bornAtMs !== this.worker.bornAtMs) {
      this.replace()
      return false
    }
    if (acknowledgedEnd === this.book.acknowledgedEnd) this.book.hasUnacknowledged = false
    if (isRenewal) this.renewedAtMs = Math.max(this.renewedAtMs, askedAtMs)
    this.noteAnswer(outcome.runs)
    this.takeEnds(outcome.runs.ended)
    this.takeRunning(outcome.runs.running, askedAtMs)
    return true
  }

  private noteLease (): void {
    this.leaseSentAtMs = this.services.timers.nowMs()
  }

  private noteAnswer (runs: WorkerRuns): void {
    this.clock.note(runs.clockMs)
    this.lastAnswerAtMs = this.services.timers.nowMs()
    if (this.state !== SessionState.Silent && this.state !== SessionState.Down) return
    this.state = SessionState.Ready
    this.services.log.event(events.WorkerAnswers, { workerId: this.worker.workerId })
    this.handlers.onChange()
  }

  private noteFailure (outcome: Exclude<RenewOutcome, { kind: 'answered' }>): void {
    switch (outcome.kind) {
      case 'fenced':
        this.services.fencing.raise()
        return
      case 'replaced':
        this.replace()
        return
      case 'down':
        if (this.state === SessionState.Down) return
        this.state = SessionState.Down
        this.services.log.event(events.WorkerDown, { workerId: this.worker.workerId, reason: outcome.reason, runs: this.book.count })
        this.book.hasUnacknowledged = false
        this.loseAll('worker is down')
        this.handlers.onChange()
        return
      case 'unanswered': return
      default: protocol.assertNever(outcome)
    }
  }

  private replace (): void {
    if (this.state === SessionState.Ended) return
    this.services.log.event(events.WorkerReplaced, { workerId: this.worker.workerId, bornAtMs: this.worker.bornAtMs })
    this.end('another life of the worker')
    this.handlers.onChange()
  }

  private takeEnds (ended: readonly EndedRun[]): void {
    for (const { run, cause } of this.book.takeEnds(ended, this.services.timers.nowMs())) this.settle(run, resolveEnd(cause), cause)
  }

  private takeRunning (running: readonly RunningRun[], askedAtMs: number): void {
    const nowMs = this.services.timers.nowMs()
    const listed = new Set<HeldRun>()
    for (const each of running) {
      const run = this.book.findRef(each.ref)
      if (run === undefined) {
        this.stopStray(each.ref)
        continue
      }
      listed.add(run)
      if (run.phase === RunPhase.Starting) run.phase = RunPhase.Running
      if (each.percent > run.percent) run.progressAtMs = nowMs
      run.percent = each.percent
      run.observedAtMs = nowMs
      this.pace.noteRunning(run.order.task.jobId, nowMs - run.startedAtMs, run.percent, run.order.estimatedMs)
    }
    for (const run of this.book.all) this.noteListing(run, listed.has(run), askedAtMs)
  }

  private noteListing (run: HeldRun, isListed: boolean, askedAtMs: number): void {
    if (isListed) {
      run.missedAnswers = 0
      return
    }
    if (askedAtMs <= run.startedAtMs || run.phase === RunPhase.Starting) return
    // After an acknowledged stop the worker refuses a late start, so one answer is enough.
    const needed = askedAtMs > run.stopAcknowledgedAtMs ? 1 : MAX_MISSED_ANSWERS
    if (++run.missedAnswers < needed) return
    if (run.phase === RunPhase.Running || run.stopAcknowledgedAtMs < Number.POSITIVE_INFINITY || this.hasStartExpired(run)) this.settle(run, TaskEnd.Lost, 'worker does not list the run')
  }

  /** True when the worker would refuse the run's start if it arrived now. */
  private hasStartExpired (run: HeldRun): boolean {
    const { options, timers } = this.services
    return timers.nowMs() > run.startedAtMs + options.leaseMs * options.clockDrift
  }

  private stopStray (ref: RunRef): void {
    if (this.book.hasEndedLately(ref)) return
    this.services.log.event(events.StrayRun, { jobId: ref.task.jobId, step: ref.task.step, index: ref.task.index, run: ref.run })
    this.services.driver.stop(this.scope, ref)
  }

  private settle (run: HeldRun, end: TaskEnd, reason: string, holdBack = HoldBack.None): void {
    if (!this.isHeld(run)) return
    const { task } = run.order
    const nowMs = this.services.timers.nowMs()
    this.book.remove(run, nowMs)
    const runMs = nowMs - run.startedAtMs
    if (end === TaskEnd.Done) this.pace.noteFinished(task.jobId, runMs, run.order.estimatedMs)
    this.services.log.event(events.RunEnded, { jobId: task.jobId, step: task.step, index: task.index, run: run.ref.run, end, reason, waitedMs: Math.round(run.waitedMs), runMs: Math.round(runMs), estimatedMs: run.order.estimatedMs })
    this.handlers.onEnd({ order: run.order, end, runMs, reason, holdBack })
  }
}

function resolveEnd (cause: EndCause): TaskEnd {
  switch (cause) {
    case EndCause.Done: return TaskEnd.Done
    case EndCause.Failed: return TaskEnd.Failed
    case EndCause.Stopped:
    case EndCause.LeaseLapsed:
    case EndCause.GroupBroken: return TaskEnd.Lost
    default: return protocol.assertNever(cause)
  }
}
