/** Starts tasks ordered by entries on the worker beside the agent, or returns them immediately when the worker has no free capacity. */
import * as protocol from '@egretvalve/protocol'
import type * as settings from '@egretvalve/settings'
import { isObserved, type WorkerCrash } from './crash.ts'
import { DEFAULT_WORKER_OPTIONS, type WorkerOptions } from './defaults.ts'
import { type RunSize, taskKey, type WorkerDriver, type WorkerReport } from './driver.ts'
import { events } from './events.ts'
import { FencingToken } from './fencing.ts'
import { ReturnReason, TaskEnd, type TaskEnding, type TaskOrder } from './order.ts'
import { type OwnerLeases, UNLIMITED_OWNER_LEASES } from './ownerLeases.ts'
import { type Demand, Reservations } from './reservations.ts'
import type { ActiveRun } from './runRegistry.ts'
import { WorkerSession } from './session.ts'
import { addSize, equalsSize, fits, NO_SIZE, subtractSize } from './size.ts'

/** Callbacks of the executor. */
export interface ExecutorHandlers {
  onEnd: (ending: TaskEnding) => void
  onLoad: () => void
  /** The worker has crashed while runs were active. Called before their ends. */
  onCrash: (crash: WorkerCrash) => void
  /** Free capacity has been reserved for these entries for a short time. */
  onCapacityReserved: (owners: readonly string[]) => void
}

/** Dependencies of the executor. */
export interface ExecutorServices {
  timers: settings.Timers
  log: settings.Log
  driver: WorkerDriver
  options?: WorkerOptions
  /** Unlimited by default. */
  ownerLeases?: OwnerLeases
}

/** Load and free capacity of a worker. */
export interface ExecutorLoad {
  isPresent: boolean
  isDraining: boolean
  service: string
  total: RunSize
  /** Capacity that neither runs nor waiting tasks take. */
  free: RunSize
  labels: readonly string[]
  waiting: number
  /** True while a task is observed that is suspected of a crash. */
  hasSuspect: boolean
  /** Run-time ratio: run time of tasks over their estimates; 0 when there is too little data. */
  runTimeRatio: number
}

interface DeferredEnd {
  ending: TaskEnding
  untilMs: number
}

/** Period of the checks of waiting tasks, deferred ends and the worker's reports, in milliseconds. */
const CHECK_PERIOD_MS = 50

/** Runs tasks on one worker. */
export class RunExecutor {
  /** Number of ends by kind, of crashes of the worker while runs were active, and of runs that went on after their end had been reported, since the process started. */
  readonly counters = { runsDone: 0, runsFailed: 0, runsLost: 0, tasksReturned: 0, workerCrashes: 0, runsReappeared: 0 }
  private readonly options: WorkerOptions
  private readonly fencing: FencingToken
  private readonly ownerLeases: OwnerLeases
  private readonly reservations = new Reservations()
  private reservationTimer: settings.TimerHandle | undefined
  private session: WorkerSession | undefined
  private report: WorkerReport | undefined
  /** Birth of the incarnation with which the last session was opened. */
  private lastBornAtMs: number | undefined
  private reportedAtMs = 0
  private waiting: TaskOrder[] = []
  /** Reasons for which waiting tasks are to be returned once their earlier runs have ended. */
  private readonly stopReasons = new WeakMap<TaskOrder, string>()
  private deferredEnds: DeferredEnd[] = []
  private isStopping = false
  private isEvacuated = false
  private onIdle: (() => void) | undefined
  private readonly checkTimer: settings.TimerHandle
  private readonly startedAtMs: number

  constructor (private readonly services: ExecutorServices, private readonly handlers: ExecutorHandlers) {
    this.options = services.options ?? DEFAULT_WORKER_OPTIONS
    this.startedAtMs = services.timers.nowMs()
    this.fencing = new FencingToken(services.timers, services.log)
    this.ownerLeases = services.ownerLeases ?? UNLIMITED_OWNER_LEASES
    this.checkTimer = services.timers.every(CHECK_PERIOD_MS, () => { this.checkTimeouts() })
  }

  /** Number of tasks that wait or run, or whose end is deferred. */
  get taskCount (): number {
    return this.waiting.length + this.deferredEnds.length + (this.session?.runCount ?? 0)
  }

  /** Runs that take capacity, for reports on slow runs. */
  get runs (): Iterable<ActiveRun> {
    return this.session?.runs ?? []
  }

