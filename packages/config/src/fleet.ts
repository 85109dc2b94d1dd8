/** Nodes known to one node, with the configuration versions that each has reported. */
import * as protocol from '@egretvalve/protocol'
import type * as settings from '@egretvalve/settings'

const { NodeState } = protocol.wire

/** Time for which a node that left as planned is still listed, in milliseconds. */
const LEFT_RETENTION_MS = 60_000
/** Time for which a node whose link broke is still listed, in milliseconds. */
const LOST_RETENTION_MS = 600_000

/** Identity of a node. Each run of its process has its own incarnation id; later ids sort after earlier ones. */
export interface NodeIdentity {
  nodeId: string
  incarnation: string
  kind: protocol.wire.NodeKind
  region: string
  failureDomain: string
}

/** Last known state of a node. */
export interface NodeRecord {
  identity: NodeIdentity
  state: protocol.wire.NodeState
  /** Versions that the node itself reported. */
  versions: Map<string, number>
  /** Time of the last message or state change, on the monotonic clock. */
  lastContactAtMs: number
  load: protocol.wire.ILoadReport | undefined
}

/** Tracks the nodes linked to this node. A later incarnation replaces an earlier one with the same node id. */
export class FleetView {
  private readonly nodes = new Map<string, NodeRecord>()

  constructor (private readonly timers: settings.Timers) {}

  /** Adds a node at the start of a link; an incarnation older than the known one is ignored. */
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
      lastContactAtMs: this.timers.nowMs(),
      load: undefined
    }
    this.nodes.set(identity.nodeId, record)
    raiseVersions(record.versions, versions)
  }

  /** Records the versions that a node reported. */
  reportVersions (identity: NodeIdentity, versions: readonly protocol.wire.ITeamVersion[]): void {
    const record = this.find(identity)
    if (record === undefined) return
    record.lastContactAtMs = this.timers.nowMs()
    raiseVersions(record.versions, versions)
  }

  /** Records contact with a node and, if given, its load report, which also sets whether the node is draining. */
  recordContact (identity: NodeIdentity, load?: protocol.wire.ILoadReport): void {
    const record = this.find(identity)
    if (record === undefined) return
    record.lastContactAtMs = this.timers.nowMs()
    if (load === undefined) return
    record.load = load
    record.state = load.draining === true ? NodeState.NODE_STATE_DRAINING : NodeState.NODE_STATE_JOINED
  }

  /** Records the state of a node. */
  setState (identity: NodeIdentity, state: protocol.wire.NodeState): void {
    const record = this.find(identity)
    if (record === undefined) return
    record.state = state
    record.lastContactAtMs = this.timers.nowMs()
  }

  /** Lists the nodes sorted by id, after removing those that left or were lost longer ago than their retention time. */
  list (): NodeRecord[] {
    for (const [nodeId, record] of this.nodes) {
      if (this.isExpired(record)) this.nodes.delete(nodeId)
    }
    return [...this.nodes.values()].sort((left, right) => left.identity.nodeId < right.identity.nodeId ? -1 : 1)
  }

  private find (identity: NodeIdentity): NodeRecord | undefined {
    const record = this.nodes.get(identity.nodeId)
    return record?.identity.incarnation === identity.incarnation ? record : undefined
  }

  private isExpired (record: NodeRecord): boolean {
    const sinceContactMs = this.timers.nowMs() - record.lastContactAtMs
    switch (record.state) {
      case NodeState.NODE_STATE_JOINED: return false
      case NodeState.NODE_STATE_DRAINING: return false
      case NodeState.NODE_STATE_LEFT: return sinceContactMs > LEFT_RETENTION_MS
      case NodeState.NODE_STATE_LOST: return sinceContactMs > LOST_RETENTION_MS
      default: return protocol.assertNever(record.state)
    }
  }
}

/** Raises the versions in a map to the reported ones; lower versions and incomplete items are ignored. */
export function raiseVersions (known: Map<string, number>, versions: readonly protocol.wire.ITeamVersion[]): void {
  for (const { team, version } of versions) {
    if (typeof team !== 'string' || typeof version !== 'number') continue
    if (version > (known.get(team) ?? 0)) known.set(team, version)
  }
}
