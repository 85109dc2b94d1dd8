/** A stand-in for a worker that runs tasks under a lease, in memory and on a timer service, with the faults that workers have. */
import type * as settings from '@egretvalve/settings'
import * as workers from '@egretvalve/workers'

/** Faults that a test switches on and off. */
export interface WorkerFaults {
  /** Nothing is answered and nothing is carried out. */
  isSilent: boolean
  /** Connections are refused. */
  isDown: boolean
  /** The next calls of a kind are not answered and are carried out after a delay. */
  late: { start: number, stop: number, renew: number }
  /** Delay of calls that are carried out late, in milliseconds. */
  lateByMs: number
  /** The next calls of a kind are carried out and their answer is lost. */
  lost: { start: number, stop: number, renew: number }
  /** Tasks make no progress. */
  isStalled: boolean
  /** Every task that starts fails. */
  isFailing: boolean
  /** Starts are refused as by an unhealthy worker. */
  isRefusing: boolean
  /** Work takes this many times as long. */
  slowFactor: number
}

/** Notices what must not happen, over all workers of a test. */
export class RunWitness {
  /** Tasks that ran twice at the same time. */
  readonly doubled: string[] = []
  readonly starts = new Map<string, number>()
  /** Tasks that ended done, by key. */
  readonly done = new Set<string>()
  private readonly present = new Map<string, number>()

  noteStart (key: string): void {
    const present = (this.present.get(key) ?? 0) + 1
    this.present.set(key, present)
    this.starts.set(key, (this.starts.get(key) ?? 0) + 1)
    if (present > 1) this.doubled.push(key)
  }

  noteEnd (key: string): void {
    this.present.set(key, (this.present.get(key) ?? 1) - 1)
  }
}

interface StandinRun {
  ref: workers.RunRef
  workMs: number
  doneMs: number
}

/** Options of a stand-in worker. */
export interface StandinWorkerOptions {
  workerId: string
  total: workers.RunSize
  /** Work of a task in milliseconds. */
  workOf: (task: workers.TaskRef) => number
  sizeOf: (task: workers.TaskRef) => workers.RunSize
  /** Rate of the worker's clock against true time. */
  clockRate?: number
  timers: settings.Timers
  witness: RunWitness
}

/** Period in which runs progress, in milliseconds. */
const STEP_MS = 5

/** A worker. */
export class StandinWorker implements workers.WorkerDriver {
  readonly faults: WorkerFaults = { isSilent: false, isDown: false, late: { start: 0, stop: 0, renew: 0 }, lateByMs: 2_000, lost: { start: 0, stop: 0, renew: 0 }, isStalled: false, isFailing: false, isRefusing: false, slowFactor: 1 }
  bornAtMs: number
  private runs = new Map<string, StandinRun>()
  private ended: workers.EndedRun[] = []
  private endCount = 0
  private fence = 0
  private leaseUntilMs = 0
  private readonly highestEnded = new Map<string, number>()
  private waiters: Array<() => void> = []
  private sequence = 0

  constructor (private readonly options: StandinWorkerOptions) {
    this.bornAtMs = options.timers.wallClockMs()
    options.timers.every(STEP_MS, () => { this.step() })
  }

  /** The worker's report of itself. */
  report (isDraining = false): workers.WorkerReport {
    return { workerId: this.options.workerId, bornAtMs: this.bornAtMs, service: 'spares', total: this.options.total, labels: [], isDraining, sequence: ++this.sequence }
  }

  get runCount (): number {
    return this.runs.size
  }

  /** Number of ends that are not acknowledged. */
  get unacknowledgedCount (): number {
    return this.ended.length
  }

  /** Begins another life: nothing runs and nothing is remembered. */
  restart (): void {
    for (const key of this.runs.keys()) this.options.witness.noteEnd(key)
    this.runs.clear()
    this.ended = []
    this.endCount = 0
    this.fence = 0
    this.leaseUntilMs = 0
    this.highestEnded.clear()
    this.bornAtMs = this.options.timers.wallClockMs()
    this.sequence = 0
  }

  async start (call: workers.StartCall): Promise<workers.StartOutcome> {
    return await this.carryOut('start', { kind: 'unanswered', reason: 'fault' }, { kind: 'refused', refusal: workers.StartRefusal.Unhealthy }, () => this.takeStart(call))
  }

  async stop (scope: workers.CallScope, ref: workers.RunRef): Promise<boolean> {
    return await this.carryOut('stop', false, false, () => this.takeStop(scope, ref))
  }

  async renew (call: workers.RenewCall): Promise<workers.RenewOutcome> {
    const outcome = await this.carryOut<workers.RenewOutcome>('renew', { kind: 'unanswered', reason: 'fault' }, { kind: 'down', reason: 'fault' }, () => this.takeRenewal(call))
    if (outcome.kind !== 'answered' || call.waitMs === 0 || outcome.runs.ended.length > 0) return outcome
    await Promise.race([this.options.timers.sleep(call.waitMs), new Promise<void>(resolve => { this.waiters.push(resolve) })])
    return this.faults.isSilent ? { kind: 'unanswered', reason: 'fault' } : { kind: 'answered', runs: this.list() }
  }

