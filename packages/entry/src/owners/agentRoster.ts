/** The agents that may hold records of starts, as far as this entry knows. */
import type * as settings from '@egretvalve/settings'

interface RosterEntry {
  incarnation: string
  hasEarlierLife: boolean
  seenAtMs: number
}

/** Remembers agents for the retention window after they were last seen. */
export class AgentRoster {
  private readonly agents = new Map<string, RosterEntry>()
  /** Wall-clock time since which lives of agents are seen here. */
  readonly startedAtWallMs: number

  constructor (private readonly retentionMs: number, private readonly timers: settings.Timers) {
    this.startedAtWallMs = timers.wallClockMs()
  }

  /** Notes a stream of an agent. */
  noteSeen (agentId: string, incarnation: string): void {
    const known = this.agents.get(agentId)
    const hasEarlierLife = known !== undefined && (known.hasEarlierLife || known.incarnation !== incarnation)
    this.agents.set(agentId, { incarnation, hasEarlierLife, seenAtMs: this.timers.nowMs() })
  }

  /** Agents seen within the retention window, and those connected now. */
  list (connected: readonly string[]): string[] {
    const nowMs = this.timers.nowMs()
    for (const agentId of connected) {
      const known = this.agents.get(agentId)
      if (known !== undefined) known.seenAtMs = nowMs
    }
    for (const [agentId, known] of this.agents) {
      if (known.seenAtMs < nowMs - this.retentionMs) this.agents.delete(agentId)
    }
    return [...this.agents.keys()]
  }

  /** True when an earlier life of an agent was seen here. */
  hasEarlierLife (agentId: string): boolean {
    return this.agents.get(agentId)?.hasEarlierLife === true
  }
}
