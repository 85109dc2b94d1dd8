/** Advances simulated time and runs the promise callbacks that depend on it. */
import type { FakeTimers } from '@egretvalve/settings'

/** Step in milliseconds; shorter than every interval that the tests depend on. */
const STEP_MS = 5

/** Runs three turns of the event loop, so that pending promises and immediates settle. */
export async function flushEventLoop (): Promise<void> {
  for (let turn = 0; turn < 3; turn++) await new Promise<void>(resolve => { setImmediate(resolve) })
}

/** Advances time by `durationMs` milliseconds in small steps and lets promises settle after each. */
export async function passTime (timers: FakeTimers, durationMs: number): Promise<void> {
  for (let passedMs = 0; passedMs < durationMs; passedMs += STEP_MS) {
    timers.advance(STEP_MS)
    await flushEventLoop()
  }
}
