/** Sends agents the demand of an entry: its most urgent tasks that wait for capacity. Agents give freed capacity to the most urgent demand of all entries. */
import type * as workers from '@egretvalve/workers'
import type { AgentRecord, Agents } from './agents.ts'
import type { Job, Task } from './job.ts'
import { latestStartOf, type OrderKey, rankOf } from './order.ts'

/** Period in which a demand is sent again while tasks wait. Agents drop a demand after 250 ms. */
const REPEAT_PERIOD_MS = 100
/** Minimum time between two demands of a service. The end of a demand is sent immediately. */
const MIN_PERIOD_MS = 5
/** Change of the latest start above which a demand is sent again. */
const LATEST_START_TOLERANCE_MS = 15
/** Maximum number of agents notified. A full worker of 32 cores ends about 30 tasks a second, so these free capacity for a job within milliseconds. */
const MAX_AGENTS = 16
/** Time after which a new set of agents is chosen. */
const AGENT_SET_LIFETIME_MS = 1_000

/** A waiting job with its order key, which is computed once per dispatch pass. */
export interface QueuedJob extends OrderKey {
  job: Job
}

interface SentDemand {
  demand: workers.Demand | undefined
  sentAtMs: number
  /** Agents that got the demand, and get its end. */
  agentIds: ReadonlySet<string>
  agentsChosenAtMs: number
}

/** Tracks the demand last sent for each service and sends changes. */
export class DemandNotifier {
  private readonly lastSent = new Map<string, SentDemand>()

  /** `random` returns a number from 0 to 1. */
  constructor (private readonly random: () => number) {}

  /** Sends the demand of the first job in `queue` that still waits for capacity, for each service, and the end of demands without such a job. */
  update (queue: readonly QueuedJob[], agents: Agents, nowMs: number): void {
    const waiting = new Map<string, { queued: QueuedJob, tasks: Task[] }>()
    for (const queued of queue) {
      const { service } = queued.job.terms
      if (waiting.has(service) || !queued.job.hasWaitingTask) continue
      const tasks = queued.job.tasksWithoutRoom()
      if (tasks.length > 0) waiting.set(service, { queued, tasks })
    }
    for (const [service, { queued, tasks }] of waiting) this.notify(service, createDemand(queued, tasks, nowMs), agents.usable, nowMs)
    for (const service of this.demandedServices) {
      if (!waiting.has(service)) this.notify(service, undefined, agents.all, nowMs)
    }
  }

  /** Sends a demand, or its end when undefined, to agents of the service if it has changed enough or is due again. */
  notify (service: string, demand: workers.Demand | undefined, agents: Iterable<AgentRecord>, nowMs: number): void {
    const before = this.lastSent.get(service)
    if (!isDue(before, demand, nowMs)) return
    const connected = [...agents].filter(agent => agent.port !== undefined && agent.view.service === service)
    const reusesAgents = before !== undefined && (demand === undefined || nowMs - before.agentsChosenAtMs < AGENT_SET_LIFETIME_MS)
    const agentIds = reusesAgents ? before.agentIds : this.chooseAgents(connected)
    this.lastSent.set(service, { demand, sentAtMs: nowMs, agentIds, agentsChosenAtMs: reusesAgents ? before.agentsChosenAtMs : nowMs })
    for (const agent of connected) {
      if (agentIds.has(agent.agentId)) agent.port?.sendDemand(demand)
    }
  }

  /** Services for which a demand was sent and not yet ended. */
  get demandedServices (): string[] {
    return [...this.lastSent].filter(([, { demand }]) => demand !== undefined).map(([service]) => service)
  }

  private chooseAgents (connected: readonly AgentRecord[]): ReadonlySet<string> {
    const pool = connected.map(agent => agent.agentId)
    const chosen = new Set<string>()
    while (chosen.size < MAX_AGENTS && pool.length > 0) chosen.add(pool.splice(Math.min(pool.length - 1, Math.floor(this.random() * pool.length)), 1)[0]!)
    return chosen
  }
}

function createDemand (queued: QueuedJob, tasks: readonly Task[], nowMs: number): workers.Demand {
  return { rank: rankOf(queued, nowMs), latestStartAtMs: latestStartOf(queued), size: queued.job.stepOf(tasks[0]!).size, count: tasks.length }
}

function isDue (last: SentDemand | undefined, demand: workers.Demand | undefined, nowMs: number): boolean {
  if (demand === undefined) return last?.demand !== undefined
  if (last === undefined) return true
  const sinceMs = nowMs - last.sentAtMs
  if (sinceMs < MIN_PERIOD_MS) return false
  const { demand: before } = last
  return before === undefined || sinceMs >= REPEAT_PERIOD_MS || before.rank !== demand.rank || Math.abs(before.latestStartAtMs - demand.latestStartAtMs) > LATEST_START_TOLERANCE_MS
}
