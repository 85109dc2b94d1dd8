/** Processes with clocks of their own, and links between them that are delayed, cut and reset, on simulated time. */
import type * as settings from '@egretvalve/settings'

/** A process that can be paused and killed. What reaches it while it is paused waits: timers run first when it wakes up, then messages in order. */
export class SimulatedProcess implements settings.Timers {
  isPaused = false
  isDead = false
  private readonly dueTimers: Array<() => void> = []
  private readonly inbox: Array<() => void> = []

  constructor (private readonly clock: settings.Timers, private readonly clockRate: number) {}

  nowMs (): number {
    return this.clock.nowMs() * this.clockRate
  }

  wallClockMs (): number {
    return this.clock.wallClockMs()
  }

  after (delayMs: number, callback: () => void): settings.TimerHandle {
    let isCancelled = false
    const timer = this.clock.after(delayMs / this.clockRate, () => { this.run(this.dueTimers, () => { if (!isCancelled) callback() }) })
    return {
      cancel: () => {
        isCancelled = true
        timer.cancel()
      }
    }
  }

  every (periodMs: number, callback: () => void): settings.TimerHandle {
    let next: settings.TimerHandle
    const schedule = (): void => {
      next = this.after(periodMs, () => {
        schedule()
        callback()
      })
    }
    schedule()
    return { cancel: () => { next.cancel() } }
  }

  async sleep (delayMs: number): Promise<void> {
    await new Promise<void>(resolve => { this.after(delayMs, resolve) })
  }

  /** Processes a message, at once or when the process wakes up. */
  receive (handle: () => void): void {
    this.run(this.inbox, handle)
  }

  resume (): void {
    this.isPaused = false
    for (const waiting of [this.dueTimers, this.inbox]) for (const handle of waiting.splice(0)) if (!this.isDead) handle()
  }

  private run (waiting: Array<() => void>, handle: () => void): void {
    if (this.isDead) return
    if (this.isPaused) waiting.push(handle)
    else handle()
  }
}

/** Delays and cuts of a network. */
export interface Network {
  clock: settings.Timers
  /** Returns the time that a message takes, in milliseconds. */
  drawPathMs: () => number
  /** Directions that deliver nothing, as `from>to`. */
  cut: Set<string>
  channels: Set<Channel>
}

/** One direction of a connection. Delivers in order; what is sent while the direction is cut arrives once it is whole again. */
export class Channel {
  private readonly waiting: Array<{ dueAtMs: number, deliver: () => void }> = []

  constructor (private readonly network: Network, private readonly direction: string) {
    network.channels.add(this)
  }

  send (deliver: () => void): void {
    const dueAtMs = Math.max(this.waiting.at(-1)?.dueAtMs ?? 0, this.network.clock.nowMs() + this.network.drawPathMs())
    this.waiting.push({ dueAtMs, deliver })
    this.network.clock.after(dueAtMs - this.network.clock.nowMs(), () => { this.pump() })
  }

  /** Drops what is under way, as a reset does. */
  clear (): void {
    this.waiting.length = 0
  }

  /** Delivers what is due. */
  pump (): void {
    while (this.waiting.length > 0 && this.waiting[0]!.dueAtMs <= this.network.clock.nowMs() && !this.network.cut.has(this.direction)) this.waiting.shift()!.deliver()
  }
}
