/** Measures how long the event loop is busy for each answered request. */
import { type EventLoopUtilization, performance } from 'node:perf_hooks'

/** Weight of the mean since the start of the process in the current mean, in answers. */
const PRIOR_ANSWERS = 10

/** Busy time per answer, in wall time: it grows where the process gets only a share of a core. */
export class AnswerPace {
  private sinceAnswers = 0
  private since: EventLoopUtilization | undefined

  constructor (private readonly answeredCount: () => number) {}

  /** Gives answers from now on more weight than earlier ones. */
  restart (): void {
    this.sinceAnswers = this.answeredCount()
    this.since = performance.eventLoopUtilization()
  }

  /** Mean busy time of the event loop per answer, in milliseconds. */
  get busyMsPerAnswer (): number {
    const meanMs = performance.eventLoopUtilization().active / Math.max(1, this.answeredCount())
    if (this.since === undefined) return meanMs
    const busyMs = performance.eventLoopUtilization(this.since).active
    return (busyMs + meanMs * PRIOR_ANSWERS) / (this.answeredCount() - this.sinceAnswers + PRIOR_ANSWERS)
  }
}
