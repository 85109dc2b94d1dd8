/** Token bucket that limits calls per second. */
import type * as settings from '@egretvalve/settings'

const SECOND_MS = 1_000

/** A token bucket with a burst of one second's worth of calls. */
export class RateLimit {
  private tokens: number
  private refilledAtMs: number

  constructor (private readonly callsPerSecond: number, private readonly timers: settings.Timers) {
    this.tokens = callsPerSecond
    this.refilledAtMs = timers.nowMs()
  }

  /** Takes one token. Returns false if none is left. */
  tryTake (): boolean {
    this.refill()
    if (this.tokens < 1) return false
    this.tokens -= 1
    return true
  }

  private refill (): void {
    const nowMs = this.timers.nowMs()
    const refilled = (nowMs - this.refilledAtMs) / SECOND_MS * this.callsPerSecond
    this.tokens = Math.min(this.callsPerSecond, this.tokens + refilled)
    this.refilledAtMs = nowMs
  }
}
