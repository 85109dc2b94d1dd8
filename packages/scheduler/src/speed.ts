/** How fast each worker is, learned from run times against estimates. Estimates are off by job, so single runs say little. */

/** Weight of a new observation in the mean of one worker; about ten runs decide. */
const WORKER_WEIGHT = 0.12
/** Weight of a new observation in the mean of all workers. */
const FLEET_WEIGHT = 0.02
/** Bounds of the factor, so that a few odd runs neither ban nor crown a worker. */
const MIN_FACTOR = 0.6
const MAX_FACTOR = 12
/** Time after which half of what was learned of a worker that gets no work is forgotten, in milliseconds. */
const FORGET_HALF_LIFE_MS = 4_000

interface WorkerSpeed {
  logRatio: number
  updatedAtMs: number
}

/** Mean logarithm of run time against estimate, by worker and over the fleet. */
export class SpeedEstimate {
  private readonly workers = new Map<string, WorkerSpeed>()
  private fleetLogRatio = 0

  /** Takes a finished run. */
  observe (agentId: string, runMs: number, estimatedMs: number, nowMs: number): void {
    if (estimatedMs <= 0 || runMs <= 0) return
    const logRatio = Math.log(runMs / estimatedMs)
    this.learn(agentId, logRatio, nowMs)
    this.fleetLogRatio += FLEET_WEIGHT * (logRatio - this.fleetLogRatio)
  }

  /** Takes a run that is still going: it tells something only when it is slower than the worker was thought to be. */
  observeUnfinished (agentId: string, predictedMs: number, estimatedMs: number, nowMs: number): void {
    if (estimatedMs <= 0 || predictedMs <= 0) return
    const logRatio = Math.log(predictedMs / estimatedMs)
    const known = this.workers.get(agentId)
    if (known === undefined || logRatio > known.logRatio) this.learn(agentId, logRatio, nowMs)
  }

  /** Returns how many times longer tasks take on the worker than on an average one. */
  factorOf (agentId: string, nowMs: number): number {
    const known = this.workers.get(agentId)
    if (known === undefined) return 1
    const trust = 0.5 ** ((nowMs - known.updatedAtMs) / FORGET_HALF_LIFE_MS)
    return Math.min(MAX_FACTOR, Math.max(MIN_FACTOR, Math.exp(trust * (known.logRatio - this.fleetLogRatio))))
  }

  /** Returns how long a task with the estimate takes on an average worker. */
  expectedMs (estimatedMs: number): number {
    return estimatedMs * Math.exp(this.fleetLogRatio)
  }

  /** Forgets a worker: another life may be of another kind. */
  forget (agentId: string): void {
    this.workers.delete(agentId)
  }

  private learn (agentId: string, logRatio: number, nowMs: number): void {
    const known = this.workers.get(agentId) ?? { logRatio: this.fleetLogRatio, updatedAtMs: nowMs }
    this.workers.set(agentId, { logRatio: known.logRatio + WORKER_WEIGHT * (logRatio - known.logRatio), updatedAtMs: nowMs })
  }
}
