/** The nodes that one entry has heard of, with the configuration versions that each reported. */
import * as protocol from '@egretvalve/protocol'
import type * as settings from '@egretvalve/settings'

const { NodeState } = protocol.wire

/** Time for which a node that left as planned stays listed, in milliseconds. */
const LEFT_RETENTION_MS = 60_000
/** Time for which a node whose link broke stays listed, in milliseconds. */
const LOST_RETENTION_MS = 600_000

/** Who a node is. An incarnation is one life of a process; ids of later lives sort after earlier ones. */
export interface NodeIdentity {
  nodeId: string
  incarnation: string
  kind: protocol.wire.NodeKind
  region: string
  failureDomain: string
}

/** What is known of a node. */
export interface NodeRecord {
  identity: NodeIdentity
  state: protocol.wire.NodeState
  /** Versions that the node reported by itself. */
  versions: Map<string, number>
  heardAtMs: number
  load: protocol.wire.ILoadReport | undefined
}

/** Keeps the nodes that report to this entry. A later incarnation replaces an earlier one with the same id. */
export class FleetView {
  private readonly nodes = new Map<string, NodeRecord>()

  constructor (private readonly timers: settings.Timers) {}

  /** Adds a node that opened or accepted a link. */
  join (identity: NodeIdentity, versions: readonly protocol.wire.ITeamVersion[]): void {
    const known = this.nodes.get(identity.nodeId)
    if (known !== undefined && known.identity.incarnation > identity.incarnation) return
    if (known?.identity.incarnation === identity.incarnation) {
      this.setState(identity, NodeState.NODE_STATE_JOINED)
      raiseVersions(known.versions, versions)
      return
    }
    const record: NodeRecord = {
      identity,
      state: NodeState.NODE_STATE_JOINED,
      versions: new Map(),
      heardAtMs: this.timers.nowMs(),
      load: undefined
    }
    this.nodes.set(identity.nodeId, record)
    raiseVersions(record.versions, versions)
  }

  /** Notes the versions that a node reported. */
  reportVersions (identity: NodeIdentity, versions: readonly protocol.wire.ITeamVersion[]): void {
    const record = this.find(identity)
    if (record === undefined) return
    record.heardAtMs = this.timers.nowMs()
    raiseVersions(record.versions, versions)
  }

  /** Notes a sign of life and, if the node sent one, its load. */
  hear (identity: NodeIdentity, load?: protocol.wire.ILoadReport): void {
    const record = this.find(identity)
    if (record === undefined) return
    record.heardAtMs = this.timers.nowMs()
    if (load === undefined) return
    record.load = load
    record.state = load.draining === true ? NodeState.NODE_STATE_DRAINING : NodeState.NODE_STATE_JOINED
  }

  /** Notes that a node drains, left as planned or was lost. */
  setState (identity: NodeIdentity, state: protocol.wire.NodeState): void {
    const record = this.find(identity)
    if (record === undefined) return
    record.state = state
    record.heardAtMs = this.timers.nowMs()
  }

  /** Lists the nodes in order of their ids and forgets those that have gone for long. */
  list (): NodeRecord[] {
    for (const [nodeId, record] of this.nodes) {
      if (this.isForgotten(record)) this.nodes.delete(nodeId)
    }
    return [...this.nodes.values()].sort((left, right) => left.identity.nodeId < right.identity.nodeId ? -1 : 1)
  }

  private find (identity: NodeIdentity): NodeRecord | undefined {
    const record = this.nodes.get(identity.nodeId)
    return record?.identity.incarnation === identity.incarnation ? record : undefined
  }

  private isForgotten (record: NodeRecord): boolean {
    const silentMs = this.timers.nowMs() - record.heardAtMs
    switch (record.state) {
      case NodeState.NODE_STATE_JOINED: return false
      case NodeState.NODE_STATE_DRAINING: return false
      case NodeState.NODE_STATE_LEFT: return silentMs > LEFT_RETENTION_MS
      case NodeState.NODE_STATE_LOST: return silentMs > LOST_RETENTION_MS
      default: return protocol.assertNever(record.state)
    }
  }
}

/** Raises versions in a map; none goes down. */
export function raiseVersions (known: Map<string, number>, versions: readonly protocol.wire.ITeamVersion[]): void {
  for (const { team, version } of versions) {
    if (typeof team !== 'string' || typeof version !== 'number') continue
    if (version > (known.get(team) ?? 0)) known.set(team, version)
  }
}