  /** Load and free capacity of the worker; reserved capacity counts as free. */
  get load (): ExecutorLoad {
    const { report, session } = this
    if (report === undefined || session === undefined) {
      return { isPresent: false, isDraining: false, service: '', total: NO_SIZE, free: NO_SIZE, labels: [], waiting: this.waiting.length, hasSuspect: false, runTimeRatio: 0 }
    }
    const waitingSize = this.waiting.reduce((sum, order) => addSize(sum, order.size), NO_SIZE)
    return {
      isPresent: session.acceptsRuns,
      isDraining: report.isDraining || this.isStopping,
      service: report.service,
      total: report.total,
      free: subtractSize(session.free, waitingSize),
      labels: report.labels,
      waiting: this.waiting.length,
      hasSuspect: this.isObserving(() => true),
      runTimeRatio: session.runTimeRatio.value
    }
  }

  /** Load of the worker for one entry: capacity reserved for other entries does not count as free. */
  loadFor (owner: string): ExecutorLoad {
    const { load } = this
    return { ...load, free: this.freeFor(owner, load) }
  }

  /** Free capacity of a load for one entry. */
  freeFor (owner: string, load: ExecutorLoad): RunSize {
    return this.reservations.freeCapacityFor(owner, load.free)
  }

  /** Records the most urgent tasks of an entry that wait for capacity; undefined when none wait. */
  updateDemand (owner: string, demand: Demand | undefined): void {
    this.reservations.updateDemand(owner, demand, this.services.timers.nowMs())
    this.reserve()
  }

  /** Applies a worker's report of itself. Returns false if a later incarnation or a later report is already known. */
  applyReport (report: WorkerReport): boolean {
    const known = this.report
    if (known !== undefined && isOlder(report, known)) {
      this.services.log.event(events.ReportIgnored, { workerId: report.workerId, bornAtMs: report.bornAtMs, sequence: report.sequence, knownBornAtMs: known.bornAtMs, knownSequence: known.sequence })
      return false
    }
    this.report = report
    this.reportedAtMs = this.services.timers.nowMs()
    const isSameIncarnation = known?.workerId === report.workerId && known.bornAtMs === report.bornAtMs
    if (!isSameIncarnation || this.session === undefined) this.openSession(report)
    else this.applyChanges(report, known, this.session)
    if (report.clockMs !== undefined) this.session?.updateClock(report.clockMs)
    return true
  }

  /** Handles the planned departure of a worker: no new runs start, and active runs end with the worker. */
  handleDeparture (workerId: string): void {
    if (this.report?.workerId !== workerId) return
    this.services.log.event(events.WorkerLeft, { workerId, runs: this.session?.runCount ?? 0 })
    this.report = { ...this.report, isDraining: true }
    if (this.session !== undefined) this.session.isLeaving = true
    this.returnWaiting(ReturnReason.WorkerLeft)
    this.handleLoadChange()
  }

  /** Sets whether the failure domain is evacuated: no task starts then, and waiting ones are returned. Runs go on. */
  setEvacuated (isEvacuated: boolean): void {
    this.isEvacuated = isEvacuated
    if (isEvacuated) this.returnWaiting(ReturnReason.DomainEvacuated)
    else this.handleLoadChange()
  }

  /** Accepts a task ordered by an entry. Its end is reported exactly once. A repeated order for a task that waits or for a run that is active is ignored. */
  submit (order: TaskOrder): void {
    const key = taskKey(order.task)
    const existing = this.session?.find(key)
    if (existing !== undefined && isRepeated(order, existing.order)) return
    if (this.waiting.some(other => isRepeated(order, other))) return
    if (existing !== undefined) this.stopRun(existing, 'task was ordered again')
    this.reservations.consumeReservation(order.owner, order.size)
    this.waiting.push(order)
    this.startWaiting()
  }

  /** Stops the matching tasks of an entry. */
  stop (owner: string, matches: (order: TaskOrder) => boolean, reason: string): void {
    const isSelected = (order: TaskOrder): boolean => order.owner === owner && matches(order)
    for (const order of this.waiting.filter(isSelected)) this.stopReasons.set(order, reason)
    this.returnWaiting(reason, isSelected)
    for (const run of this.session?.runs ?? []) {
      if (isSelected(run.order)) this.stopRun(run, reason)
    }
  }

  /** Returns the tasks of an entry that wait or run here, or whose end is deferred. */
  heldBy (owner: string): TaskOrder[] {
    const running = [...this.runs].map(run => run.order)
    return [...this.waiting, ...running, ...this.deferredEnds.map(each => each.ending.order)].filter(order => order.owner === owner)
  }

  /** Returns true while a task of an entry waits or runs here, or its end is deferred. */
  holdsTaskOf (owner: string): boolean {
    for (const run of this.session?.activeRuns ?? []) {
      if (run.order.owner === owner) return true
    }
    return this.waiting.some(order => order.owner === owner) || this.deferredEnds.some(each => each.ending.order.owner === owner)
  }

  /** Refuses new tasks and resolves when no task is left. */
  async drain (): Promise<void> {
    this.isStopping = true
    this.returnWaiting(ReturnReason.AgentStopping)
    this.handleLoadChange()
    if (this.taskCount > 0) await new Promise<void>(resolve => { this.onIdle = resolve })
  }

