/** Token bucket that bounds the calls of one kind in a second. */
import type * as settings from '@egretvalve/settings'

const SECOND_MS = 1_000

/** Refuses calls beyond a rate. The burst is one second of the rate. */
export class RateLimit {
  private tokens: number
  private refilledAtMs: number

  constructor (private readonly callsPerSecond: number, private readonly timers: settings.Timers) {
    this.tokens = callsPerSecond
    this.refilledAtMs = timers.nowMs()
  }

  /** Takes one call from the budget; false when the budget is used up. */
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
