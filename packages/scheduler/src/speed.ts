/** How fast each worker is against the others, from the paces that their agents report. */

/** Bounds of the factor, so that odd jobs neither ban nor crown a worker. */
const MIN_FACTOR = 0.6
const MAX_FACTOR = 12

/** Paces of the workers: run time over estimate. */
export class SpeedEstimate {
  private readonly paces = new Map<string, number>()
  private typical = 1

  /** Takes a worker's pace; 0 means that nothing is known. */
  note (agentId: string, pace: number): void {
    if (pace > 0) this.paces.set(agentId, pace)
    else this.paces.delete(agentId)
    const sorted = [...this.paces.values()].sort((left, right) => left - right)
    if (sorted.length > 0) this.typical = sorted[Math.floor((sorted.length - 1) / 2)]!
  }

  /** Returns how many times longer tasks take on the worker than on a typical one. */
  factorOf (agentId: string): number {
    const pace = this.paces.get(agentId)
    return pace === undefined ? 1 : Math.min(MAX_FACTOR, Math.max(MIN_FACTOR, pace / this.typical))
  }

  /** Returns how long a task with the estimate takes on a typical worker. */
  expectedMs (estimatedMs: number): number {
    return estimatedMs * this.typical
  }

  /** Forgets a worker: another life may be of another kind. */
  forget (agentId: string): void {
    this.paces.delete(agentId)
  }
}
