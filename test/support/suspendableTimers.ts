/** Simulated time of a VM that can be suspended. */
import * as settings from '@egretvalve/settings'

/** Timers whose monotonic clock stops while the VM is suspended. */
export class SuspendableTimers extends settings.FakeTimers {
  /** Total time for which the VM was suspended, in milliseconds. */
  suspendedMs = 0

  override wallClockMs (): number {
    return super.wallClockMs() + this.suspendedMs
  }
}
