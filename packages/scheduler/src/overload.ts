/** Limits the jobs that an entry accepts to what its own processor time carries. Answers loads of many short jobs, of which each costs the entry more than its workers. */
import type * as settings from '@egretvalve/settings'

/** Period in which the accepted share is adapted, in milliseconds. */
const PERIOD_MS = 100
/** Delay of requests within this process above which fewer jobs are accepted, in milliseconds: a small part of the latency objectives. */
const TARGET_DELAY_MS = 50
/** Lowest factor by which the accepted share falls at once. */
const MIN_DECREASE_FACTOR = 0.3
/** Increase of the accepted share in the first period below the target. It grows with each further one, so that full service is back within two seconds. */
const INCREASE = 0.02
/** Number of periods below the target after which the increase has doubled. */
const INCREASE_DOUBLING_PERIODS = 5
/** Multiple of the delay after which a decrease shows: requests accepted before it are read, and the delay is measured again. */
const EFFECT_DELAYS = 2
/** Lowest accepted share. Keeps some service, whose delay shows when the load falls. */
const MIN_SHARE = 0.05

/** Dependencies of the control. */
export interface OverloadServices {
  timers: settings.Timers
  /** Returns the time for which requests wait within this process before they are read, in milliseconds. */
  delayMs: () => number
  /** Returns a number from 0 to 1. */
  random: () => number
}

/** Adapts the share of arriving jobs that is accepted, so that requests hardly wait: it falls with the delay and rises while there is none. */
export class OverloadControl {
  private share = 1
  /** Number of periods below the target since the last one above it. */
  private calmPeriods = 0
  /** Monotonic time at which the last decrease has taken effect, in milliseconds. */
  private effectiveAtMs = 0
  private readonly handle: settings.TimerHandle

  constructor (private readonly services: OverloadServices) {
    this.handle = services.timers.every(PERIOD_MS, () => { this.adapt() })
  }

  /** Share of arriving jobs that is accepted, from 0 to 1. */
  get acceptedShare (): number {
    return this.share
  }

  /** Decides on one arriving job. */
  accepts (): boolean {
    return this.share >= 1 || this.services.random() < this.share
  }

  stop (): void {
    this.handle.cancel()
  }

  private adapt (): void {
    const delayMs = this.services.delayMs()
    if (delayMs <= TARGET_DELAY_MS) this.increase()
    else this.decrease(delayMs)
  }

  private increase (): void {
    this.share = Math.min(1, this.share + INCREASE * (1 + this.calmPeriods / INCREASE_DOUBLING_PERIODS))
    this.calmPeriods++
  }

  /** Lowers the share by the square root of the excess, since the wait grows as long as the excess lasts. */
  private decrease (delayMs: number): void {
    this.calmPeriods = 0
    const nowMs = this.services.timers.nowMs()
    if (nowMs < this.effectiveAtMs) return
    this.effectiveAtMs = nowMs + EFFECT_DELAYS * delayMs
    this.share = Math.max(MIN_SHARE, this.share * Math.max(MIN_DECREASE_FACTOR, Math.sqrt(TARGET_DELAY_MS / delayMs)))
  }
}
