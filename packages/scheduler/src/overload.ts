/** Limits the jobs that an entry accepts to what its own processor time carries. Answers loads of many short jobs, of which each costs the entry more than its workers. */
import type * as settings from '@egretvalve/settings'

/** Period in which the accepted share is adapted, in milliseconds. */
const PERIOD_MS = 100
/** Delay of requests within this process above which fewer jobs are accepted, in milliseconds: a small part of the latency objectives. */
const TARGET_DELAY_MS = 50
/** Factor of the accepted share in each period above the target, and in each period far above it. */
const DECREASE_FACTOR = 0.85
const FAST_DECREASE_FACTOR = 0.6
/** Multiple of the target from which the delay counts as far above it. */
const FAST_DECREASE_TARGETS = 5
/** Increase of the accepted share in each period below the target. */
const INCREASE = 0.04
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

/** Adapts the share of arriving jobs that is accepted, by additive increase and multiplicative decrease, so that requests wait hardly at all. */
export class OverloadControl {
  private share = 1
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
    if (delayMs <= TARGET_DELAY_MS) this.share = Math.min(1, this.share + INCREASE)
    else this.share = Math.max(MIN_SHARE, this.share * (delayMs > TARGET_DELAY_MS * FAST_DECREASE_TARGETS ? FAST_DECREASE_FACTOR : DECREASE_FACTOR))
  }
}
