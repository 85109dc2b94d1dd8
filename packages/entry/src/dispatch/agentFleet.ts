/** The connected agents: their sessions and their state for placement. */
import * as admission from '@egretvalve/admission'
import * as placement from '@egretvalve/placement'
import * as protocol from '@egretvalve/protocol'
import type * as settings from '@egretvalve/settings'
import type { AgentSession } from '../links/agentSession.ts'
import { isServerFailure } from './retryPolicy.ts'

const { wire } = protocol

/** Minimum number of own outstanding tasks for an estimate of how many entries share the servers. */
const MIN_OWN_TASKS = 4

/** Sessions and placement views of the agents connected to this entry. */
export class AgentFleet {
  readonly view: placement.FleetView
  private readonly sessions = new Map<string, AgentSession>()

  constructor (ownFailureDomain: string, private readonly timers: settings.Timers, private readonly log: settings.Log) {
    this.view = new placement.FleetView(ownFailureDomain, placement.DEFAULT_PLACEMENT, placement.DEFAULT_EJECTION, change => { this.logEjectionChange(change) })
  }

  get connected (): Iterable<AgentSession> {
    return this.sessions.values()
  }

  add (session: AgentSession): void {
    this.sessions.set(session.agentId, session)
    this.view.connect(session.agentId, session.failureDomain, session.currentLoad, this.timers.nowMs())
  }

  remove (session: AgentSession): void {
    if (this.sessions.get(session.agentId) !== session) return
    this.sessions.delete(session.agentId)
    this.view.disconnect(session.agentId)
  }

  get (agentId: string): AgentSession | undefined {
    return this.sessions.get(agentId)
  }

  /** Applies the latest load report of an agent to its placement view. */
  applyLoad (session: AgentSession): void {
    this.view.get(session.agentId)?.applyLoad(session.currentLoad, this.timers.nowMs(), session.outstanding.size)
  }

  knowsService (service: string): boolean {
    for (const view of this.view.views) {
      if (view.service === service) return true
    }
    return false
  }

  /** Records the outcome of a task for the ejection of failing servers. */
  recordOutcome (agentId: string, report: protocol.wire.ITaskReport): void {
    if (report.state === wire.TaskState.TASK_STATE_NOT_RUN) this.view.ejection.recordNoOutcome(agentId)
    else this.view.ejection.recordOutcome(agentId, isServerFailure(report), this.timers.nowMs())
  }

  /** Returns the servers' total and free slots for a service, and an estimate of the number of entries that share them. */
  capacityOf (service: string): admission.EntryCapacity {
    const { slots, freeSlots, busy } = this.view.capacityOf(service)
    let own = 0
    for (const session of this.sessions.values()) own += session.outstanding.size
    const entries = own < MIN_OWN_TASKS ? 1 : Math.max(1, busy / own)
    return { slots, freeSlots, entries }
  }

  /** Sends the urgency of the waiting tasks of a service to its agents. */
  announceUrgency (service: string, urgency: protocol.wire.Urgency, waiting: number): void {
    for (const session of this.sessions.values()) {
      if (session.service === service) session.announceUrgency(service, urgency, waiting)
    }
  }

  /** Returns unused credits to the agents of a service that has no waiting tasks. */
  returnCredits (service: string): void {
    for (const view of this.view.viewsOf(service)) {
      const credits = view.releaseUnusedCredits()
      if (credits > 0) this.sessions.get(view.agentId)?.returnCredits(service, credits)
    }
  }

  private logEjectionChange (change: placement.StandingChange): void {
    const { serverEjected, serverRestored } = placement.placementEvents
    const event = change.standing === placement.ServerStanding.Ejected ? serverEjected : serverRestored
    this.log.event(event, { agentId: change.agentId, failureRate: change.failureRate })
  }
}
