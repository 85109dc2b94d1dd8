/** Ejects servers whose failure rate is well above that of their peers, and readmits them after trial tasks. */
import type { EjectionOptions } from './defaults.ts'

/** Whether a server may be given tasks. */
export enum ServerStanding {
  Active = 'active',
  /** Gets no tasks until the ejection ends. */
  Ejected = 'ejected',
  /** Gets one task at a time until its trial is decided. */
  OnTrial = 'on-trial'
}

/** A change of a server's standing, for the log. */
export interface StandingChange {
  agentId: string
  standing: ServerStanding
  failureRate: number
}

interface ServerRecord {
  outcomes: number
  failures: number
  standing: ServerStanding
  ejectedUntilMs: number
  ejectionMs: number
  trialSuccesses: number
  trialPending: boolean
}

/** Tracks task outcomes by agent and decides which agents are ejected. */
export class Ejection {
  private readonly records = new Map<string, ServerRecord>()

  constructor (private readonly options: EjectionOptions, private readonly onChange: (change: StandingChange) => void) {}

  /** Starts tracking an agent. */
  add (agentId: string): void {
    if (this.records.has(agentId)) return
    this.records.set(agentId, {
      outcomes: 0,
      failures: 0,
      standing: ServerStanding.Active,
      ejectedUntilMs: 0,
      ejectionMs: this.options.firstEjectionMs,
      trialSuccesses: 0,
      trialPending: false
    })
  }

  /** Stops tracking an agent. */
  remove (agentId: string): void {
    this.records.delete(agentId)
  }

  /** Returns an agent's standing. An ejection whose time is up becomes a trial. */
  standingOf (agentId: string, nowMs: number): ServerStanding {
    const record = this.records.get(agentId)
    if (record === undefined) return ServerStanding.Active
    if (record.standing === ServerStanding.Ejected && nowMs >= record.ejectedUntilMs) {
      record.standing = ServerStanding.OnTrial
      record.trialSuccesses = 0
      record.trialPending = false
    }
    return record.standing
  }

  /** Returns true if an agent may be given a task now. */
  accepts (agentId: string, nowMs: number): boolean {
    const standing = this.standingOf(agentId, nowMs)
    if (standing === ServerStanding.OnTrial) return this.records.get(agentId)?.trialPending === false
    return standing === ServerStanding.Active
  }

  /** Whether an agent is on trial, so that it takes one task at a time. */
  isOnTrial (agentId: string, nowMs: number): boolean {
    return this.standingOf(agentId, nowMs) === ServerStanding.OnTrial
  }

  /** Records that a task was sent to an agent; if the agent is on trial, it gets no further task until the outcome is known. */
  recordSent (agentId: string): void {
    const record = this.records.get(agentId)
    if (record?.standing === ServerStanding.OnTrial) record.trialPending = true
  }

  /** Records the outcome of a task that started. */
  recordOutcome (agentId: string, failed: boolean, nowMs: number): void {
    const record = this.records.get(agentId)
    if (record === undefined) return
    if (record.standing === ServerStanding.OnTrial) {
      this.decideTrial(agentId, record, failed, nowMs)
      return
    }
    this.count(record, failed)
    if (failed && record.standing === ServerStanding.Active) this.evaluate(agentId, record, nowMs)
  }

  /** Records that a task ended without an outcome, such as a refused start; an agent on trial may be given another one. */
  recordNoOutcome (agentId: string): void {
    const record = this.records.get(agentId)
    if (record !== undefined) record.trialPending = false
  }

  private count (record: ServerRecord, failed: boolean): void {
    record.outcomes++
    if (failed) record.failures++
    if (record.outcomes < this.options.windowOutcomes) return
    record.outcomes /= 2
    record.failures /= 2
  }

  private evaluate (agentId: string, record: ServerRecord, nowMs: number): void {
    if (record.outcomes < this.options.minOutcomes) return
    const failureRate = record.failures / record.outcomes
    if (failureRate < this.options.failureRate) return
    if (failureRate < this.options.peerFactor * this.medianPeerFailureRate(agentId)) return
    if (this.countInactive() + 1 > this.records.size * this.options.maxEjectedShare) return
    this.eject(agentId, record, failureRate, nowMs)
  }

  private decideTrial (agentId: string, record: ServerRecord, failed: boolean, nowMs: number): void {
    record.trialPending = false
    if (failed) {
      record.ejectionMs = Math.min(record.ejectionMs * 2, this.options.maxEjectionMs)
      this.eject(agentId, record, 1, nowMs)
      return
    }
    record.trialSuccesses++
    if (record.trialSuccesses < this.options.trialSuccesses) return
    record.standing = ServerStanding.Active
    record.ejectionMs = this.options.firstEjectionMs
    record.outcomes = 0
    record.failures = 0
    this.onChange({ agentId, standing: ServerStanding.Active, failureRate: 0 })
  }

  private eject (agentId: string, record: ServerRecord, failureRate: number, nowMs: number): void {
    record.standing = ServerStanding.Ejected
    record.ejectedUntilMs = nowMs + record.ejectionMs
    this.onChange({ agentId, standing: ServerStanding.Ejected, failureRate })
  }

  private countInactive (): number {
    let count = 0
    for (const record of this.records.values()) {
      if (record.standing !== ServerStanding.Active) count++
    }
    return count
  }

  private medianPeerFailureRate (agentId: string): number {
    const rates: number[] = []
    for (const [peerId, record] of this.records) {
      if (peerId !== agentId) rates.push(record.outcomes === 0 ? 0 : record.failures / record.outcomes)
    }
    rates.sort((left, right) => left - right)
    return rates[Math.floor(rates.length / 2)] ?? 0
  }
}
