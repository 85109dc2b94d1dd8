/** Loops that an exception does not end. */
import * as protocol from '@egretvalve/protocol'
import type * as settings from '@egretvalve/settings'
import { FAILED_STEP_PAUSE_MS } from './defaults.ts'
import { events } from './events.ts'

/** Repeats `once` until the signal aborts, each time after the pause in milliseconds that it returned. An exception is logged, and `once` is repeated after `FAILED_STEP_PAUSE_MS`: a node that no longer follows the store would be lost to the others. */
export async function repeatUntilAborted (step: string, services: { timers: settings.Timers, log: settings.Log }, signal: AbortSignal, once: () => Promise<number>): Promise<void> {
  while (!signal.aborted) {
    let pauseMs = FAILED_STEP_PAUSE_MS
    try {
      pauseMs = await once()
    } catch (thrown) {
      services.log.event(events.StepFailed, { error: protocol.toStepError(thrown, step, 'local').describe() })
    }
    if (pauseMs > 0) await services.timers.sleep(pauseMs, signal)
  }
}
