/**
 * Decides whether an entry's view of the fleet is still growing. The load that this addresses: after a power loss all processes start
 * together, and hundreds of callers a second return before most agents have linked to the entry. Its first links show a sliver of the
 * capacity, by which it would refuse jobs that the workers can take a moment later.
 */

/** Time without a new link or worker after which the view counts as complete, in milliseconds. Agents redial an entry that has just started within 150 ms. */
const QUIET_MS = 250
/** Longest time from the first worker for which the view counts as growing, in milliseconds, so that callers are not kept away for long while agents trickle in. */
const LIMIT_MS = 1_500
/** Time without any worker after which the entry no longer waits for the first, in milliseconds. */
const FIRST_WORKER_LIMIT_MS = 1_500

/** Numbers of linked agents and of workers that accept runs. */
export interface FleetSize {
  agents: number
  workers: number
}

/** Follows the size of the fleet that an entry sees. Begins anew when all workers are lost. */
export class FleetGrowth {
  private largest: FleetSize = { agents: 0, workers: 0 }
  /** Time since which there was no worker; undefined while there are some. */
  private emptySinceMs: number | undefined
  private firstWorkerAtMs = 0
  private grewAtMs: number
  private completeSinceMs = Number.POSITIVE_INFINITY

  /** `nowMs` is the time at which the entry starts. All times are monotonic. */
  constructor (nowMs: number) {
    this.emptySinceMs = nowMs
    this.grewAtMs = nowMs
  }

  /** Records the size that the entry sees now. Call it whenever the size may have changed, and periodically. */
  record (nowMs: number, size: FleetSize): void {
    if (size.workers === 0) this.recordEmpty(nowMs, size)
    else this.recordWorkers(nowMs, size)
    if (this.completeSinceMs === Number.POSITIVE_INFINITY && !this.isGrowing(nowMs)) this.completeSinceMs = nowMs
  }

  /** True while more workers are expected to appear: a job then waits for them instead of being refused for lack of capacity. */
  isGrowing (nowMs: number): boolean {
    if (this.emptySinceMs !== undefined) return nowMs - this.emptySinceMs < FIRST_WORKER_LIMIT_MS
    if (this.completeSinceMs !== Number.POSITIVE_INFINITY) return false
    return nowMs - this.grewAtMs < QUIET_MS && nowMs - this.firstWorkerAtMs < LIMIT_MS
  }

  /** True for a job that arrived while the view was growing, also after that. */
  hasGrownSince (arrivedAtMs: number): boolean {
    return arrivedAtMs < this.completeSinceMs
  }

  private recordEmpty (nowMs: number, size: FleetSize): void {
    if (this.emptySinceMs === undefined) this.completeSinceMs = Number.POSITIVE_INFINITY
    this.emptySinceMs ??= nowMs
    this.largest = size
  }

  private recordWorkers (nowMs: number, size: FleetSize): void {
    if (this.emptySinceMs !== undefined) {
      this.emptySinceMs = undefined
      this.firstWorkerAtMs = nowMs
      this.completeSinceMs = Number.POSITIVE_INFINITY
      this.grewAtMs = nowMs
    } else if (size.agents > this.largest.agents || size.workers > this.largest.workers) this.grewAtMs = nowMs
    this.largest = { agents: Math.max(size.agents, this.largest.agents), workers: Math.max(size.workers, this.largest.workers) }
  }
}
