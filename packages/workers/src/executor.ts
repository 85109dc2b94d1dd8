/** Takes orders of entries and starts them on the worker beside the agent, or returns them at once when there is no room. */
import * as protocol from '@egretvalve/protocol'
import type * as settings from '@egretvalve/settings'
import { DEFAULT_WORKER_OPTIONS, type WorkerOptions } from './defaults.ts'
import { type RunSize, taskKey, type WorkerDriver, type WorkerReport } from './driver.ts'
import { events } from './events.ts'
import { FencingToken } from './fencing.ts'
import { HoldBack, TaskEnd, type TaskEnding, type TaskOrder } from './order.ts'
import { type Demand, Reservations } from './reservations.ts'
import type { HeldRun } from './runBook.ts'
import { WorkerSession } from './session.ts'
import { addSize, fits, NO_SIZE, subtractSize } from './size.ts'

/** What the executor tells the links. */
export interface ExecutorHandlers {
  onEnd: (ending: TaskEnding) => void
  onLoad: () => void
  /** Room has become free that is kept for these entries for a moment. */
  onRoom: (owners: readonly string[]) => void
}

/** Services of the executor. */
export interface ExecutorServices {
  timers: settings.Timers
  log: settings.Log
  driver: WorkerDriver
  options?: WorkerOptions
}

/** How much of the worker is free. */
export interface ExecutorLoad {
  isPresent: boolean
  isDraining: boolean
  service: string
  total: RunSize
  /** Room that neither runs nor waiting tasks take. */
  free: RunSize
  labels: readonly string[]
  waiting: number
  /** Run time of tasks over their estimates; 0 when too little is known. */
  pace: number
}

interface HeldBackEnd {
  ending: TaskEnding
  untilMs: number
}

/** Period in which waiting tasks and the worker's reports are looked at, in milliseconds. */
const TICK_PERIOD_MS = 50

/** Runs the tasks of one worker. */
export class RunExecutor {
  /** Ends since the process began. */
  readonly counters = { runsDone: 0, runsFailed: 0, runsLost: 0, tasksReturned: 0 }
  private readonly options: WorkerOptions
  private readonly fencing: FencingToken
  private readonly reservations = new Reservations()
  private reservationTimer: settings.TimerHandle | undefined
  private session: WorkerSession | undefined
  private report: WorkerReport | undefined
  private reportedAtMs = 0
  private waiting: TaskOrder[] = []
  private heldBack: HeldBackEnd[] = []
  private isStopping = false
  private onIdle: (() => void) | undefined
  private readonly tick: settings.TimerHandle

  constructor (private readonly services: ExecutorServices, private readonly handlers: ExecutorHandlers) {
    this.options = services.options ?? DEFAULT_WORKER_OPTIONS
    this.fencing = new FencingToken(services.timers, services.log)
    this.tick = services.timers.every(TICK_PERIOD_MS, () => { this.review() })
  }

  /** Tasks that wait or run. */
  get taskCount (): number {
    return this.waiting.length + this.heldBack.length + (this.session?.runCount ?? 0)
  }

  /** Runs that take room, for reports on slow ones. */
  get runs (): Iterable<HeldRun> {
    return this.session?.runs ?? []
  }

  /** How much of the worker is free. */
  get load (): ExecutorLoad {
    const { report, session } = this
    if (report === undefined || session === undefined) {
      return { isPresent: false, isDraining: false, service: '', total: NO_SIZE, free: NO_SIZE, labels: [], waiting: this.waiting.length, pace: 0 }
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
      pace: session.pace.value
    }
  }

  /** How much of the worker an entry may use: not the room that is kept for others. */
  loadFor (owner: string): ExecutorLoad {
    const { load } = this
    return { ...load, free: this.reservations.roomFor(owner, load.free) }
  }

  /** Takes the most urgent tasks of an entry that wait for room, or that none waits. */
  takeDemand (owner: string, demand: Demand | undefined): void {
    this.reservations.note(owner, demand, this.services.timers.nowMs())
    this.reserve()
  }

