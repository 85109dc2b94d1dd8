/** What an entry tells agents of its tasks that wait for room, so that freed room goes to the most urgent task of all entries. */
import type * as workers from '@egretvalve/workers'
import type { AgentRecord } from './agents.ts'

/** Time after which a demand is repeated while tasks wait; agents forget it after 250 ms. */
const REPEAT_MS = 100
/** Shortest time between two messages, unless none waits any more. */
const MIN_PERIOD_MS = 5
/** Difference of the latest start from which agents are told again. */
const LATEST_START_STEP_MS = 15

interface ToldDemand {
  demand: workers.Demand | undefined
  atMs: number
}

/** The demand of each service as told last. */
export class DemandBoard {
  private readonly told = new Map<string, ToldDemand>()

  /** Tells the agents of a service when the demand has changed enough. */
  tell (service: string, demand: workers.Demand | undefined, agents: Iterable<AgentRecord>, nowMs: number): void {
    if (!this.isDue(this.told.get(service), demand, nowMs)) return
    this.told.set(service, { demand, atMs: nowMs })
    for (const agent of agents) {
      if (agent.view.service === service) agent.port?.tellDemand(demand)
    }
  }

  /** Services for which agents were told that tasks wait. */
  get demanded (): string[] {
    return [...this.told].filter(([, { demand }]) => demand !== undefined).map(([service]) => service)
  }

  private isDue (told: ToldDemand | undefined, demand: workers.Demand | undefined, nowMs: number): boolean {
    if (demand === undefined) return told?.demand !== undefined
    if (told === undefined) return true
    const sinceMs = nowMs - told.atMs
    if (sinceMs < MIN_PERIOD_MS) return false
    const { demand: before } = told
    return before === undefined || sinceMs >= REPEAT_MS || before.rank !== demand.rank || Math.abs(before.latestStartAtMs - demand.latestStartAtMs) > LATEST_START_STEP_MS
  }
}
