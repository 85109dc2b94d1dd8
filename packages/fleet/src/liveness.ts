/** Liveness of peers. Distinguishes an unresponsive peer from a stall of this process. */
import type * as settings from '@egretvalve/settings'
import * as workers from '@egretvalve/workers'
import { LIVENESS_CHECK_PERIOD_MS, STALL_MS } from './defaults.ts'

/** Records the time of a peer's last message. Creation counts as a message. */
export class PeerActivity {
  private atMs: number

  constructor (private readonly timers: settings.Timers) {
    this.atMs = timers.nowMs()
  }

  record (): void {
    this.atMs = this.timers.nowMs()
  }

  /** Time since the peer's last message, in milliseconds. */
  get sinceLastMessageMs (): number {
    return this.timers.nowMs() - this.atMs
  }
}

/**
 * Calls `check` once per liveness check period. After a stall of this process or a suspension of the VM it calls `onStall` once in its
 * place, so that messages that have arrived are read first.
 */
export function runLivenessChecks (timers: settings.Timers, check: () => void, onStall: () => void = () => {}): settings.TimerHandle {
  const clock = new workers.ElapsedClock(timers)
  let lastMs = clock.nowMs()
  return timers.every(LIVENESS_CHECK_PERIOD_MS, () => {
    const elapsedMs = clock.nowMs() - lastMs
    lastMs = clock.nowMs()
    if (elapsedMs < STALL_MS) check()
    else onStall()
  })
}
