/** Limits the number of log lines and keeps the lines of some jobs whole. */

/** Length of the periods for which lines are counted, in milliseconds. */
const PERIOD_MS = 250
/** Share of the budget to which lines about jobs are sampled; the rest absorbs variation. */
const SAMPLED_SHARE = 0.7
/** Share of the budget that lines about jobs may use; the rest is for other lines. */
const MAX_JOB_SHARE = 0.9
const HASH_RANGE = 2 ** 32

/**
 * Decides which lines are written. When there are more lines than the budget allows, those about jobs are sampled by job: either all
 * lines of a job are written or none, and a job that a busier process writes is also written by the others. Other lines are dropped
 * only beyond the budget.
 */
export class LineBudget {
  private readonly linesPerPeriod: number
  private periodStartedAtMs = 0
  private writtenLines = 0
  private wantedLines = 0
  /** Share of the jobs whose lines are written. */
  private sampledShare = 1
  private dropped = 0

  constructor (maxLinesPerS: number, private readonly nowMs: () => number) {
    this.linesPerPeriod = maxLinesPerS * PERIOD_MS / 1_000
  }

  /** Returns whether a line may be written; counts it as dropped if not. `jobId` is undefined for a line that is about no job. */
  tryAcquire (jobId: string | undefined): boolean {
    if (this.nowMs() - this.periodStartedAtMs >= PERIOD_MS) this.startPeriod()
    this.wantedLines++
    if (jobId === undefined ? this.writtenLines < this.linesPerPeriod : this.isSampled(jobId) && this.writtenLines < this.linesPerPeriod * MAX_JOB_SHARE) {
      this.writtenLines++
      return true
    }
    this.dropped++
    return false
  }

  /** Returns the number of lines dropped since the last call. */
  consumeDroppedCount (): number {
    const { dropped } = this
    this.dropped = 0
    return dropped
  }

  private isSampled (jobId: string): boolean {
    return this.sampledShare === 1 || hash(jobId) < this.sampledShare * HASH_RANGE
  }

  private startPeriod (): void {
    this.sampledShare = Math.min(1, this.linesPerPeriod * SAMPLED_SHARE / Math.max(1, this.wantedLines))
    this.periodStartedAtMs = this.nowMs()
    this.writtenLines = 0
    this.wantedLines = 0
  }
}

/** Returns a 32-bit FNV-1a hash with its bits mixed, since ids often differ in their last characters only. */
function hash (text: string): number {
  let value = 0x811c9dc5
  for (let index = 0; index < text.length; index++) value = Math.imul(value ^ text.charCodeAt(index), 0x01000193)
  value = Math.imul(value ^ value >>> 16, 0x85ebca6b)
  return (value ^ value >>> 13) >>> 0
}
