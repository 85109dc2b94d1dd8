/** Drives a timer service and the promises that hang on it. */
import type { FakeTimers } from '@egretvalve/settings'

/** Length of one step in milliseconds; shorter than any time that matters in the tests. */
const STEP_MS = 5

/** Lets everything that waits for the current turn of the event loop happen. */
export async function settleTurn (): Promise<void> {
  for (let turn = 0; turn < 3; turn++) await new Promise<void>(resolve => { setImmediate(resolve) })
}

/** Moves time forward in small steps, with all that follows from each. */
export async function passTime (timers: FakeTimers, durationMs: number): Promise<void> {
  for (let passedMs = 0; passedMs < durationMs; passedMs += STEP_MS) {
    timers.advance(STEP_MS)
    await settleTurn()
  }
}
