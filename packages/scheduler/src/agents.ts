/** The agents of this entry: their links, the load of their workers and the tasks they hold. */
import type * as workers from '@egretvalve/workers'
import type { Job, Task } from './job.ts'
import { SentTasks } from './sentTasks.ts'
import { type ReportedLoad, WorkerView } from './workerView.ts'

/** What an order tells about crashes of workers under the task; see `workers.TaskOrder`. */
export interface Suspicion {
  crashes: number
  observationMs: number
  checksWorker: boolean
}

/** Link to an agent. */
export interface AgentPort {
  readonly agentId: string
  /** Incarnation of the agent: changes when it restarts. */
  readonly incarnation: string
  readonly failureDomain: string
  /** Returns the time since the agent's last message, in milliseconds. */
  sinceLastMessageMs: () => number
  /** Sends a task. `expiresInMs` is the time until the deadline of its job. */
  sendTask: (job: Job, task: Task, expiresInMs: number, suspicion: Suspicion) => void
  stop: (ref: workers.TaskRef) => void
  /** Sends the demand of the most urgent tasks that wait for capacity; undefined when none waits. */
  sendDemand: (demand: workers.Demand | undefined) => void
}

/** State of an agent. */
export interface AgentRecord {
  readonly agentId: string
  /** Incarnation that holds the tasks in `sent`. */
  incarnation: string
  /** Undefined while no link is open. */
  port: AgentPort | undefined
  view: WorkerView
  readonly sent: SentTasks
  /** Time of the agent's last message, in milliseconds; undefined while connected. */
  lastMessageAtMs: number | undefined
}

/** Registry of the agents that are connected to this entry, or were so recently. */
export class Agents {
  private readonly records = new Map<string, AgentRecord>()
  private evacuated: ReadonlySet<string> = new Set()

  /** Sets the failure domains whose workers get no tasks and don't count as capacity. */
  setEvacuatedDomains (failureDomains: readonly string[]): void {
    this.evacuated = new Set(failureDomains)
  }

  /** True while some failure domain is evacuated. */
  get hasEvacuatedDomain (): boolean {
    return this.evacuated.size > 0
  }

  isEvacuated ({ view }: AgentRecord): boolean {
    return this.evacuated.has(view.failureDomain)
  }

  /** Agents outside of evacuated failure domains. */
  get usable (): Iterable<AgentRecord> {
    return this.hasEvacuatedDomain ? [...this.records.values()].filter(agent => !this.isEvacuated(agent)) : this.records.values()
  }

  /** Returns true while new tasks may be sent to the agent's worker. */
  acceptsRuns (agent: AgentRecord): boolean {
    return agent.port !== undefined && agent.view.acceptsRuns && !this.isEvacuated(agent)
  }

  get all (): Iterable<AgentRecord> {
    return this.records.values()
  }

  get count (): number {
    return this.records.size
  }

  get (agentId: string): AgentRecord | undefined {
    return this.records.get(agentId)
  }

  /** Adds an agent or replaces its link. The load of the worker is reset to `load`. */
  connect (port: AgentPort, load: ReportedLoad): AgentRecord {
    const view = new WorkerView(port.agentId, port.failureDomain)
    view.apply(load)
    const known = this.records.get(port.agentId)
    const record: AgentRecord = known ?? { agentId: port.agentId, incarnation: port.incarnation, port, view, sent: new SentTasks(), lastMessageAtMs: undefined }
    record.port = port
    record.view = view
    record.lastMessageAtMs = undefined
    this.records.set(port.agentId, record)
    return record
  }

  /** Removes a disconnected agent that holds no tasks. */
  remove (agentId: string): void {
    this.records.delete(agentId)
  }
}
