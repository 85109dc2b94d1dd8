/** One entry's view of the fleet, and the choice of agents for tasks. */
import type * as protocol from '@egretvalve/protocol'
import * as prand from 'pure-rand'
import { AgentView } from './agentView.ts'
import * as capacity from './capacity.ts'
import type { EjectionOptions, PlacementOptions } from './defaults.ts'
import { Ejection, type StandingChange } from './ejection.ts'

/** A group of equal tasks to be placed. */
export interface PlacementRequest {
  service: string
  wanted: capacity.Capacity
  /** Number of tasks. */
  count: number
  /** Whether the tasks are declared long, so that they may not use the slots protected for short tasks. */
  isLong?: boolean
  /** Agents that the tasks have already failed on. */
  excludedAgentIds?: ReadonlySet<string>
}

/** Number of tasks of a group to send to one agent. */
export interface Placement {
  agentId: string
  count: number
}

/** Total capacity of the servers of a service that are connected to this entry. */
export interface ServiceCapacity {
  servers: number
  slots: number
  freeSlots: number
  /** Tasks of all entries on these servers. */
  busy: number
}

interface Candidate {
  view: AgentView
  /** Tasks of the request that still fit. */
  fittingTasks: number
  expectedFreeSlots: number
  chosen: number
}

/** Number of levels into which the free share of a server is divided; servers on the same level count as equally loaded. */
const LOAD_LEVELS = 16

/** Fraction of a slot that may be missing for an expected free slot to count as a whole one. */
const SLOT_TOLERANCE = 0.2

/** Views of all agents that are connected to this entry. */
export class FleetView {
  readonly ejection: Ejection
  private readonly agents = new Map<string, AgentView>()
  private readonly random: prand.RandomGenerator

  constructor (
    private readonly ownFailureDomain: string,
    private readonly options: PlacementOptions,
    ejectionOptions: EjectionOptions,
    onStandingChange: (change: StandingChange) => void
  ) {
    this.ejection = new Ejection(ejectionOptions, onStandingChange)
    this.random = prand.xoroshiro128plus(options.seed)
  }

  /** Adds an agent that has connected, or replaces the view of one that has reconnected. */
  connect (agentId: string, failureDomain: string, load: protocol.wire.ILoadReport | null | undefined, nowMs: number): AgentView {
    const view = new AgentView(agentId, failureDomain, nowMs)
    this.agents.set(agentId, view)
    this.ejection.add(agentId)
    if (load !== null && load !== undefined) view.applyLoad(load, nowMs)
    return view
  }

  /** Removes an agent that has disconnected. */
  disconnect (agentId: string): void {
    this.agents.delete(agentId)
    this.ejection.remove(agentId)
  }

  /** Returns the view of an agent, or undefined if it is not connected. */
  get (agentId: string): AgentView | undefined {
    return this.agents.get(agentId)
  }

  /** Views of all connected agents. */
  get views (): Iterable<AgentView> {
    return this.agents.values()
  }

  /** Returns the views of the agents of a service. */
  viewsOf (service: string): AgentView[] {
    return [...this.agents.values()].filter(view => view.service === service)
  }

  /** Returns the capacity of a service over all servers that are not draining. */
  capacityOf (service: string): ServiceCapacity {
    const sum: ServiceCapacity = { servers: 0, slots: 0, freeSlots: 0, busy: 0 }
    for (const view of this.agents.values()) {
      if (view.service !== service || view.draining) continue
      sum.servers++
      sum.slots += view.total.slots
      sum.busy += view.busy
      sum.freeSlots += Math.max(0, view.knownFreeSlots())
    }
    return sum
  }

  /**
   * Chooses agents for as many tasks of the request as fit, and counts them as sent. The caller must send them. If a
   * link fails, the agent reconnects with a new view, which drops the count.
   */
  choose (request: PlacementRequest, nowMs: number): Placement[] {
    const candidates = this.findCandidates(request, nowMs)
    for (let placed = 0; placed < request.count; placed++) {
      const best = this.pickBest(candidates, request.wanted.slots)
      if (best === undefined) break
      best.chosen++
      best.fittingTasks--
      best.expectedFreeSlots -= request.wanted.slots
    }
    return this.commit(candidates, request)
  }

