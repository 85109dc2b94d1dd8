/** Rate of work as an exponentially decaying sum. */

/** Rate of work in milliseconds of run time per millisecond, which is the mean number of busy slots. */
export class WorkRate {
  private sum = 0
  private updatedAtMs = 0

  constructor (private readonly windowMs: number) {}

  /** Adds work, in milliseconds of run time. */
  add (workMs: number, nowMs: number): void {
    this.decay(nowMs)
    this.sum += workMs
  }

  /** Returns the current rate, in busy slots. */
  slots (nowMs: number): number {
    this.decay(nowMs)
    return this.sum / this.windowMs
  }

  private decay (nowMs: number): void {
    const elapsedMs = nowMs - this.updatedAtMs
    if (elapsedMs <= 0) return
    this.sum *= Math.exp(-elapsedMs / this.windowMs)
    this.updatedAtMs = nowMs
  }
}
