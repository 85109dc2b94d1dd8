/** What an entry knows of one worker: the last report of its agent, corrected by what was sent since. */
import * as workers from '@egretvalve/workers'

/** Load as an agent reports it. */
export interface ReportedLoad extends workers.ExecutorLoad {
  /** Tasks that the agent had received on the stream when it wrote the report. */
  received: number
}

interface SentTask {
  number: number
  size: workers.RunSize
}

/** One worker. */
export class WorkerView {
  private load: ReportedLoad | undefined
  private sentCount = 0
  private unreported: SentTask[] = []

  constructor (readonly agentId: string, readonly failureDomain: string) {}

  /** Takes a report. What it covers needs no correction any more. */
  apply (load: ReportedLoad): void {
    this.load = load
    this.unreported = this.unreported.filter(sent => sent.number > load.received)
  }

  /** Counts a task that was sent on the current stream. */
  noteSent (size: workers.RunSize): void {
    this.sentCount++
    this.unreported.push({ number: this.sentCount, size })
  }

  /** Room that is neither used nor on its way to being used. */
  get free (): workers.RunSize {
    if (this.load === undefined) return workers.NO_SIZE
    return this.unreported.reduce((room, sent) => workers.subtractSize(room, sent.size), this.load.free)
  }

  get total (): workers.RunSize {
    return this.load?.total ?? workers.NO_SIZE
  }

  get service (): string {
    return this.load?.service ?? ''
  }

  /** True while the worker takes new runs. */
  get takesRuns (): boolean {
    return this.load?.isPresent === true && !this.load.isDraining
  }

  hasLabel (label: string): boolean {
    return this.load?.labels.includes(label) === true
  }

  /** Share of the processors that is used, from 0 to 1. */
  get usedShare (): number {
    const total = this.total.cpuMilli
    return total === 0 ? 1 : Math.min(1, Math.max(0, 1 - this.free.cpuMilli / total))
  }
}