  /** Takes a worker's report of itself. Returns false when a later life or a later report is known. */
  takeReport (report: WorkerReport): boolean {
    const known = this.report
    if (known !== undefined && isOlder(report, known)) {
      this.services.log.event(events.ReportIgnored, { workerId: report.workerId, bornAtMs: report.bornAtMs, sequence: report.sequence, knownBornAtMs: known.bornAtMs, knownSequence: known.sequence })
      return false
    }
    this.report = report
    this.reportedAtMs = this.services.timers.nowMs()
    const isSameLife = known?.workerId === report.workerId && known.bornAtMs === report.bornAtMs
    if (!isSameLife || this.session === undefined) this.openSession(report)
    else if (known.isDraining !== report.isDraining) this.noteDraining(report)
    return true
  }

  /** Notes that the worker leaves as planned: nothing new starts, and what runs ends with it. */
  takeLeave (workerId: string): void {
    if (this.report?.workerId !== workerId) return
    this.services.log.event(events.WorkerLeft, { workerId, runs: this.session?.runCount ?? 0 })
    this.report = { ...this.report, isDraining: true }
    this.returnWaiting(() => true, 'worker left')
    this.noteLoad()
  }

  /** Takes an entry's task. Its end is reported once. */
  submit (order: TaskOrder): void {
    const key = taskKey(order.task)
    const held = this.session?.find(key)
    if (held?.order.owner === order.owner && held.order.attempt === order.attempt) return
    if (held !== undefined) this.stopRun(held, 'task was ordered again')
    this.reservations.noteOrder(order.owner, order.size)
    this.waiting.push(order)
    this.startNext()
  }

  /** Ends an entry's tasks of a job. */
  stop (owner: string, matches: (order: TaskOrder) => boolean, reason: string): void {
    const isMeant = (order: TaskOrder): boolean => order.owner === owner && matches(order)
    this.returnWaiting(isMeant, reason)
    for (const run of this.session?.runs ?? []) {
      if (isMeant(run.order)) this.stopRun(run, reason)
    }
  }

  /** Lists the tasks of an entry that wait or run here. */
  heldBy (owner: string): TaskOrder[] {
    const running = [...this.runs].map(run => run.order)
    return [...this.waiting, ...running, ...this.heldBack.map(each => each.ending.order)].filter(order => order.owner === owner)
  }

  /** Refuses new tasks and resolves when those that run have ended. */
  async drain (): Promise<void> {
    this.isStopping = true
    this.returnWaiting(() => true, 'agent stops')
    this.noteLoad()
    if (this.taskCount > 0) await new Promise<void>(resolve => { this.onIdle = resolve })
  }

  /** Ends the session with the worker. */
  async close (): Promise<void> {
    this.tick.cancel()
    this.reservationTimer?.cancel()
    this.session?.end('agent stops')
    await this.services.driver.close()
  }

  private openSession (report: WorkerReport): void {
    this.services.log.event(events.WorkerJoined, { workerId: report.workerId, bornAtMs: report.bornAtMs, service: report.service, cpuMilli: report.total.cpuMilli, labels: report.labels.join(',') })
    this.session?.end('another life of the worker')
    const session = new WorkerSession(report, { ...this.services, options: this.options, fencing: this.fencing }, {
      onEnd: ending => { this.finish(ending) },
      onChange: () => { this.noteChange() }
    })
    this.session = session
    session.run()
    this.noteLoad()
  }

  private noteLoad (): void {
    this.reserve()
    this.handlers.onLoad()
  }

  /** Keeps free room for the most urgent demands, and looks again when an entry has not used it. */
  private reserve (): void {
    const { load } = this
    if (!load.isPresent || load.isDraining) return
    const { timers } = this.services
    const owners = this.reservations.assign(load.free, timers.nowMs())
    if (owners.length > 0) this.handlers.onRoom(owners)
    const untilMs = this.reservations.reservedUntilMs
    if (untilMs === undefined || this.reservationTimer !== undefined) return
    this.reservationTimer = timers.after(Math.max(0, untilMs - timers.nowMs()), () => {
      this.reservationTimer = undefined
      this.noteLoad()
    })
  }

  private noteChange (): void {
    if (this.session?.acceptsRuns === true) {
      this.releaseHeldBack(true)
      this.startNext()
    } else this.returnWaiting(() => true, 'worker does not answer')
    this.noteLoad()
  }

