/** Clocks and timers, the only source of time within a process. */

export interface TimerHandle {
  cancel: () => void
}

/** Clocks and timers, injected so that tests can control time. */
export interface Timers {
  /** Monotonic time in milliseconds. */
  nowMs: () => number
  /** Wall-clock time in Unix milliseconds. */
  wallClockMs: () => number
  after: (delayMs: number, callback: () => void) => TimerHandle
  /** Calls back repeatedly. The next call is due one period after the previous one returned. */
  every: (periodMs: number, callback: () => void) => TimerHandle
  /** Resolves after a delay, or as soon as the signal aborts. */
  sleep: (delayMs: number, signal?: AbortSignal) => Promise<void>
}

/** Fraction of its period by which a periodic callback may run early, so that several callbacks share one wake-up. */
const MAX_EARLY_FRACTION = 0.25
/** Longest delay of the runtime's timers, in milliseconds: 24.8 days. A longer one would count as 1 ms. */
const MAX_DELAY_MS = 2 ** 31 - 1

interface PeriodicTimer {
  periodMs: number
  dueMs: number
  callback: () => void
}

/** Timers on the clocks of the process. Periodic callbacks share wake-ups. A delay or wait of more than `MAX_DELAY_MS` ends after that time. */
export class TimerService implements Timers {
  private readonly periodicTimers = new Set<PeriodicTimer>()
  private wakeUpTimer: NodeJS.Timeout | undefined
  private wakeUpAtMs = Number.POSITIVE_INFINITY

  nowMs (): number {
    return performance.now()
  }

  wallClockMs (): number {
    return Date.now()
  }

  after (delayMs: number, callback: () => void): TimerHandle {
    const timer = setTimeout(callback, Math.min(delayMs, MAX_DELAY_MS))
    return { cancel: () => clearTimeout(timer) }
  }

  every (periodMs: number, callback: () => void): TimerHandle {
    const timer: PeriodicTimer = { periodMs, dueMs: this.nowMs() + periodMs, callback }
    this.periodicTimers.add(timer)
    this.scheduleWakeUp()
    return {
      cancel: () => {
        this.periodicTimers.delete(timer)
        this.scheduleWakeUp()
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
      const timer = setTimeout(finish, Math.min(delayMs, MAX_DELAY_MS))
      signal?.addEventListener('abort', finish, { once: true })
    })
  }

  /** Schedules the wake-up for the earliest due periodic callback. */
  private scheduleWakeUp (): void {
    let firstMs = Number.POSITIVE_INFINITY
    for (const { dueMs } of this.periodicTimers) firstMs = Math.min(firstMs, dueMs)
    if (firstMs === this.wakeUpAtMs) return
    clearTimeout(this.wakeUpTimer)
    this.wakeUpAtMs = firstMs
    this.wakeUpTimer = firstMs === Number.POSITIVE_INFINITY ? undefined : setTimeout(() => { this.handleWakeUp() }, Math.min(MAX_DELAY_MS, Math.max(0, firstMs - this.nowMs())))
  }

  private handleWakeUp (): void {
    this.wakeUpAtMs = Number.POSITIVE_INFINITY
    const nowMs = this.nowMs()
    const due = [...this.periodicTimers].filter(timer => timer.dueMs - nowMs <= timer.periodMs * MAX_EARLY_FRACTION)
    try {
      for (const timer of due) this.fire(timer)
    } finally {
      this.scheduleWakeUp()
    }
  }

  private fire (timer: PeriodicTimer): void {
    if (!this.periodicTimers.has(timer)) return
    // Set before the call as well, so that a callback that throws is not repeated immediately.
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

/** Timers whose time advances only by `advance`, for tests and model checks. */
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

  /** Advances time and fires the timers that become due, in order of their due times. */
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
