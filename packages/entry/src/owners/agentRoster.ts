/** The agents known to this entry that may hold start records. */
import type * as settings from '@egretvalve/settings'

interface RosterEntry {
  incarnation: string
  hasEarlierIncarnation: boolean
  seenAtMs: number
}

/** Agents seen within the retention time, with their latest incarnation. */
export class AgentRoster {
  private readonly agents = new Map<string, RosterEntry>()
  /** Wall-clock time from which on this entry has recorded agent incarnations, in Unix milliseconds. */
  readonly startedAtWallMs: number

  constructor (private readonly retentionMs: number, private readonly timers: settings.Timers) {
    this.startedAtWallMs = timers.wallClockMs()
  }

  /** Records that an agent has opened a stream. */
  recordSeen (agentId: string, incarnation: string): void {
    const known = this.agents.get(agentId)
    const hasEarlierIncarnation = known !== undefined && (known.hasEarlierIncarnation || known.incarnation !== incarnation)
    this.agents.set(agentId, { incarnation, hasEarlierIncarnation, seenAtMs: this.timers.nowMs() })
  }

  /** Returns the ids of the agents seen within the retention time; connected agents count as seen now. Removes older ones. */
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

  /** Returns true if this entry has seen an earlier incarnation of the agent. */
  hasEarlierIncarnation (agentId: string): boolean {
    return this.agents.get(agentId)?.hasEarlierIncarnation === true
  }
}
