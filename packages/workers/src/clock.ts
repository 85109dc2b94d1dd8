/** Translates between this process's clock and a worker's. */
import type * as settings from '@egretvalve/settings'

/** The steady clock of a worker as seen from here. It never runs ahead of the worker's own. */
export class WorkerClock {
  private offsetMs: number | undefined

  constructor (private readonly timers: settings.Timers) {}

  /** True once the worker has told its time. */
  get isKnown (): boolean {
    return this.offsetMs !== undefined
  }

  /** Takes the time that an answer carried. The answer was written before it was read here, so the estimate is never late. */
  note (clockMs: number): void {
    this.offsetMs = clockMs - this.timers.nowMs()
  }

  /** Forgets the time: another life of the worker counts anew. */
  reset (): void {
    this.offsetMs = undefined
  }

  /** Returns the worker's time some milliseconds from now. */
  at (delayMs: number): number {
    return Math.floor(this.timers.nowMs() + delayMs + (this.offsetMs ?? 0))
  }
}

/** Age of something on the longer of two clocks: the steady clock stands still while a VM is suspended, the wall clock may step. */
export class Age {
  private readonly steadyMs: number
  private readonly wallMs: number

  constructor (private readonly timers: settings.Timers) {
    this.steadyMs = timers.nowMs()
    this.wallMs = timers.wallClockMs()
  }

  /** Age in milliseconds. */
  get ms (): number {
    return Math.max(this.timers.nowMs() - this.steadyMs, this.timers.wallClockMs() - this.wallMs)
  }
}
