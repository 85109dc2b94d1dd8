/** An entry's view of a worker: the agent's last load report, corrected by the tasks sent since. */
import * as workers from '@egretvalve/workers'

/** Load as reported by an agent. */
export interface ReportedLoad extends workers.ExecutorLoad {
  /** Number of tasks that the agent had received on the stream when it wrote the report. */
  received: number
}

/** A task that the last report does not cover. */
interface UnreportedTask {
  /** Position of the task on the stream, from 1. */
  sequence: number
  size: workers.RunSize
}

export class WorkerView {
  private load: ReportedLoad | undefined
  private sentCount = 0
  private unreported: UnreportedTask[] = []

  constructor (readonly agentId: string, readonly failureDomain: string) {}

  /** Applies a report and drops the tasks that it covers from the correction. */
  apply (load: ReportedLoad): void {
    this.load = load
    this.unreported = this.unreported.filter(sent => sent.sequence > load.received)
  }

  /** Records a task sent on the current stream. */
  recordSent (size: workers.RunSize): void {
    this.sentCount++
    this.unreported.push({ sequence: this.sentCount, size })
  }

  /** Capacity that neither reported tasks nor those sent since use. */
  get free (): workers.RunSize {
    if (this.load === undefined) return workers.NO_SIZE
    return this.unreported.reduce((free, sent) => workers.subtractSize(free, sent.size), this.load.free)
  }

  get total (): workers.RunSize {
    return this.load?.total ?? workers.NO_SIZE
  }

  get service (): string {
    return this.load?.service ?? ''
  }

  /** True while the worker accepts new runs. */
  get acceptsRuns (): boolean {
    return this.load?.isPresent === true && !this.load.isDraining
  }

  /** True while the worker runs a task that is suspected of a crash, by its last report. */
  get hasSuspect (): boolean {
    return this.load?.hasSuspect === true
  }

  hasLabel (label: string): boolean {
    return this.load?.labels.includes(label) === true
  }

  /** Share of the processors in use, from 0 to 1. */
  get usedShare (): number {
    const total = this.total.cpuMilli
    return total === 0 ? 1 : Math.min(1, Math.max(0, 1 - this.free.cpuMilli / total))
  }
}
