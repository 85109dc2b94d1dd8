/** Measures the event loop lag of this process. */
import type * as settings from '@egretvalve/settings'

/** Sampling period. */
const SAMPLE_PERIOD_MS = 50
/** Smoothing weight of a new sample while the lag falls. Rises are not smoothed. */
const FALL_SMOOTHING_WEIGHT = 0.3

/**
 * Measures how late a periodic timer fires, which is also how long incoming work waits for the event loop. The lag is based on the
 * smaller of two consecutive samples: a single late timer is a stall that is already over, such as a suspended VM, while an overloaded process
 * is late repeatedly.
 */
export class LoopLag {
  private lagMs = 0
  private lastSampleMs = 0
  private expectedAtMs: number
  private readonly handle: settings.TimerHandle

  constructor (private readonly timers: settings.Timers) {
    this.expectedAtMs = timers.nowMs() + SAMPLE_PERIOD_MS
    this.handle = timers.every(SAMPLE_PERIOD_MS, () => { this.sample() })
  }

  /** Current lag in milliseconds, including that of the event loop turn in progress. */
  get valueMs (): number {
    return Math.max(this.lagMs, Math.min(this.lastSampleMs, this.timers.nowMs() - this.expectedAtMs))
  }

  stop (): void {
    this.handle.cancel()
  }

  private sample (): void {
    const nowMs = this.timers.nowMs()
    const sampleMs = Math.max(0, nowMs - this.expectedAtMs)
    const sustainedMs = Math.min(sampleMs, this.lastSampleMs)
    this.lastSampleMs = sampleMs
    this.lagMs = sustainedMs > this.lagMs ? sustainedMs : this.lagMs + FALL_SMOOTHING_WEIGHT * (sustainedMs - this.lagMs)
    this.expectedAtMs = nowMs + SAMPLE_PERIOD_MS
  }
}
