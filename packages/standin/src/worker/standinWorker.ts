/** A simulated worker that runs tasks under a lease, driven by a timer service, with injectable faults. */
import type * as settings from '@egretvalve/settings'
import * as workers from '@egretvalve/workers'

/** Kinds of calls to a worker. */
export type CallKind = 'start' | 'stop' | 'renew'

/** Way of a call to the worker, or of its answer back. */
export enum PathLeg {
  Request = 'request',
  Answer = 'answer'
}

/** Faults of a stand-in worker, set by tests at any time. Call counters decrease by one with each affected call. */
export interface WorkerFaults {
  /** Calls time out without effect. */
  isUnresponsive: boolean
  /** Calls fail immediately, as if the connection were refused. */
  isDown: boolean
  /** Number of next calls, by kind, that time out and take effect only after a delay. */
  delayedCalls: Record<CallKind, number>
  /** Delay of calls that take effect late, in milliseconds. */
  callDelayMs: number
  /** Late calls are also carried out by the next life of the worker under the same id. */
  lateCallsOutliveRestarts: boolean
  /** Number of next calls, by kind, that take effect and time out because the answer is lost. */
  lostAnswers: Record<CallKind, number>
  /** Runs make no progress. */
  isStalled: boolean
  /** Every run fails. */
  isFailing: boolean
  /** Starts are refused with `StartRefusal.Unhealthy`. */
  isRefusing: boolean
  /** Factor by which runs take longer. */
  slowFactor: number
  /** Share of the worker's capacity that is there. Runs that exceed it go on. */
  capacityShare: number
  /** Starts beyond the capacity are counted. False while the worker's agent may not know of a change yet. */
  countsOverloads: boolean
}

/** Crashes of workers after which a task should not be started again. */
const CRASH_BUDGET = 3

/** Records the runs on all workers of a test and detects concurrent runs of the same task. */
export class RunRecorder {
  /** Keys of tasks that started while another run of them was active; one entry per such start. */
  readonly concurrentRuns: string[] = []
  /** Number of crashes of a worker by the key of the task that caused them. */
  readonly crashes = new Map<string, number>()
  /** Number of starts of a task after it had crashed `CRASH_BUDGET` workers, by its key. */
  readonly startsBeyondBudget = new Map<string, number>()
  /** Number of starts that brought a worker over its capacity. */
  overloads = 0
  /** Number of starts by task key. */
  readonly starts = new Map<string, number>()
  /** Keys of tasks with a run that ended with `EndCause.Done`. */
  readonly done = new Set<string>()
  private readonly activeRuns = new Map<string, number>()

  recordStart (key: string): void {
    const activeCount = (this.activeRuns.get(key) ?? 0) + 1
    this.activeRuns.set(key, activeCount)
    this.starts.set(key, (this.starts.get(key) ?? 0) + 1)
    if (activeCount > 1) this.concurrentRuns.push(key)
    if ((this.crashes.get(key) ?? 0) >= CRASH_BUDGET) this.startsBeyondBudget.set(key, (this.startsBeyondBudget.get(key) ?? 0) + 1)
  }

  recordCrash (key: string): void {
    this.crashes.set(key, (this.crashes.get(key) ?? 0) + 1)
  }

  recordEnd (key: string): void {
    this.activeRuns.set(key, (this.activeRuns.get(key) ?? 1) - 1)
  }
}

interface StandinRun {
  ref: workers.RunRef
  spec: string
  workMs: number
  /** Progress towards `workMs`. */
  doneMs: number
  startedAtMs: number
  isStopping: boolean
}

/** Options of a stand-in worker. */
export interface StandinWorkerOptions {
  workerId: string
  total: workers.RunSize
  /** Returns the run time of a task in milliseconds. */
  workOf: (task: workers.TaskRef, spec: string) => number
  sizeOf: (task: workers.TaskRef) => workers.RunSize
  /** Called for each start, before its run is active. */
  onStart?: (task: workers.TaskRef) => void
  /** Returns the time from the start of a task to the crash that it causes, in milliseconds, or 0 for a crash before the start is answered; undefined for a task that causes none. */
  crashesAfterMs?: (task: workers.TaskRef, spec: string) => number | undefined
  /** True for a worker that starts what it is told to, also beyond its capacity. */
  isUnguarded?: boolean
  /** Rate of the worker's clock relative to the timer service. Defaults to 1. */
  clockRate?: number
  /** Returns the time for which a call or its answer is under way, in milliseconds. It is asked for each, so that calls can overtake each other. None by default. */
  pathDelayMs?: (kind: CallKind, leg: PathLeg) => number
  /** Returns the time that a run takes to end after a stop, in milliseconds. None by default. */
  stopDurationMs?: () => number
  /** True for a worker that no longer lists a run that is being stopped. */
  hidesStoppingRuns?: boolean
  timers: settings.Timers
  runRecorder: RunRecorder
}

