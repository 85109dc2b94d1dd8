/** Notices silence, and the difference between a silent peer and a process that stood still itself. */
import type * as settings from '@egretvalve/settings'
import { STALL_MS, WATCH_PERIOD_MS } from './defaults.ts'

/** Time of the last message of a peer. */
export class Heard {
  private atMs: number

  constructor (private readonly timers: settings.Timers) {
    this.atMs = timers.nowMs()
  }

  note (): void {
    this.atMs = this.timers.nowMs()
  }

  /** Time since the last message, in milliseconds. */
  get silentMs (): number {
    return this.timers.nowMs() - this.atMs
  }
}

/** Calls back regularly, but not right after the process itself stood still: messages that have arrived are read first. */
export function watchRegularly (timers: settings.Timers, look: () => void): settings.TimerHandle {
  let lastMs = timers.nowMs()
  return timers.every(WATCH_PERIOD_MS, () => {
    const pauseMs = timers.nowMs() - lastMs
    lastMs = timers.nowMs()
    if (pauseMs < STALL_MS) look()
  })
}
