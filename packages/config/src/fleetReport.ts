/** Fleet reports that entries request from each other. */
import * as protocol from '@egretvalve/protocol'
import type * as settings from '@egretvalve/settings'
import type { FleetView, NodeIdentity, NodeRecord } from './fleet.ts'
import type { ConfigRegistry } from './registry.ts'
import type { ConfigSession } from './session.ts'

interface Collection {
  reports: protocol.wire.IFleetVersions[]
  pendingReports: number
  complete: () => void
}

/** Requests fleet reports from other entries and answers their requests. */
export class FleetReporter {
  private nextRequestId = 1
  private readonly collections = new Map<number, Collection>()

  constructor (
    private readonly self: NodeIdentity,
    private readonly registry: ConfigRegistry,
    private readonly fleet: FleetView,
    private readonly timers: settings.Timers
  ) {}

  /** Creates this entry's report: the entry itself with all versions, then the nodes it knows with the versions that differ from its own. */
  createReport (requestId: number): protocol.wire.IFleetVersions {
    const own = createNode(this.self, protocol.wire.NodeState.NODE_STATE_JOINED, this.registry.versions(), 0)
    const nodes = this.fleet.list().map(record => this.describe(record))
    return { nodes: [own, ...nodes], ask: false, requestId }
  }

  /** Answers a request, or adds a report to the collection that requested it. Reports that arrive after the timeout are dropped. */
  handle (session: ConfigSession, fleet: protocol.wire.IFleetVersions): void {
    const requestId = fleet.requestId ?? 0
    if (fleet.ask === true) {
      session.sendFleet(this.createReport(requestId))
      return
    }
    const collection = this.collections.get(requestId)
    if (collection === undefined) return
    collection.reports.push(fleet)
    collection.pendingReports--
    if (collection.pendingReports === 0) collection.complete()
  }

  /** Collects the reports of the peers that answer within the timeout; this entry's own report comes first. */
  async collect (peers: readonly ConfigSession[], timeoutMs: number): Promise<protocol.wire.IFleetVersions[]> {
    const requestId = this.nextRequestId++
    const own = this.createReport(requestId)
    if (peers.length === 0) return [own]
    const stop = new AbortController()
    const collection: Collection = { reports: [own], pendingReports: peers.length, complete: () => { stop.abort() } }
    this.collections.set(requestId, collection)
    for (const peer of peers) peer.sendFleet({ ask: true, requestId })
    await this.timers.sleep(timeoutMs, stop.signal)
    this.collections.delete(requestId)
    return collection.reports
  }

  private describe (record: NodeRecord): protocol.wire.IConfigVersions {
    const teams = new Set([...record.versions.keys(), ...this.registry.list().map(config => config.team)])
    const versions = [...teams]
      .map(team => ({ team, version: record.versions.get(team) ?? 0 }))
      .filter(({ team, version }) => version !== this.registry.versionOf(team))
    const silentMs = this.timers.nowMs() - record.lastContactAtMs
    return { ...createNode(record.identity, record.state, versions, silentMs), load: record.load }
  }
}

function createNode (identity: NodeIdentity, state: protocol.wire.NodeState, versions: protocol.wire.ITeamVersion[], silentMs: number): protocol.wire.IConfigVersions {
  return { ...identity, state, versions, silentMs }
}
