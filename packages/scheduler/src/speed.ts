/** Relative speed of the workers, from the run-time ratios that their agents report. */
import * as workers from '@egretvalve/workers'

/** Bounds of the speed factor, so that a few unusual jobs neither exclude a worker nor attract all tasks to it. */
const MIN_FACTOR = 0.6
const MAX_FACTOR = 12

/** Tracks the run-time ratios of the workers: run time over estimate. */
export class SpeedEstimate {
  private readonly runTimeRatios = new Map<string, number>()
  private medianRatio = 1

  /** Records a worker's run-time ratio; 0 and implausible ones count as unknown. */
  record (agentId: string, runTimeRatio: number): void {
    if (workers.isPlausibleRatio(runTimeRatio)) this.runTimeRatios.set(agentId, runTimeRatio)
    else this.runTimeRatios.delete(agentId)
    const sorted = [...this.runTimeRatios.values()].sort((left, right) => left - right)
    if (sorted.length > 0) this.medianRatio = sorted[Math.floor((sorted.length - 1) / 2)]!
  }

  /** Returns how many times longer tasks take on the worker than on a typical one; 1 when unknown. */
  factorOf (agentId: string): number {
    const runTimeRatio = this.runTimeRatios.get(agentId)
    return runTimeRatio === undefined ? 1 : Math.min(MAX_FACTOR, Math.max(MIN_FACTOR, runTimeRatio / this.medianRatio))
  }

  /** Returns the expected run time of a task on a typical worker, in milliseconds. */
  expectedMs (estimatedMs: number): number {
    return estimatedMs * this.medianRatio
  }

  /** Removes a worker, also when its agent restarts: the new incarnation may have a worker of another speed. */
  remove (agentId: string): void {
    this.runTimeRatios.delete(agentId)
  }
}
