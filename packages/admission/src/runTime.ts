/** Expected run times: declared run times, corrected by observed ones. */

/** Weight of a new observation in the exponential moving averages. */
const OBSERVATION_WEIGHT = 0.05
/** Bounds to which each observed ratio is clamped. */
const MIN_RUN_TIME_RATIO = 0.1
const MAX_RUN_TIME_RATIO = 10
/** Expected run time of tasks without a declared one before any run has been observed, in milliseconds. */
const DEFAULT_RUN_MS = 200

/** Moving averages of one service: ratio of observed to declared run time, and run time. */
export class RunTimeEstimate {
  private runTimeRatio = 1
  private meanRunMs: number | undefined

  /** Adds an observed run time. `declaredRunMs` is 0 if none was declared. */
  observe (declaredRunMs: number, runMs: number): void {
    this.meanRunMs = this.meanRunMs === undefined ? runMs : updateMean(this.meanRunMs, runMs)
    if (declaredRunMs <= 0) return
    const ratio = Math.min(MAX_RUN_TIME_RATIO, Math.max(MIN_RUN_TIME_RATIO, runMs / declaredRunMs))
    this.runTimeRatio = updateMean(this.runTimeRatio, ratio)
  }

  /** Returns the expected run time in milliseconds. `declaredRunMs` is 0 if none was declared. */
  expectedRunMs (declaredRunMs: number): number {
    if (declaredRunMs > 0) return declaredRunMs * this.runTimeRatio
    return this.meanRunMs ?? DEFAULT_RUN_MS
  }
}

function updateMean (mean: number, observation: number): number {
  return mean + (observation - mean) * OBSERVATION_WEIGHT
}
