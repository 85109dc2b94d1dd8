/** Registry of the runs that take capacity on a worker, and of the ends that the worker has listed. */
import type { EndCause, EndedRun, RunRef, RunSize } from './driver.ts'
import { taskKey } from './driver.ts'
import type { TaskOrder } from './order.ts'
import { addSize, NO_SIZE, subtractSize } from './size.ts'

/** Phase of a run, from the agent's calls and the worker's answers. */
export enum RunPhase {
  Starting = 'starting',
  Running = 'running',
  Stopping = 'stopping'
}

/** What shows that the start of a run has reached the worker. */
export enum StartProof {
  /** Nothing: no start has been sent, or the worker has refused the last one. */
  None = 'none',
  /** Nothing yet: a start was sent and may not have reached the worker. */
  Sent = 'sent',
  /** A start was sent at once after the worker had answered a query. */
  SentToResponsive = 'sent-to-responsive',
  /** The worker has answered the start with success or has listed the run. */
  Confirmed = 'confirmed'
}

/** A run that takes capacity on the worker. */
export interface ActiveRun {
  readonly order: TaskOrder
  ref: RunRef
  phase: RunPhase
  startProof: StartProof
  /** Monotonic time at which the worker confirmed the run. Infinite before. */
  confirmedAtMs: number
  /** True once the worker has listed the run. */
  wasListed: boolean
  /** True after an answer to a query sent after the confirmation that did not list the run: it has ended there. */
  isUnlisted: boolean
  startedAtMs: number
  percent: number
  /** Monotonic time at which the percentage last rose. */
  progressAtMs: number
  /** Monotonic time of the last answer that listed the run. */
  observedAtMs: number
  /** Age of the order when the worker acknowledged the start. */
  waitedMs: number
  /** Consecutive answers that did not list the run, although they would have listed one that goes on. */
  missedAnswers: number
  /** Monotonic time of the first of these answers. Infinite before. */
  unlistedAtMs: number
  /** Monotonic time at which the worker acknowledged a stop: from then on it refuses a late arrival of the start. Infinite before. */
  stopAcknowledgedAtMs: number
}

/** Time for which ended runs are retained, in milliseconds, so that a run listed by an outdated answer is not mistaken for an orphaned run. No answer is that old. */
const ENDED_RUN_RETENTION_MS = 3_000

/** A run that this agent counts as ended, and why. */
export interface RecentEnd {
  readonly atMs: number
  /** What the end was concluded from. */
  readonly reason: string
  /** True once the worker has listed the run as running in answer to a query that was sent after the end. */
  hasReappeared: boolean
}

/** An active run that the worker has listed as ended. */
export interface ListedEnd {
  run: ActiveRun
  cause: EndCause
}

/** Runs and ends of one incarnation of a worker. */
export class RunRegistry {
  /** Number of the last end that has been recorded. */
  acknowledgedEnd = 0
  /** True while the worker may not have received `acknowledgedEnd`. */
  hasUnacknowledged = false
  private readonly activeRuns = new Map<string, ActiveRun>()
  private readonly recentEnds = new Map<string, RecentEnd>()
  private usedSize: RunSize = NO_SIZE

  /** Capacity that the runs take. */
  get used (): RunSize {
    return this.usedSize
  }

  get count (): number {
    return this.activeRuns.size
  }

  /** Snapshot of the runs, unaffected by runs that end later. */
  get all (): ActiveRun[] {
    return [...this.activeRuns.values()]
  }

  /** The runs, for loops that end none. */
  get current (): Iterable<ActiveRun> {
    return this.activeRuns.values()
  }

  find (key: string): ActiveRun | undefined {
    return this.activeRuns.get(key)
  }

  /** Returns the run if its run number is the referenced one. */
  findRef (ref: RunRef): ActiveRun | undefined {
    const run = this.activeRuns.get(taskKey(ref.task))
    return run?.ref.run === ref.run ? run : undefined
  }

  contains (run: ActiveRun): boolean {
    return this.activeRuns.get(taskKey(run.order.task)) === run
  }

  add (run: ActiveRun): void {
    this.activeRuns.set(taskKey(run.order.task), run)
    this.usedSize = addSize(this.usedSize, run.order.size)
  }

  /** Removes a run that has ended. `reason` says what the end was concluded from. */
  remove (run: ActiveRun, nowMs: number, reason: string): void {
    this.activeRuns.delete(taskKey(run.order.task))
    this.usedSize = subtractSize(this.usedSize, run.order.size)
    this.recordEnd(run.ref, nowMs, reason)
  }

  /** Returns the end of a run that ended within the retention time. */
  findRecentEnd (ref: RunRef): RecentEnd | undefined {
    return this.recentEnds.get(refKey(ref))
  }

  /** Records each end that the worker lists once. Returns the ends of active runs. */
  applyEnds (ended: readonly EndedRun[], nowMs: number): ListedEnd[] {
    // The worker lists every unacknowledged end, so the missing ones were acknowledged by an earlier incarnation of the agent.
    const first = ended[0]
    if (first !== undefined && first.number > this.acknowledgedEnd + 1) this.acknowledgedEnd = first.number - 1
    const listed: ListedEnd[] = []
    for (const end of ended) {
      if (end.number !== this.acknowledgedEnd + 1) continue
      this.acknowledgedEnd = end.number
      this.hasUnacknowledged = true
      this.recordEnd(end.ref, nowMs, end.cause)
      const run = this.findRef(end.ref)
      if (run !== undefined) listed.push({ run, cause: end.cause })
    }
    this.pruneRecentEnds(nowMs)
    return listed
  }

  private recordEnd (ref: RunRef, atMs: number, reason: string): void {
    const key = refKey(ref)
    // Keeps the map in the order of the ends.
    this.recentEnds.delete(key)
    this.recentEnds.set(key, { atMs, reason, hasReappeared: false })
  }

  private pruneRecentEnds (nowMs: number): void {
    for (const [key, { atMs }] of this.recentEnds) {
      if (atMs > nowMs - ENDED_RUN_RETENTION_MS) return
      this.recentEnds.delete(key)
    }
  }
}

function refKey (ref: RunRef): string {
  return `${taskKey(ref.task)}#${ref.run}`
}