  async close (): Promise<void> {}

  /** Steady clock of the worker, in milliseconds. */
  get clockMs (): number {
    return this.options.timers.nowMs() * (this.options.clockRate ?? 1)
  }

  private async carryOut<T> (kind: 'start' | 'stop' | 'renew', unanswered: T, refused: T, act: () => T): Promise<T> {
    const { faults, options } = this
    if (faults.isDown) return refused
    if (faults.isSilent) {
      await options.timers.sleep(workers.DEFAULT_WORKER_OPTIONS.callTimeoutMs)
      return unanswered
    }
    if (faults.late[kind] > 0) {
      faults.late[kind]--
      const { bornAtMs } = this
      options.timers.after(faults.lateByMs, () => { if (this.bornAtMs === bornAtMs) act() })
      await options.timers.sleep(workers.DEFAULT_WORKER_OPTIONS.callTimeoutMs)
      return unanswered
    }
    const outcome = act()
    if (faults.lost[kind] === 0) return outcome
    faults.lost[kind]--
    await options.timers.sleep(workers.DEFAULT_WORKER_OPTIONS.callTimeoutMs)
    return unanswered
  }

  private takeStart (call: workers.StartCall): workers.StartOutcome {
    const refuse = (refusal: workers.StartRefusal): workers.StartOutcome => ({ kind: 'refused', refusal })
    if (call.workerId !== this.options.workerId) return refuse(workers.StartRefusal.Replaced)
    if (call.fencingToken < this.fence) return refuse(workers.StartRefusal.Fenced)
    this.fence = call.fencingToken
    if (this.faults.isRefusing) return refuse(workers.StartRefusal.Unhealthy)
    const key = workers.taskKey(call.ref.task)
    if (this.runs.get(key)?.ref.run === call.ref.run) return { kind: 'started' }
    if (call.leaseUntilMs <= this.clockMs) return refuse(workers.StartRefusal.LeaseExpired)
    this.leaseUntilMs = Math.max(this.leaseUntilMs, call.leaseUntilMs)
    if (call.ref.run <= (this.highestEnded.get(key) ?? 0)) return refuse(workers.StartRefusal.Superseded)
    if (!workers.fits(this.free(), this.options.sizeOf(call.ref.task))) return refuse(workers.StartRefusal.NoRoom)
    this.runs.set(key, { ref: call.ref, workMs: this.options.workOf(call.ref.task), doneMs: 0 })
    this.options.witness.noteStart(key)
    return { kind: 'started' }
  }

  private takeStop (scope: workers.CallScope, ref: workers.RunRef): boolean {
    if (scope.fencingToken < this.fence) return false
    this.fence = scope.fencingToken
    const key = workers.taskKey(ref.task)
    this.highestEnded.set(key, Math.max(ref.run, this.highestEnded.get(key) ?? 0))
    const run = this.runs.get(key)
    if (run !== undefined && run.ref.run <= ref.run) this.end(key, run, workers.EndCause.Stopped)
    return true
  }

  private takeRenewal (call: workers.RenewCall): workers.RenewOutcome {
    if (call.fencingToken < this.fence) return { kind: 'fenced' }
    this.fence = call.fencingToken
    if (call.leaseUntilMs !== undefined) this.leaseUntilMs = Math.max(this.leaseUntilMs, call.leaseUntilMs)
    this.ended = this.ended.filter(end => end.number > call.acknowledgedEnd)
    return { kind: 'answered', runs: this.list() }
  }

  private list (): workers.WorkerRuns {
    const running = [...this.runs.values()].map(run => ({ ref: run.ref, percent: Math.floor(run.doneMs / run.workMs * 100) }))
    return { bornAtMs: this.bornAtMs, clockMs: this.clockMs, running, ended: [...this.ended] }
  }

  private free (): workers.RunSize {
    return [...this.runs.values()].reduce((room, run) => workers.subtractSize(room, this.options.sizeOf(run.ref.task)), this.options.total)
  }

  private step (): void {
    for (const [key, run] of [...this.runs]) {
      if (this.clockMs > this.leaseUntilMs) this.end(key, run, workers.EndCause.LeaseLapsed)
      else if (this.faults.isFailing) this.end(key, run, workers.EndCause.Failed)
      else if (!this.faults.isStalled) run.doneMs += STEP_MS / this.faults.slowFactor
      if (run.doneMs >= run.workMs && this.runs.has(key)) this.end(key, run, workers.EndCause.Done)
    }
  }

  private end (key: string, run: StandinRun, cause: workers.EndCause): void {
    this.runs.delete(key)
    this.options.witness.noteEnd(key)
    if (cause === workers.EndCause.Done) this.options.witness.done.add(key)
    this.highestEnded.set(key, Math.max(run.ref.run, this.highestEnded.get(key) ?? 0))
    this.ended.push({ number: ++this.endCount, ref: run.ref, cause })
    for (const wake of this.waiters.splice(0)) wake()
  }
}
