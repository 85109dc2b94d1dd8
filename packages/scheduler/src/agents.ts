/** The agents of this entry: links, views of their workers and the tasks that they have. */
import type * as workers from '@egretvalve/workers'
import type { Job, Task } from './job.ts'
import { type ReportedLoad, WorkerView } from './workerView.ts'

/** A task that an agent has. */
export interface SentTask {
  job: Job
  task: Task
  attempt: number
  /** The link on which the task was sent, or on which the agent said that it holds it. */
  port: AgentPort
}

/** The link to an agent. */
export interface AgentPort {
  readonly agentId: string
  readonly life: string
  readonly failureDomain: string
  /** Time since the last message, in milliseconds. */
  silentMs: () => number
  order: (job: Job, task: Task, expiresInMs: number) => void
  stop: (ref: workers.TaskRef) => void
  /** Tells the agent of the most urgent tasks that wait for room, or that none waits. */
  tellDemand: (demand: workers.Demand | undefined) => void
}

/** One agent. */
export interface AgentRecord {
  readonly agentId: string
  life: string
  /** Undefined while no link is open. */
  port: AgentPort | undefined
  view: WorkerView
  /** Tasks by their key. */
  readonly sent: Map<string, SentTask>
  /** Time at which the link was lost. */
  awaySinceMs: number | undefined
}

/** All agents that this entry has met. */
export class Agents {
  private readonly records = new Map<string, AgentRecord>()

  get all (): Iterable<AgentRecord> {
    return this.records.values()
  }

  get count (): number {
    return this.records.size
  }

  get (agentId: string): AgentRecord | undefined {
    return this.records.get(agentId)
  }

  /** Takes a new link. */
  connect (port: AgentPort, load: ReportedLoad): AgentRecord {
    const view = new WorkerView(port.agentId, port.failureDomain)
    view.apply(load)
    const known = this.records.get(port.agentId)
    const record: AgentRecord = known ?? { agentId: port.agentId, life: port.life, port, view, sent: new Map(), awaySinceMs: undefined }
    record.port = port
    record.view = view
    record.awaySinceMs = undefined
    this.records.set(port.agentId, record)
    return record
  }

  /** Forgets an agent that is away and has no tasks. */
  forget (agentId: string): void {
    this.records.delete(agentId)
  }
}
