/** The timer service: the only source of time for the parts of a process. */

/** A running timer. */
export interface TimerHandle {
  cancel: () => void
}

/** Clocks and timers. Parts take this interface so that tests can drive time. */
export interface Timers {
  /** Monotonic time in milliseconds. */
  nowMs: () => number
  /** Wall-clock time in Unix milliseconds. */
  wallClockMs: () => number
  /** Calls back once after a delay. */
  after: (delayMs: number, callback: () => void) => TimerHandle
  /** Calls back repeatedly, one period after the last call returned. */
  every: (periodMs: number, callback: () => void) => TimerHandle
  /** Resolves after a delay, or at once when the signal aborts. */
  sleep: (delayMs: number, signal?: AbortSignal) => Promise<void>
}

/** Share of its period by which a regular callback may come early, so that one wake-up of the process serves several. */
const EARLY_SHARE = 0.25

interface RegularTimer {
  periodMs: number
  dueMs: number
  callback: () => void
}

/** The timer service over the process's clocks. Regular callbacks share wake-ups. */
export class TimerService implements Timers {
  private readonly regular = new Set<RegularTimer>()
  private wakeTimer: NodeJS.Timeout | undefined
  private wakeAtMs = Number.POSITIVE_INFINITY

  nowMs (): number {
    return performance.now()
  }

  wallClockMs (): number {
    return Date.now()
  }

  after (delayMs: number, callback: () => void): TimerHandle {
    const timer = setTimeout(callback, delayMs)
    return { cancel: () => clearTimeout(timer) }
  }

  every (periodMs: number, callback: () => void): TimerHandle {
    const timer: RegularTimer = { periodMs, dueMs: this.nowMs() + periodMs, callback }
    this.regular.add(timer)
    this.planWake()
    return {
      cancel: () => {
        this.regular.delete(timer)
        this.planWake()
      }
    }
  }

  async sleep (delayMs: number, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted === true) return
    await new Promise<void>(resolve => {
      const finish = (): void => {
        clearTimeout(timer)
        signal?.removeEventListener('abort', finish)
        resolve()
      }
      const timer = setTimeout(finish, delayMs)
      signal?.addEventListener('abort', finish, { once: true })
    })
  }

  /** Sets the wake-up for the regular callback that is due first. */
  private planWake (): void {
    let firstMs = Number.POSITIVE_INFINITY
    for (const { dueMs } of this.regular) firstMs = Math.min(firstMs, dueMs)
    if (firstMs === this.wakeAtMs) return
    clearTimeout(this.wakeTimer)
    this.wakeAtMs = firstMs
    this.wakeTimer = firstMs === Number.POSITIVE_INFINITY ? undefined : setTimeout(() => { this.wake() }, Math.max(0, firstMs - this.nowMs()))
  }

  private wake (): void {
    this.wakeAtMs = Number.POSITIVE_INFINITY
    const nowMs = this.nowMs()
    const due = [...this.regular].filter(timer => timer.dueMs - nowMs <= timer.periodMs * EARLY_SHARE)
    try {
      for (const timer of due) this.fire(timer)
    } finally {
      this.planWake()
    }
  }

  private fire (timer: RegularTimer): void {
    if (!this.regular.has(timer)) return
    // Set first, so that a callback that throws does not come again at once.
    timer.dueMs = this.nowMs() + timer.periodMs
    timer.callback()
    timer.dueMs = this.nowMs() + timer.periodMs
  }
}

interface FakeTimer {
  id: number
  dueMs: number
  periodMs: number | undefined
  callback: () => void
}

/** A timer service whose time moves only by `advance`, for tests and model checks. */
export class FakeTimers implements Timers {
  private currentMs = 0
  private nextId = 1
  private readonly pending = new Map<number, FakeTimer>()

  constructor (private readonly wallClockOffsetMs = 1_700_000_000_000) {}

  nowMs (): number {
    return this.currentMs
  }

  wallClockMs (): number {
    return this.wallClockOffsetMs + this.currentMs
  }

  after (delayMs: number, callback: () => void): TimerHandle {
    return this.add(delayMs, undefined, callback)
  }

  every (periodMs: number, callback: () => void): TimerHandle {
    return this.add(periodMs, periodMs, callback)
  }

  async sleep (delayMs: number, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted === true) return
    await new Promise<void>(resolve => {
      const finish = (): void => {
        handle.cancel()
        signal?.removeEventListener('abort', finish)
        resolve()
      }
      const handle = this.after(delayMs, finish)
      signal?.addEventListener('abort', finish, { once: true })
    })
  }

  /** Moves time forward and runs the timers that fall due, in order. */
  advance (durationMs: number): void {
    const endMs = this.currentMs + durationMs
    for (let timer = this.nextDue(endMs); timer !== undefined; timer = this.nextDue(endMs)) this.fire(timer)
    this.currentMs = endMs
  }

  private add (delayMs: number, periodMs: number | undefined, callback: () => void): TimerHandle {
    const id = this.nextId++
    this.pending.set(id, { id, dueMs: this.currentMs + delayMs, periodMs, callback })
    return { cancel: () => { this.pending.delete(id) } }
  }

  private nextDue (endMs: number): FakeTimer | undefined {
    let first: FakeTimer | undefined
    for (const timer of this.pending.values()) {
      if (timer.dueMs > endMs) continue
      if (first === undefined || timer.dueMs < first.dueMs) first = timer
    }
    return first
  }

  private fire (timer: FakeTimer): void {
    this.currentMs = Math.max(this.currentMs, timer.dueMs)
    if (timer.periodMs === undefined) this.pending.delete(timer.id)
    else timer.dueMs += timer.periodMs
    timer.callback()
  }
}
