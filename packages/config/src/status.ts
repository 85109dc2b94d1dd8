/** Fleet status for operators, merged from the reports of the entries. */
import * as protocol from '@egretvalve/protocol'

const { NodeKind, NodeState } = protocol.wire

/** Node kind in the fleet status. */
export enum NodeRole {
  Entry = 'entry',
  Agent = 'agent',
  Unknown = 'unknown'
}

/** Node state in the fleet status. */
export enum NodeCondition {
  Joined = 'joined',
  Draining = 'draining',
  Left = 'left',
  Lost = 'lost'
}

/** Status of one node. */
export interface NodeStatus {
  nodeId: string
  incarnation: string
  role: NodeRole
  condition: NodeCondition
  region: string
  failureDomain: string
  /** Time since the reporting entry's last contact with the node, in milliseconds. */
  silentMs: number
  versions: Record<string, number>
  service: string
  freeSlots: number
  running: number
  queued: number
}

/** Rollout of a team's version in one failure domain, counted in present nodes. */
export interface DomainStatus {
  failureDomain: string
  nodes: number
  nodesInForce: number
}

/** Rollout of a team's highest reported version. */
export interface TeamStatus {
  team: string
  version: number
  /** True if every joined or draining node has reported the version. */
  inForceEverywhere: boolean
  domains: DomainStatus[]
  /** Ids of the present nodes that have not reported the version. */
  lagging: string[]
}

/** Status of the whole fleet. */
export interface FleetStatus {
  nodes: NodeStatus[]
  teams: TeamStatus[]
  /** Ids of the joined or draining entries whose report did not arrive in time. */
  silentEntries: string[]
}

/** Merges the entries' reports. Of two reports on one node, the later incarnation wins, then presence, then the more recent contact. */
export function createFleetStatus (reports: readonly protocol.wire.IFleetVersions[]): FleetStatus {
  const nodes = new Map<string, NodeStatus>()
  const reporters = new Set<string>()
  for (const report of reports) {
    const [own, ...others] = (report.nodes ?? []).map(node => createNodeStatus(node))
    if (own === undefined) continue
    reporters.add(own.nodeId)
    nodes.set(own.nodeId, chooseStatus(nodes.get(own.nodeId), own))
    for (const other of others) {
      const complete = { ...other, versions: { ...own.versions, ...other.versions } }
      nodes.set(other.nodeId, chooseStatus(nodes.get(other.nodeId), complete))
    }
  }
  const list = [...nodes.values()].sort((left, right) => left.nodeId < right.nodeId ? -1 : 1)
  const silentEntries = list.filter(node => node.role === NodeRole.Entry && isPresent(node) && !reporters.has(node.nodeId)).map(node => node.nodeId)
  return { nodes: list, teams: createTeamStatuses(list), silentEntries }
}

function chooseStatus (known: NodeStatus | undefined, candidate: NodeStatus): NodeStatus {
  if (known === undefined || candidate.incarnation > known.incarnation) return candidate
  if (candidate.incarnation < known.incarnation) return known
  const isPreferred = isPresent(candidate) === isPresent(known) ? candidate.silentMs < known.silentMs : isPresent(candidate)
  const chosen = isPreferred ? candidate : known
  return { ...chosen, versions: mergeVersions(known.versions, candidate.versions) }
}

/** Takes the higher version of each team. Versions on a node only rise, so of two reports on it the higher one is current. */
function mergeVersions (left: Record<string, number>, right: Record<string, number>): Record<string, number> {
  const merged = { ...left }
  for (const [team, version] of Object.entries(right)) merged[team] = Math.max(version, merged[team] ?? 0)
  return merged
}

function createTeamStatuses (nodes: readonly NodeStatus[]): TeamStatus[] {
  const present = nodes.filter(isPresent)
  const highest = present.reduce((merged, node) => mergeVersions(merged, node.versions), {} as Record<string, number>)
  return Object.entries(highest).sort(([left], [right]) => left < right ? -1 : 1).map(([team, version]) => createTeamStatus(team, version, present))
}

function createTeamStatus (team: string, version: number, nodes: readonly NodeStatus[]): TeamStatus {
  const lagging = nodes.filter(node => (node.versions[team] ?? 0) < version).map(node => node.nodeId)
  const names = [...new Set(nodes.map(node => node.failureDomain))].sort()
  const domains = names.map(failureDomain => {
    const members = nodes.filter(node => node.failureDomain === failureDomain)
    const nodesInForce = members.filter(node => (node.versions[team] ?? 0) >= version).length
    return { failureDomain, nodes: members.length, nodesInForce }
  })
  return { team, version, inForceEverywhere: lagging.length === 0, domains, lagging }
}

/** True if the node is joined or draining. */
export function isPresent (node: NodeStatus): boolean {
  return node.condition === NodeCondition.Joined || node.condition === NodeCondition.Draining
}

function createNodeStatus (node: protocol.wire.IConfigVersions): NodeStatus {
  return {
    nodeId: node.nodeId ?? '',
    incarnation: node.incarnation ?? '',
    role: describeKind(node.kind ?? NodeKind.NODE_KIND_UNKNOWN),
    condition: describeState(node.state ?? NodeState.NODE_STATE_JOINED),
    region: node.region ?? '',
    failureDomain: node.failureDomain ?? '',
    silentMs: Math.round(node.silentMs ?? 0),
    versions: Object.fromEntries((node.versions ?? []).map(({ team, version }) => [team ?? '', version ?? 0])),
    service: node.load?.service ?? '',
    freeSlots: node.load?.freeSlots ?? 0,
    running: node.load?.running ?? 0,
    queued: node.load?.queued ?? 0
  }
}

function describeKind (kind: protocol.wire.NodeKind): NodeRole {
  switch (kind) {
    case NodeKind.NODE_KIND_ENTRY: return NodeRole.Entry
    case NodeKind.NODE_KIND_AGENT: return NodeRole.Agent
    case NodeKind.NODE_KIND_UNKNOWN: return NodeRole.Unknown
    default: return protocol.assertNever(kind)
  }
}

function describeState (state: protocol.wire.NodeState): NodeCondition {
  switch (state) {
    case NodeState.NODE_STATE_JOINED: return NodeCondition.Joined
    case NodeState.NODE_STATE_DRAINING: return NodeCondition.Draining
    case NodeState.NODE_STATE_LEFT: return NodeCondition.Left
    case NodeState.NODE_STATE_LOST: return NodeCondition.Lost
    default: return protocol.assertNever(state)
  }
}