  /** Returns why a required capacity fits no server of the service, or undefined if it fits one or no server is known. */
  explainUnplaceable (service: string, wanted: capacity.Capacity): string | undefined {
    const views = this.viewsOf(service).filter(view => view.total.slots > 0)
    if (views.length === 0) return undefined
    const shortages = views.map(view => capacity.findShortDimensions(view.total, wanted))
    if (shortages.some(short => short.length === 0)) return undefined
    const dimensions = [...new Set(shortages.flat())]
    const parts = dimensions.map(dimension => `${dimension} ${wanted[dimension]} (most ${Math.max(...views.map(view => view.total[dimension]))})`)
    return `no backend server of ${service} is large enough: wanted ${parts.join(', ')}`
  }

  private findCandidates (request: PlacementRequest, nowMs: number): Candidate[] {
    const meanOtherShare = this.meanOtherShare(request.service)
    const isOneSlot = capacity.isOneSlot(request.wanted)
    const candidates: Candidate[] = []
    for (const view of this.agents.values()) {
      if (!this.isEligible(view, request, nowMs)) continue
      const expectedFreeSlots = view.expectedFreeSlots(nowMs, meanOtherShare, this.options.reportHalfLifeMs)
      const usableSlots = request.isLong === true ? Math.min(expectedFreeSlots, view.knownFreeLongSlots()) : expectedFreeSlots
      const fittingBySlots = Math.floor((usableSlots + SLOT_TOLERANCE) / request.wanted.slots)
      const fittingTasks = isOneSlot ? fittingBySlots : Math.min(fittingBySlots, view.countFittingResources(request.wanted))
      if (fittingTasks >= 1) candidates.push({ view, fittingTasks: this.limitTrial(view, fittingTasks, nowMs), expectedFreeSlots, chosen: 0 })
    }
    return candidates
  }

  private isEligible (view: AgentView, request: PlacementRequest, nowMs: number): boolean {
    if (view.service !== request.service || view.draining) return false
    if (request.excludedAgentIds?.has(view.agentId) === true) return false
    return this.ejection.accepts(view.agentId, nowMs)
  }

  private limitTrial (view: AgentView, fittingTasks: number, nowMs: number): number {
    return this.ejection.isOnTrial(view.agentId, nowMs) ? Math.min(1, fittingTasks) : fittingTasks
  }

  private pickBest (candidates: readonly Candidate[], slots: number): Candidate | undefined {
    let best: Candidate | undefined
    let ties = 0
    for (const candidate of candidates) {
      if (candidate.fittingTasks < 1 || candidate.expectedFreeSlots + SLOT_TOLERANCE < slots) continue
      const order = best === undefined ? -1 : this.compare(candidate, best)
      if (order < 0) {
        best = candidate
        ties = 1
      } else if (order === 0 && this.winsTie(++ties)) best = candidate
    }
    return best
  }

  /** Returns a negative number if the left candidate is better. */
  private compare (left: Candidate, right: Candidate): number {
    const levels = loadLevel(right) - loadLevel(left)
    if (levels !== 0) return levels
    const domains = this.domainRank(left.view) - this.domainRank(right.view)
    if (domains !== 0) return domains
    return left.view.runningLong - right.view.runningLong
  }

  private domainRank (view: AgentView): number {
    return view.failureDomain === this.ownFailureDomain ? 0 : 1
  }

  private winsTie (ties: number): boolean {
    return prand.unsafeUniformIntDistribution(1, ties, this.random) === 1
  }

  private commit (candidates: readonly Candidate[], request: PlacementRequest): Placement[] {
    const placements: Placement[] = []
    for (const { view, chosen } of candidates) {
      if (chosen === 0) continue
      view.recordSent(chosen, request.wanted, request.isLong)
      this.ejection.recordSent(view.agentId)
      placements.push({ agentId: view.agentId, count: chosen })
    }
    return placements
  }

  /** Returns the share of the slots not used by this entry that other entries use, from 0 to 1, over all servers of a service. */
  private meanOtherShare (service: string): number {
    let sharedSlots = 0
    let otherSlots = 0
    for (const view of this.agents.values()) {
      if (view.service !== service || view.draining) continue
      sharedSlots += view.sharedSlots
      otherSlots += view.otherSlots
    }
    return sharedSlots === 0 ? 0 : otherSlots / sharedSlots
  }
}

function loadLevel (candidate: Candidate): number {
  return Math.floor(candidate.expectedFreeSlots / Math.max(1, candidate.view.total.slots) * LOAD_LEVELS)
}
