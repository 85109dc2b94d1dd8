/** What an entry tells agents of its tasks that wait for room, so that freed room goes to the most urgent task of all entries. */
import type * as workers from '@egretvalve/workers'
import type { AgentRecord, Agents } from './agents.ts'
import type { Job } from './job.ts'
import { latestStartOf, type OrderKey, rankOf } from './order.ts'

/** Time after which a demand is repeated while tasks wait; agents forget it after 250 ms. */
const REPEAT_MS = 100
/** Shortest time between two messages, unless none waits any more. */
const MIN_PERIOD_MS = 5
/** Difference of the latest start from which agents are told again. */
const LATEST_START_STEP_MS = 15
/** Most agents that are told: a full worker of 32 cores ends some 30 tasks a second, so room for a job is found among these within milliseconds. */
const MAX_AGENTS = 16
/** Time for which the same agents are told. */
const KEEP_AGENTS_MS = 1_000

/** Order key and job, computed once for each pass over the queue. */
export interface QueuedJob extends OrderKey {
  job: Job
}

interface ToldDemand {
  demand: workers.Demand | undefined
  atMs: number
  agentIds: ReadonlySet<string>
  chosenAtMs: number
}

/** The demand of each service as told last. */
export class DemandBoard {
  private readonly told = new Map<string, ToldDemand>()

  /** `random` returns a number from 0 to 1. */
  constructor (private readonly random: () => number) {}

  /** Tells agents of the first job of each service that still waits for room, in the order of the queue. */
  review (queue: readonly QueuedJob[], agents: Agents, nowMs: number): void {
    const waiting = new Map<string, QueuedJob>()
    for (const queued of queue) {
      const { service } = queued.job.terms
      if (!waiting.has(service) && queued.job.hasWaitingTask) waiting.set(service, queued)
    }
    for (const [service, queued] of waiting) this.tell(service, describeDemand(queued, nowMs), agents.all, nowMs)
    for (const service of this.demanded) {
      if (!waiting.has(service)) this.tell(service, undefined, agents.all, nowMs)
    }
  }

  /** Tells agents of a service when the demand has changed enough. */
  tell (service: string, demand: workers.Demand | undefined, agents: Iterable<AgentRecord>, nowMs: number): void {
    const before = this.told.get(service)
    if (!isDue(before, demand, nowMs)) return
    const linked = [...agents].filter(agent => agent.port !== undefined && agent.view.service === service)
    const isKept = before !== undefined && (demand === undefined || nowMs - before.chosenAtMs < KEEP_AGENTS_MS)
    const agentIds = isKept ? before.agentIds : this.chooseAgents(linked)
    this.told.set(service, { demand, atMs: nowMs, agentIds, chosenAtMs: isKept ? before.chosenAtMs : nowMs })
    for (const agent of linked) {
      if (agentIds.has(agent.agentId)) agent.port?.tellDemand(demand)
    }
  }

  /** Services for which agents were told that tasks wait. */
  get demanded (): string[] {
    return [...this.told].filter(([, { demand }]) => demand !== undefined).map(([service]) => service)
  }

  private chooseAgents (linked: readonly AgentRecord[]): ReadonlySet<string> {
    const pool = linked.map(agent => agent.agentId)
    const chosen = new Set<string>()
    while (chosen.size < MAX_AGENTS && pool.length > 0) chosen.add(pool.splice(Math.min(pool.length - 1, Math.floor(this.random() * pool.length)), 1)[0]!)
    return chosen
  }
}

function describeDemand (queued: QueuedJob, nowMs: number): workers.Demand {
  const tasks = queued.job.waitingTasks()
  return { rank: rankOf(queued, nowMs), latestStartAtMs: latestStartOf(queued), size: queued.job.stepOf(tasks[0]!).size, count: tasks.length }
}

function isDue (told: ToldDemand | undefined, demand: workers.Demand | undefined, nowMs: number): boolean {
  if (demand === undefined) return told?.demand !== undefined
  if (told === undefined) return true
  const sinceMs = nowMs - told.atMs
  if (sinceMs < MIN_PERIOD_MS) return false
  const { demand: before } = told
  return before === undefined || sinceMs >= REPEAT_MS || before.rank !== demand.rank || Math.abs(before.latestStartAtMs - demand.latestStartAtMs) > LATEST_START_STEP_MS
}
