/** Rates of work over a sliding time, as exponentially decaying sums. */

/** Measures the work that passes, in milliseconds of run time for each millisecond: the mean number of busy slots. */
export class WorkRate {
  private sum = 0
  private updatedAtMs = 0

  constructor (private readonly windowMs: number) {}

  /** Adds work at a time. */
  add (workMs: number, nowMs: number): void {
    this.decay(nowMs)
    this.sum += workMs
  }

  /** Returns the rate at a time, in busy slots. */
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
