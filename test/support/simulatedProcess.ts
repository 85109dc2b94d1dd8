/** A process on simulated time that can be paused and killed, with its timers, sockets and calls to a worker. */
import type * as settings from '@egretvalve/settings'
import type * as workers from '@egretvalve/workers'

/** Runs the callbacks of one process. While it is paused they wait; those of a killed process never run. */
export class SimulatedProcess {
  private isPausedNow = false
  private isDeadNow = false
  private readonly dueTimers: Array<() => void> = []
  private readonly unread: Array<() => void> = []

  get isPaused (): boolean {
    return this.isPausedNow
  }

  get isDead (): boolean {
    return this.isDeadNow
  }

  runTimer (callback: () => void): void {
    if (this.isDeadNow) return
    if (this.isPausedNow) this.dueTimers.push(callback)
    else callback()
  }

  /** Runs what reads from a socket. */
  read (callback: () => void): void {
    if (this.isDeadNow) return
    if (this.isPausedNow) this.unread.push(callback)
    else callback()
  }

  pause (): void {
    this.isPausedNow = true
  }

  /** Resumes the process. An event loop that is resumed may run its due timers before it reads its sockets, or after. */
  resume (timersFirst: boolean): void {
    if (!this.isPausedNow) return
    this.isPausedNow = false
    const queues = timersFirst ? [this.dueTimers, this.unread] : [this.unread, this.dueTimers]
    for (const queue of queues) for (const callback of queue.splice(0)) callback()
  }

  kill (): void {
    this.isDeadNow = true
    this.dueTimers.length = 0
    this.unread.length = 0
  }
}

/** The timers of a process. Its clocks go on while it is paused. */
export class ProcessTimers implements settings.Timers {
  constructor (private readonly world: settings.Timers, private readonly process: SimulatedProcess) {}

  nowMs (): number {
    return this.world.nowMs()
  }

  wallClockMs (): number {
    return this.world.wallClockMs()
  }

  after (delayMs: number, callback: () => void): settings.TimerHandle {
    let isCancelled = false
    const timer = this.world.after(delayMs, () => { this.process.runTimer(() => { if (!isCancelled) callback() }) })
    return {
      cancel: () => {
        isCancelled = true
        timer.cancel()
      }
    }
  }

  every (periodMs: number, callback: () => void): settings.TimerHandle {
    let timer: settings.TimerHandle | undefined
    const schedule = (): void => {
      timer = this.after(periodMs, () => {
        schedule()
        callback()
      })
    }
    schedule()
    return { cancel: () => { timer?.cancel() } }
  }

  async sleep (delayMs: number, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted === true) return
    await new Promise<void>(resolve => {
      const finish = (): void => {
        timer.cancel()
        signal?.removeEventListener('abort', finish)
        resolve()
      }
      const timer = this.after(delayMs, finish)
      signal?.addEventListener('abort', finish, { once: true })
    })
  }
}

/** Calls of a process to its worker. Calls that are under way when the process is paused or killed are carried out. */
export class ProcessDriver implements workers.WorkerDriver {
  constructor (private readonly worker: workers.WorkerDriver, private readonly process: SimulatedProcess) {}

  async start (call: workers.StartCall): Promise<workers.StartOutcome> {
    return await this.readAnswer(this.worker.start(call))
  }

  async stop (scope: workers.CallScope, ref: workers.RunRef): Promise<boolean> {
    return await this.readAnswer(this.worker.stop(scope, ref))
  }

  async renew (call: workers.RenewCall): Promise<workers.RenewOutcome> {
    return await this.readAnswer(this.worker.renew(call))
  }

  async close (): Promise<void> {}

  private async readAnswer<T> (answer: Promise<T>): Promise<T> {
    return await new Promise(resolve => { answer.then(value => { this.process.read(() => { resolve(value) }) }, () => {}) })
  }
}