/** Simulation step in milliseconds. */
const STEP_MS = 5
/** Time for which a worker is down after a crash, in milliseconds. */
const CRASH_DOWN_MS = 3_000
/** Longest lease that a worker grants, in milliseconds on its clock. A longer one is shortened. */
const MAX_LEASE_MS = 1_000

/** An in-memory `WorkerDriver` with injectable faults. */
export class StandinWorker implements workers.WorkerDriver {
  readonly faults: WorkerFaults = { isUnresponsive: false, isDown: false, delayedCalls: { start: 0, stop: 0, renew: 0 }, callDelayMs: 2_000, lateCallsOutliveRestarts: false, lostAnswers: { start: 0, stop: 0, renew: 0 }, isStalled: false, isFailing: false, isRefusing: false, slowFactor: 1, capacityShare: 1, countsOverloads: true }
  bornAtMs: number
  private startedAtMs: number
  private runs = new Set<StandinRun>()
  private ended: workers.EndedRun[] = []
  private endCount = 0
  private fence = 0
  private leaseUntilMs = 0
  /** Highest run number, by task key, that has ended or was stopped. */
  private readonly highestEnded = new Map<string, number>()
  private waiters: Array<() => void> = []
  private sequence = 0

  constructor (private readonly options: StandinWorkerOptions) {
    this.bornAtMs = options.timers.wallClockMs()
    this.startedAtMs = options.timers.nowMs()
    options.timers.every(STEP_MS, () => { this.step() })
  }

  /** Creates the worker's next report, with an increased sequence number. */
  report (isDraining = false): workers.WorkerReport {
    return { workerId: this.options.workerId, bornAtMs: this.bornAtMs, service: 'spares', total: this.capacity, labels: [], isDraining, sequence: ++this.sequence, clockMs: this.clockMs }
  }

  /** Capacity at present. */
  get capacity (): workers.RunSize {
    const { cpuMilli, memoryMb, accelerators } = this.options.total
    const share = this.faults.capacityShare
    return { cpuMilli: Math.floor(cpuMilli * share), memoryMb: Math.floor(memoryMb * share), accelerators: Math.floor(accelerators * share) }
  }

  get runCount (): number {
    return this.runs.size
  }

  /** Returns true while a run of the task goes on, also one that is being stopped. */
  isRunning (task: workers.TaskRef): boolean {
    return this.runsOf(task).length > 0
  }

  /** Number of run ends not yet acknowledged by the agent. */
  get unacknowledgedCount (): number {
    return this.ended.length
  }

  /** Starts a new incarnation of the worker: drops all runs, unacknowledged ends, the lease and the fencing token. */
  restart (): void {
    for (const { ref } of this.runs) this.options.runRecorder.recordEnd(workers.taskKey(ref.task))
    this.runs.clear()
    this.ended = []
    this.endCount = 0
    this.fence = 0
    this.leaseUntilMs = 0
    this.highestEnded.clear()
    this.startedAtMs = this.options.timers.nowMs()
    this.bornAtMs = this.options.timers.wallClockMs()
    this.sequence = 0
  }

  async start (call: workers.StartCall): Promise<workers.StartOutcome> {
    const unanswered: workers.StartOutcome = { kind: 'unanswered', reason: 'fault' }
    return await this.sendOnPath('start', unanswered, 0, async () => await this.performWithFaults('start', unanswered, { kind: 'refused', refusal: workers.StartRefusal.Unhealthy }, () => this.handleStart(call)))
  }

  async stop (scope: workers.CallScope, ref: workers.RunRef): Promise<boolean> {
    return await this.sendOnPath('stop', false, 0, async () => await this.performWithFaults('stop', false, false, () => this.handleStop(scope, ref)))
  }

  async renew (call: workers.RenewCall): Promise<workers.RenewOutcome> {
    return await this.sendOnPath<workers.RenewOutcome>('renew', { kind: 'unanswered', reason: 'fault' }, call.waitMs, async () => await this.handleQuery(call))
  }

