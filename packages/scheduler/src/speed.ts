/** Relative speed of the workers, from the run-time ratios that their agents report. */
import * as workers from '@egretvalve/workers'

/** Bounds of the speed factor, so that a few unusual jobs neither exclude a worker nor attract all tasks to it. */
const MIN_FACTOR = 0.6
const MAX_FACTOR = 12

/** Tracks the run-time ratios of the workers: run time over estimate. */
export class SpeedEstimate {
  private readonly runTimeRatios = new Map<string, number>()
  private median = 1
  /** False after a change of a ratio. The median is computed when it is asked for, since reports come far more often than questions. */
  private isMedianCurrent = true

  /** Records a worker's run-time ratio; 0 and implausible ones count as unknown. */
  record (agentId: string, runTimeRatio: number): void {
    if (workers.isPlausibleRatio(runTimeRatio)) {
      if (this.runTimeRatios.get(agentId) === runTimeRatio) return
      this.runTimeRatios.set(agentId, runTimeRatio)
    } else if (!this.runTimeRatios.delete(agentId)) return
    this.isMedianCurrent = false
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
    if (this.runTimeRatios.delete(agentId)) this.isMedianCurrent = false
  }

  /** Ratio of the typical worker. The last one stays while no ratio is known. */
  private get medianRatio (): number {
    if (this.isMedianCurrent) return this.median
    this.isMedianCurrent = true
    const sorted = [...this.runTimeRatios.values()].sort((left, right) => left - right)
    if (sorted.length > 0) this.median = sorted[Math.floor((sorted.length - 1) / 2)]!
    return this.median
  }
}
