/** How far the event loop of this process is behind. */
import type * as settings from '@egretvalve/settings'

/** Period of the measurement, in milliseconds. */
const PERIOD_MS = 50
/** Weight of a new sample while the lag falls; a rise counts at once. */
const FALL_WEIGHT = 0.3

/**
 * Measures how late timers fire: work that has arrived waits for as long. One late timer between punctual ones is a stall that is
 * over, as of a VM that was suspended; a process with too much work is late again and again.
 */
export class LoopLag {
  private lagMs = 0
  private lastSampleMs = 0
  private expectedAtMs: number
  private readonly handle: settings.TimerHandle

  constructor (private readonly timers: settings.Timers) {
    this.expectedAtMs = timers.nowMs() + PERIOD_MS
    this.handle = timers.every(PERIOD_MS, () => { this.sample() })
  }

  /** Lag in milliseconds, that of the turn in progress included. */
  get valueMs (): number {
    return Math.max(this.lagMs, Math.min(this.lastSampleMs, this.timers.nowMs() - this.expectedAtMs))
  }

  stop (): void {
    this.handle.cancel()
  }

  private sample (): void {
    const nowMs = this.timers.nowMs()
    const sampleMs = Math.max(0, nowMs - this.expectedAtMs)
    const lastingMs = Math.min(sampleMs, this.lastSampleMs)
    this.lastSampleMs = sampleMs
    this.lagMs = lastingMs > this.lagMs ? lastingMs : this.lagMs + FALL_WEIGHT * (lastingMs - this.lagMs)
    this.expectedAtMs = nowMs + PERIOD_MS
  }
}