  private async handleQuery (call: workers.RenewCall): Promise<workers.RenewOutcome> {
    const outcome = await this.performWithFaults<workers.RenewOutcome>('renew', { kind: 'unanswered', reason: 'fault' }, { kind: 'down', reason: 'fault' }, () => this.handleRenewal(call))
    if (outcome.kind !== 'answered' || call.waitMs === 0 || outcome.runs.ended.length > 0) return outcome
    await Promise.race([this.options.timers.sleep(call.waitMs), new Promise<void>(resolve => { this.waiters.push(resolve) })])
    if (this.faults.isDown) return { kind: 'down', reason: 'crash' }
    return this.faults.isUnresponsive ? { kind: 'unanswered', reason: 'fault' } : { kind: 'answered', runs: this.list() }
  }

  async close (): Promise<void> {}

  /** Monotonic clock of the worker, in milliseconds. It starts anew with each life. */
  get clockMs (): number {
    return (this.options.timers.nowMs() - this.startedAtMs) * (this.options.clockRate ?? 1)
  }

  /** Carries out a call after its way to the worker, unless another life of the worker has begun, and returns the answer after its way back or the time limit of the call. */
  private async sendOnPath<T> (kind: CallKind, unanswered: T, waitMs: number, perform: () => Promise<T>): Promise<T> {
    const { pathDelayMs, timers } = this.options
    if (pathDelayMs === undefined) return await perform()
    const { bornAtMs } = this
    const exchange = async (): Promise<T> => {
      await timers.sleep(pathDelayMs(kind, PathLeg.Request))
      if (this.bornAtMs !== bornAtMs) return unanswered
      const answer = await perform()
      await timers.sleep(pathDelayMs(kind, PathLeg.Answer))
      return this.bornAtMs === bornAtMs ? answer : unanswered
    }
    const expired = new AbortController()
    const answer = await Promise.race([exchange(), timers.sleep(workers.DEFAULT_WORKER_OPTIONS.callTimeoutMs + waitMs, expired.signal).then(() => unanswered)])
    expired.abort()
    return answer
  }

  private async performWithFaults<T> (kind: CallKind, unanswered: T, refused: T, perform: () => T): Promise<T> {
    const { faults, options } = this
    if (faults.isDown) return refused
    if (faults.isUnresponsive) {
      await options.timers.sleep(workers.DEFAULT_WORKER_OPTIONS.callTimeoutMs)
      return unanswered
    }
    if (faults.delayedCalls[kind] > 0) {
      faults.delayedCalls[kind]--
      const { bornAtMs } = this
      options.timers.after(faults.callDelayMs, () => { if (this.bornAtMs === bornAtMs || faults.lateCallsOutliveRestarts) perform() })
      await options.timers.sleep(workers.DEFAULT_WORKER_OPTIONS.callTimeoutMs)
      return unanswered
    }
    const outcome = perform()
    if (faults.lostAnswers[kind] === 0) return outcome
    faults.lostAnswers[kind]--
    await options.timers.sleep(workers.DEFAULT_WORKER_OPTIONS.callTimeoutMs)
    return unanswered
  }

  private handleStart (call: workers.StartCall): workers.StartOutcome {
    const refuse = (refusal: workers.StartRefusal): workers.StartOutcome => ({ kind: 'refused', refusal })
    if (call.workerId !== this.options.workerId) return refuse(workers.StartRefusal.Replaced)
    if (call.fencingToken < this.fence) return refuse(workers.StartRefusal.Fenced)
    this.fence = call.fencingToken
    if (this.faults.isRefusing) return refuse(workers.StartRefusal.Unhealthy)
    const key = workers.taskKey(call.ref.task)
    if (this.runsOf(call.ref.task).some(({ ref }) => ref.run === call.ref.run)) return { kind: 'started' }
    if (call.leaseUntilMs <= this.clockMs) return refuse(workers.StartRefusal.LeaseExpired)
    this.extendLease(call.leaseUntilMs)
    if (call.ref.run <= (this.highestEnded.get(key) ?? 0)) return refuse(workers.StartRefusal.Superseded)
    if (!workers.fits(this.freeCapacity(), this.options.sizeOf(call.ref.task))) {
      if (this.options.isUnguarded !== true) return refuse(workers.StartRefusal.NoCapacity)
      if (this.faults.countsOverloads) this.options.runRecorder.overloads++
    }
    this.options.onStart?.(call.ref.task)
    this.runs.add({ ref: call.ref, spec: call.spec, workMs: this.options.workOf(call.ref.task, call.spec), doneMs: 0, startedAtMs: this.options.timers.nowMs(), isStopping: false })
    this.options.runRecorder.recordStart(key)
    if (this.options.crashesAfterMs?.(call.ref.task, call.spec) === 0) {
      this.options.runRecorder.recordCrash(key)
      this.crash()
      return { kind: 'unanswered', reason: 'crash' }
    }
    return { kind: 'started' }
  }

