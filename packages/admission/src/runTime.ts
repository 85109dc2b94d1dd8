/** Expected run times: what callers declare, corrected by what was observed. */

/** Weight of a new observation. */
const OBSERVATION_WEIGHT = 0.05
const MIN_RATIO = 0.1
const MAX_RATIO = 10
/** Expected run time of a service of which nothing is known, in milliseconds. */
const UNKNOWN_RUN_MS = 200

/** Learns the ratio of observed to declared run times and the mean run time of one service. */
export class RunTimeEstimate {
  private ratio = 1
  private meanRunMs: number | undefined

  /** Takes an observed run time into account. Callers that declare nothing pass 0. */
  observe (declaredRunMs: number, runMs: number): void {
    this.meanRunMs = this.meanRunMs === undefined ? runMs : blend(this.meanRunMs, runMs)
    if (declaredRunMs <= 0) return
    const ratio = Math.min(MAX_RATIO, Math.max(MIN_RATIO, runMs / declaredRunMs))
    this.ratio = blend(this.ratio, ratio)
  }

  /** Returns the run time to expect, in milliseconds. */
  expectedRunMs (declaredRunMs: number): number {
    if (declaredRunMs > 0) return declaredRunMs * this.ratio
    return this.meanRunMs ?? UNKNOWN_RUN_MS
  }
}

function blend (mean: number, observation: number): number {
  return mean + (observation - mean) * OBSERVATION_WEIGHT
}
