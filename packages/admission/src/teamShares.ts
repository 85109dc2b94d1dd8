/** Weighted fair shares of the teams. The share of a team without waiting work is divided among the others. */

/** Weight of a team whose configuration states none. */
const DEFAULT_WEIGHT = 1

/** Returns the weight of a team's share, or undefined if its configuration states none. */
export type WeightResolver = (team: string) => number | undefined

interface TeamUsage {
  /** Decayed sum of started work, in milliseconds of run time. */
  usedMs: number
  updatedAtMs: number
}

/** Tracks each team's recently started work against its weight. */
export class TeamShares {
  private readonly teams = new Map<string, TeamUsage>()

  constructor (private readonly halfLifeMs: number, private readonly resolveWeight: WeightResolver = () => undefined) {}

  /** Returns a team's weight; shares are proportional to the weights. */
  weightOf (team: string): number {
    return this.resolveWeight(team) ?? DEFAULT_WEIGHT
  }

  /** Records started work, in milliseconds of run time. */
  recordStarted (team: string, workMs: number, nowMs: number): void {
    const usage = this.usageOf(team)
    this.decay(usage, nowMs)
    usage.usedMs += workMs
  }

  /** Returns a team's recently started work divided by its weight, in milliseconds of run time. */
  weightedUsageMs (team: string, nowMs: number): number {
    const usage = this.usageOf(team)
    this.decay(usage, nowMs)
    return usage.usedMs / this.weightOf(team)
  }

  /** Returns a team's share of the capacity among the teams with waiting work, from 0 to 1. */
  shareAmong (team: string, activeTeams: Iterable<string>): number {
    let sum = 0
    let isActive = false
    for (const active of activeTeams) {
      sum += this.weightOf(active)
      if (active === team) isActive = true
    }
    if (!isActive) sum += this.weightOf(team)
    return this.weightOf(team) / sum
  }

  /** Returns the weighted usage above which a team is over its share among the active teams, in milliseconds. */
  fairUsageMs (activeTeams: Iterable<string>, nowMs: number): number {
    let usedMs = 0
    let weights = 0
    for (const team of activeTeams) {
      const usage = this.usageOf(team)
      this.decay(usage, nowMs)
      usedMs += usage.usedMs
      weights += this.weightOf(team)
    }
    return weights === 0 ? 0 : usedMs / weights
  }

  private usageOf (team: string): TeamUsage {
    let usage = this.teams.get(team)
    if (usage === undefined) {
      usage = { usedMs: 0, updatedAtMs: 0 }
      this.teams.set(team, usage)
    }
    return usage
  }

  private decay (usage: TeamUsage, nowMs: number): void {
    const elapsedMs = nowMs - usage.updatedAtMs
    if (elapsedMs <= 0) return
    usage.usedMs *= 2 ** (-elapsedMs / this.halfLifeMs)
    usage.updatedAtMs = nowMs
  }
}