  private handleStop (scope: workers.CallScope, ref: workers.RunRef): boolean {
    if (scope.fencingToken < this.fence) return false
    this.fence = scope.fencingToken
    const key = workers.taskKey(ref.task)
    this.highestEnded.set(key, Math.max(ref.run, this.highestEnded.get(key) ?? 0))
    for (const run of this.runsOf(ref.task)) {
      if (run.ref.run <= ref.run) this.stopRun(run)
    }
    return true
  }

  private stopRun (run: StandinRun): void {
    if (run.isStopping) return
    const durationMs = this.options.stopDurationMs?.() ?? 0
    if (durationMs === 0) {
      this.end(run, workers.EndCause.Stopped)
      return
    }
    run.isStopping = true
    this.options.timers.after(durationMs, () => { this.end(run, workers.EndCause.Stopped) })
  }

  private runsOf (task: workers.TaskRef): StandinRun[] {
    const key = workers.taskKey(task)
    return [...this.runs].filter(({ ref }) => workers.taskKey(ref.task) === key)
  }

  private handleRenewal (call: workers.RenewCall): workers.RenewOutcome {
    if (call.fencingToken < this.fence) return { kind: 'fenced' }
    this.fence = call.fencingToken
    if (call.leaseUntilMs !== undefined) this.extendLease(call.leaseUntilMs)
    this.ended = this.ended.filter(end => end.number > call.acknowledgedEnd)
    return { kind: 'answered', runs: this.list() }
  }

  /** Extends the lease, to the longest that the platform's workers grant at most. */
  private extendLease (untilMs: number): void {
    this.leaseUntilMs = Math.max(this.leaseUntilMs, Math.min(untilMs, this.clockMs + MAX_LEASE_MS))
  }

  private list (): workers.WorkerRuns {
    const listed = [...this.runs].filter(run => !run.isStopping || this.options.hidesStoppingRuns !== true)
    const running = listed.map(run => ({ ref: run.ref, percent: Math.floor(run.doneMs / run.workMs * 100) }))
    return { bornAtMs: this.bornAtMs, clockMs: this.clockMs, running, ended: [...this.ended] }
  }

  private freeCapacity (): workers.RunSize {
    return [...this.runs].reduce((capacity, run) => workers.subtractSize(capacity, this.options.sizeOf(run.ref.task)), this.capacity)
  }

  /** Goes down with all runs. A new incarnation is back after `downMs`. A worker that is down stays so for as long as it would. */
  crash (downMs = CRASH_DOWN_MS): void {
    if (this.faults.isDown) return
    this.restart()
    this.faults.isDown = true
    for (const resolve of this.waiters.splice(0)) resolve()
    this.options.timers.after(downMs, () => {
      this.bornAtMs = this.options.timers.wallClockMs()
      this.faults.isDown = false
    })
  }

  private step (): void {
    for (const run of [...this.runs]) {
      const crashesAfterMs = this.options.crashesAfterMs?.(run.ref.task, run.spec)
      if (crashesAfterMs !== undefined && this.options.timers.nowMs() - run.startedAtMs >= crashesAfterMs) {
        this.options.runRecorder.recordCrash(workers.taskKey(run.ref.task))
        this.crash()
        return
      }
      if (this.clockMs > this.leaseUntilMs) this.end(run, workers.EndCause.LeaseExpired)
      else if (!run.isStopping) this.work(run)
    }
  }

  private work (run: StandinRun): void {
    if (this.faults.isFailing) {
      this.end(run, workers.EndCause.Failed)
      return
    }
    if (!this.faults.isStalled) run.doneMs += STEP_MS / this.faults.slowFactor
    if (run.doneMs >= run.workMs) this.end(run, workers.EndCause.Done)
  }

  private end (run: StandinRun, cause: workers.EndCause): void {
    if (!this.runs.delete(run)) return
    const key = workers.taskKey(run.ref.task)
    this.options.runRecorder.recordEnd(key)
    if (cause === workers.EndCause.Done) this.options.runRecorder.done.add(key)
    this.highestEnded.set(key, Math.max(run.ref.run, this.highestEnded.get(key) ?? 0))
    this.ended.push({ number: ++this.endCount, ref: run.ref, cause })
    for (const resolve of this.waiters.splice(0)) resolve()
  }
}