  private noteDraining (report: WorkerReport): void {
    if (report.isDraining) {
      this.services.log.event(events.WorkerDraining, { workerId: report.workerId, runs: this.session?.runCount ?? 0 })
      this.returnWaiting(() => true, 'worker is draining')
    }
    this.noteLoad()
  }

  private get mayStart (): boolean {
    return !this.isStopping && this.session?.acceptsRuns === true && this.report?.isDraining === false
  }

  private startNext (): void {
    if (!this.mayStart) {
      this.returnWaiting(() => true, 'worker takes no runs')
      return
    }
    const session = this.session!
    const kept: TaskOrder[] = []
    for (const order of this.waiting) {
      if (order.age.ms > order.expiresAfterMs) this.giveBack(order, 'expired')
      else if (session.find(taskKey(order.task)) !== undefined) kept.push(order)
      else if (fits(this.reservations.roomFor(order.owner, session.free), order.size)) session.start(order)
      else this.giveBack(order, 'no room')
    }
    this.waiting = kept
    this.noteLoad()
  }

  /** Returns tasks that have waited too long for the end of an earlier run, and gives up a worker that has stopped reporting. */
  private review (): void {
    this.releaseHeldBack(false)
    this.returnWaiting(order => order.age.ms > Math.min(order.expiresAfterMs, this.options.queueLimitMs), 'earlier run not ended in time')
    if (this.report === undefined || this.services.timers.nowMs() - this.reportedAtMs < this.options.reportTimeoutMs) return
    this.services.log.event(events.ReportTimeout, { workerId: this.report.workerId })
    this.session?.end('worker stopped reporting')
    this.session = undefined
    this.report = undefined
    this.noteLoad()
  }

  private returnWaiting (matches: (order: TaskOrder) => boolean, reason: string): void {
    if (this.waiting.length === 0) return
    const returned = this.waiting.filter(matches)
    if (returned.length === 0) return
    this.waiting = this.waiting.filter(order => !returned.includes(order))
    for (const order of returned) this.giveBack(order, reason)
    this.noteLoad()
  }

  private giveBack (order: TaskOrder, reason: string): void {
    const { jobId, step, index } = order.task
    this.services.log.event(events.TaskReturned, { jobId, step, index, attempt: order.attempt, reason, ageMs: Math.round(order.age.ms) })
    this.count(TaskEnd.NotStarted)
    this.handlers.onEnd({ order, end: TaskEnd.NotStarted, runMs: 0, reason, holdBack: HoldBack.None })
    this.noteIdle()
  }

  private finish (ending: TaskEnding): void {
    if (ending.holdBack !== HoldBack.None) {
      this.heldBack.push({ ending, untilMs: this.services.timers.nowMs() + this.options.leaseMs * this.options.clockDrift })
      return
    }
    this.count(ending.end)
    this.handlers.onEnd(ending)
    if (this.waiting.length > 0) this.startNext()
    else this.noteLoad()
    this.noteIdle()
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

  /** Tells the ends of tasks that can't run any more. */
  private releaseHeldBack (isTakenOver: boolean): void {
    if (this.heldBack.length === 0) return
    const nowMs = this.services.timers.nowMs()
    const isOver = ({ ending, untilMs }: HeldBackEnd): boolean => nowMs > untilMs || (isTakenOver && ending.holdBack === HoldBack.UntilTakenOver)
    const over = this.heldBack.filter(isOver)
    this.heldBack = this.heldBack.filter(each => !isOver(each))
    for (const { ending } of over) this.finish({ ...ending, holdBack: HoldBack.None })
  }

  private stopRun (run: HeldRun, reason: string): void {
    this.session?.stop(run, reason)
  }

  private noteIdle (): void {
    if (this.taskCount === 0) this.onIdle?.()
  }
}

/** A report of an earlier life, or one that was overtaken, describes a worker that is gone. */
function isOlder (report: WorkerReport, known: WorkerReport): boolean {
  if (report.bornAtMs !== known.bornAtMs) return report.bornAtMs < known.bornAtMs
  return report.workerId === known.workerId && report.sequence <= known.sequence
}