  /** Ends the session with the worker. */
  async close (): Promise<void> {
    this.checkTimer.cancel()
    this.reservationTimer?.cancel()
    this.session?.end('agent stops')
    await this.services.driver.close()
  }

  private openSession (report: WorkerReport): void {
    this.services.log.event(events.WorkerJoined, { workerId: report.workerId, bornAtMs: report.bornAtMs, service: report.service, cpuMilli: report.total.cpuMilli, labels: report.labels.join(',') })
    this.session?.endAsReplaced()
    this.fencing.advance()
    const session = new WorkerSession(report, { ...this.services, options: this.options, fencing: this.fencing, ownerLeases: this.ownerLeases, soleSinceMs: this.lastBornAtMs === report.bornAtMs ? this.services.timers.nowMs() : this.startedAtMs }, {
      onEnd: ending => { this.finish(ending) },
      onCrash: crash => {
        this.counters.workerCrashes++
        this.handlers.onCrash(crash)
      },
      onReappeared: () => { this.counters.runsReappeared++ },
      onChange: () => { this.handleSessionChange() }
    })
    session.isLeaving = report.isDraining
    this.lastBornAtMs = report.bornAtMs
    this.session = session
    session.run()
    this.handleLoadChange()
  }

  private handleLoadChange (): void {
    this.reserve()
    this.handlers.onLoad()
  }

  /** Reserves free capacity for the most urgent demands, and reassigns it when a reservation expires unused. */
  private reserve (): void {
    const { load } = this
    if (!load.isPresent || load.isDraining || this.isEvacuated) return
    const { timers } = this.services
    const owners = this.reservations.assign(load.free, timers.nowMs())
    if (owners.length > 0) this.handlers.onCapacityReserved(owners)
    const untilMs = this.reservations.nextExpiryAtMs
    if (untilMs === undefined || this.reservationTimer !== undefined) return
    this.reservationTimer = timers.after(Math.max(0, untilMs - timers.nowMs()), () => {
      this.reservationTimer = undefined
      this.handleLoadChange()
    })
  }

  private handleSessionChange (): void {
    if (this.session?.acceptsRuns === true) {
      this.reportDeferredEnds(true)
      this.startWaiting()
    } else this.returnWaiting(ReturnReason.WorkerUnresponsive)
    this.handleLoadChange()
  }

  /** Applies what a later report of the same incarnation says differently. */
  private applyChanges (report: WorkerReport, known: WorkerReport, session: WorkerSession): void {
    if (!equalsSize(report.total, known.total)) {
      session.total = report.total
      this.services.log.event(events.CapacityChanged, { workerId: report.workerId, cpuMilli: report.total.cpuMilli, memoryMb: report.total.memoryMb, freeCpuMilli: session.free.cpuMilli })
      this.handleLoadChange()
    }
    if (known.isDraining !== report.isDraining) this.handleDrainingChange(report)
    else if (report.labels.join() !== known.labels.join()) this.handleLoadChange()
  }

  private handleDrainingChange (report: WorkerReport): void {
    this.session!.isLeaving = report.isDraining
    if (report.isDraining) {
      this.services.log.event(events.WorkerDraining, { workerId: report.workerId, runs: this.session?.runCount ?? 0 })
      this.returnWaiting(ReturnReason.WorkerDraining)
    }
    this.handleLoadChange()
  }

  private get canStart (): boolean {
    return !this.isStopping && this.session?.acceptsRuns === true && this.report?.isDraining === false
  }

  private startWaiting (): void {
    if (this.isEvacuated || !this.canStart) {
      this.returnWaiting(this.isEvacuated ? ReturnReason.DomainEvacuated : ReturnReason.WorkerUnavailable)
      return
    }
    const session = this.session!
    const remaining: TaskOrder[] = []
    for (const order of this.waiting) {
      const stopReason = this.stopReasons.get(order)
      if (this.mayRun(order)) remaining.push(order)
      else if (stopReason !== undefined) this.returnTask(order, stopReason)
      else if (order.age.ms > order.expiresAfterMs) this.returnTask(order, ReturnReason.Expired)
      else if (this.ownerLeases.remainingMs(order.owner) < this.options.minStartLeaseMs) this.returnTask(order, ReturnReason.OwnerLeaseExpired)
      else if (order.requirement !== undefined && !this.report!.labels.includes(order.requirement)) this.returnTask(order, ReturnReason.LabelMissing)
      else if (order.observationMs > 0 && this.isObserving(other => other.task.jobId !== order.task.jobId)) this.returnTask(order, ReturnReason.SuspectRunning)
      else if (fits(this.reservations.freeCapacityFor(order.owner, session.free), order.size)) this.start(order, session)
      else this.returnTask(order, ReturnReason.NoCapacity)
    }
    this.waiting = remaining
    this.handleLoadChange()
  }

