/** The runs that take room on a worker, and the ends that it has listed. */
import type { EndCause, EndedRun, RunRef, RunSize } from './driver.ts'
import { taskKey } from './driver.ts'
import type { TaskOrder } from './order.ts'
import { addSize, NO_SIZE, subtractSize } from './size.ts'

/** What a run has been asked to do. */
export enum RunPhase {
  Starting = 'starting',
  Running = 'running',
  Stopping = 'stopping'
}

/** A run that takes room on the worker. */
export interface HeldRun {
  readonly order: TaskOrder
  ref: RunRef
  phase: RunPhase
  startedAtMs: number
  percent: number
  /** Steady time at which the percentage last rose. */
  progressAtMs: number
  /** Steady time of the last answer that listed the run. */
  observedAtMs: number
  /** Age of the order when the worker acknowledged the start. */
  waitedMs: number
  /** Answers in a row, asked for after the start, that did not list the run. */
  missedAnswers: number
  /** Steady time at which the worker acknowledged a stop: it refuses a late arrival of the start from then on. Infinite before. */
  stopAcknowledgedAtMs: number
}

/** Time for which ended runs are remembered, so that an answer that was overtaken names no stray run. */
const ENDED_MEMORY_MS = 3_000

/** A held run that the worker has listed as ended. */
export interface ListedEnd {
  run: HeldRun
  cause: EndCause
}

/** Book of one life of a worker. */
export class RunBook {
  /** Number of the last end that has been taken note of. */
  acknowledgedEnd = 0
  /** True while the worker may not know the number above. */
  hasUnacknowledged = false
  private readonly held = new Map<string, HeldRun>()
  private readonly recentEnds = new Map<string, number>()
  private usedSize: RunSize = NO_SIZE

  /** Room that the runs take. */
  get used (): RunSize {
    return this.usedSize
  }

  get count (): number {
    return this.held.size
  }

  /** The runs, in a list of its own that stays as it is while runs end. */
  get all (): HeldRun[] {
    return [...this.held.values()]
  }

  find (key: string): HeldRun | undefined {
    return this.held.get(key)
  }

  /** Returns the run with the number that the worker names. */
  findRef (ref: RunRef): HeldRun | undefined {
    const run = this.held.get(taskKey(ref.task))
    return run?.ref.run === ref.run ? run : undefined
  }

  holds (run: HeldRun): boolean {
    return this.held.get(taskKey(run.order.task)) === run
  }

  add (run: HeldRun): void {
    this.held.set(taskKey(run.order.task), run)
    this.usedSize = addSize(this.usedSize, run.order.size)
  }

  /** Takes a run out that has ended. */
  remove (run: HeldRun, nowMs: number): void {
    this.held.delete(taskKey(run.order.task))
    this.usedSize = subtractSize(this.usedSize, run.order.size)
    this.recentEnds.set(refKey(run.ref), nowMs)
  }

  /** Returns true for a run that ended a moment ago. */
  hasEndedLately (ref: RunRef): boolean {
    return this.recentEnds.has(refKey(ref))
  }

  /** Takes note of the ends that a worker lists, each once, and returns those of held runs. */
  takeEnds (ended: readonly EndedRun[], nowMs: number): ListedEnd[] {
    // The worker lists every end that isn't acknowledged, so a gap was acknowledged by an earlier life of the agent.
    const first = ended[0]
    if (first !== undefined && first.number > this.acknowledgedEnd + 1) this.acknowledgedEnd = first.number - 1
    const listed: ListedEnd[] = []
    for (const end of ended) {
      if (end.number !== this.acknowledgedEnd + 1) continue
      this.acknowledgedEnd = end.number
      this.hasUnacknowledged = true
      this.recentEnds.set(refKey(end.ref), nowMs)
      const run = this.findRef(end.ref)
      if (run !== undefined) listed.push({ run, cause: end.cause })
    }
    this.forgetOldEnds(nowMs)
    return listed
  }

  private forgetOldEnds (nowMs: number): void {
    for (const [key, atMs] of this.recentEnds) {
      if (atMs > nowMs - ENDED_MEMORY_MS) return
      this.recentEnds.delete(key)
    }
  }
}

function refKey (ref: RunRef): string {
  return `${taskKey(ref.task)}#${ref.run}`
}