  private start (order: TaskOrder, session: WorkerSession): void {
    session.start(order)
    if (order.observationMs > 0) this.services.timers.after(order.observationMs, () => { this.handleLoadChange() })
  }

  /** Returns true while a matching task that is suspected of a crash is observed. */
  private isObserving (matches: (order: TaskOrder) => boolean): boolean {
    const nowMs = this.services.timers.nowMs()
    for (const run of this.session?.activeRuns ?? []) {
      if (isObserved(run, nowMs) && matches(run.order)) return true
    }
    return false
  }

  /** Reports deferred ends that are due, and drops a worker that has stopped reporting. */
  private checkTimeouts (): void {
    this.reportDeferredEnds(false)
    if (this.report === undefined || this.services.timers.nowMs() - this.reportedAtMs < this.options.reportTimeoutMs) return
    this.services.log.event(events.ReportTimeout, { workerId: this.report.workerId })
    this.session?.end('worker stopped reporting')
    this.session = undefined
    this.report = undefined
    this.handleLoadChange()
  }

  /** Returns the selected waiting tasks, so that they can start elsewhere, without those whose earlier run may go on here. */
  private returnWaiting (reason: string, isSelected: (order: TaskOrder) => boolean = () => true): void {
    if (this.waiting.length > 0) this.returnTasks(this.waiting.filter(order => isSelected(order) && !this.mayRun(order)), reason)
  }

  /** Returns true while an earlier run of the task may go on. */
  private mayRun ({ task }: TaskOrder): boolean {
    const key = taskKey(task)
    return this.session?.find(key) !== undefined || this.deferredEnds.some(({ ending }) => taskKey(ending.order.task) === key)
  }

  private returnTasks (returned: readonly TaskOrder[], reason: string): void {
    if (returned.length === 0) return
    this.waiting = this.waiting.filter(order => !returned.includes(order))
    for (const order of returned) this.returnTask(order, reason)
    this.handleLoadChange()
  }

  private returnTask (order: TaskOrder, reason: string): void {
    const { jobId, step, index } = order.task
    this.services.log.event(events.TaskReturned, { jobId, step, index, attempt: order.attempt, reason, ageMs: Math.round(order.age.ms), ownerLeaseMs: Math.round(this.ownerLeases.remainingMs(order.owner)) })
    this.count(TaskEnd.NotStarted)
    this.handlers.onEnd({ order, end: TaskEnd.NotStarted, runMs: 0, reason, deferredForMs: 0 })
    this.notifyIfIdle()
  }

  private finish (ending: TaskEnding): void {
    if (ending.deferredForMs > 0) {
      this.deferredEnds.push({ ending, untilMs: this.services.timers.nowMs() + ending.deferredForMs })
      return
    }
    this.count(ending.end)
    this.handlers.onEnd(ending)
    if (this.waiting.length > 0) this.startWaiting()
    else this.handleLoadChange()
    this.notifyIfIdle()
  }

  private count (end: TaskEnd): void {
    switch (end) {
      case TaskEnd.Done: this.counters.runsDone++; return
      case TaskEnd.Failed: this.counters.runsFailed++; return
      case TaskEnd.Lost: this.counters.runsLost++; return
      case TaskEnd.NotStarted: this.counters.tasksReturned++; return
      default: protocol.assertNever(end)
    }
  }

  /** Reports deferred ends of tasks that can no longer be running. After a take-over none is, as a start under way is refused for its lower token. */
  private reportDeferredEnds (isTakenOver: boolean): void {
    if (this.deferredEnds.length === 0) return
    const nowMs = this.services.timers.nowMs()
    const isDue = ({ untilMs }: DeferredEnd): boolean => isTakenOver || nowMs > untilMs
    const due = this.deferredEnds.filter(isDue)
    this.deferredEnds = this.deferredEnds.filter(each => !isDue(each))
    for (const { ending } of due) this.finish({ ...ending, deferredForMs: 0 })
  }

  private stopRun (run: ActiveRun, reason: string): void {
    this.session?.stop(run, reason)
  }

  private notifyIfIdle (): void {
    if (this.taskCount === 0) this.onIdle?.()
  }
}

/** Returns true for two orders of the same attempt. */
function isRepeated (order: TaskOrder, known: TaskOrder): boolean {
  return order.attempt === known.attempt && order.owner === known.owner && taskKey(order.task) === taskKey(known.task)
}

/** Returns true for a report of an earlier incarnation of the worker, or one that arrived after a later report. */
function isOlder (report: WorkerReport, known: WorkerReport): boolean {
  if (report.bornAtMs !== known.bornAtMs) return report.bornAtMs < known.bornAtMs
  return report.workerId === known.workerId && report.sequence <= known.sequence
}
