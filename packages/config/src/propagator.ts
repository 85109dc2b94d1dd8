/** Propagates accepted configuration between nodes and collects which node holds which version. */
import * as protocol from '@egretvalve/protocol'
import type * as settings from '@egretvalve/settings'
import { digestText } from './canonical.ts'
import type { ConfigChannel } from './channel.ts'
import { FleetReporter } from './fleetReport.ts'
import { FleetView, type NodeIdentity } from './fleet.ts'
import { ConfigSource, type AcceptedConfig, type ConfigRegistry } from './registry.ts'
import { ConfigSession, type SessionHandlers } from './session.ts'

const { NodeKind, NodeState } = protocol.wire

/** Delay before a missing version is requested from another node, in milliseconds. An entry's own watch usually delivers it sooner. */
const REQUEST_DELAY_MS = 200
/** Time after which a version that has not arrived is requested from another node, in milliseconds. */
const REQUEST_RETRY_MS = 1_000
/**
 * Window over which the entries linked to an agent stagger their pushes, in milliseconds. The first entry sends the
 * document; the others skip it once the agent has reported the version.
 */
const PUSH_WINDOW_MS = 200
/** Number of time slots in the push window. */
const PUSH_TIME_SLOTS = 20
/** Number of hexadecimal digits of the digest from which the time slot is computed. */
const SLOT_DIGITS = 8

/** Dependencies of the propagator. */
export interface PropagatorServices {
  timers: settings.Timers
  log: settings.Log
}

interface PendingRequest {
  version: number
  requestedAtMs: number
  session: ConfigSession
}

/**
 * Exchanges configuration with linked nodes; runs on entries and agents. An entry pushes each new version to its agents,
 * and to the other entries if it accepted the operator's change itself. Otherwise nodes report their version numbers to
 * each other and request the documents that they lack.
 */
export class ConfigPropagator {
  readonly fleet: FleetView
  private readonly sessions = new Set<ConfigSession>()
  private readonly pendingRequests = new Map<string, PendingRequest>()
  private readonly reporter: FleetReporter
  private requestTimer: settings.TimerHandle | undefined
  private readonly unsubscribe: () => void
  private readonly pendingPushes = new Set<settings.TimerHandle>()

  constructor (
    private readonly self: NodeIdentity,
    private readonly registry: ConfigRegistry,
    private readonly services: PropagatorServices
  ) {
    this.fleet = new FleetView(services.timers)
    this.reporter = new FleetReporter(self, registry, this.fleet, services.timers)
    this.unsubscribe = registry.subscribe(config => { this.propagate(config) })
  }

  /** Stops propagation. Sessions stay open; the links that own them detach them. */
  stop (): void {
    this.unsubscribe()
    this.requestTimer?.cancel()
    this.requestTimer = undefined
    for (const push of this.pendingPushes) push.cancel()
    this.pendingPushes.clear()
  }

  /** Opens a session with a node. `versions` are the versions in the node's hello. */
  attach (remote: NodeIdentity, channel: ConfigChannel, versions: readonly protocol.wire.ITeamVersion[]): ConfigSession {
    const session = new ConfigSession(remote, channel, this.registry, this.createHandlers())
    this.sessions.add(session)
    this.fleet.join(remote, versions)
    session.recordVersions(versions)
    this.scheduleRequests()
    this.sendMissing(session)
    return session
  }

  /** Sends a version that this entry accepted to the entries not known to hold it, without waiting for their requests. */
  pushToEntries (config: AcceptedConfig): void {
    for (const session of this.listRemotes()) {
      const isEntry = session.remote.kind === NodeKind.NODE_KIND_ENTRY
      if (isEntry && !session.holds(config.team, config.version)) session.sendConfigs([config])
    }
  }

  /** Collects the fleet reports of all entries that answer within the timeout; this node's own report comes first. */
  async collectFleet (timeoutMs: number): Promise<protocol.wire.IFleetVersions[]> {
    const peers = this.listRemotes().filter(session => session.remote.kind === NodeKind.NODE_KIND_ENTRY)
    return await this.reporter.collect(peers, timeoutMs)
  }

  /** True if a linked node holds a higher version of some team than this node. */
  get isBehind (): boolean {
    return this.listMissing().length > 0
  }

  private createHandlers (): SessionHandlers {
    return {
      handleVersions: (session, versions) => {
        this.fleet.reportVersions(session.remote, versions)
        this.scheduleRequests()
      },
      handleDelta: (session, delta) => { this.applyDelta(session, delta) },
      handleFleet: (session, fleet) => { this.reporter.handle(session, fleet) },
      handleDetach: (session, planned) => {
        this.sessions.delete(session)
        const isStillLinked = this.listRemotes().some(other => other.remote.incarnation === session.remote.incarnation)
        if (!isStillLinked) this.fleet.setState(session.remote, planned ? NodeState.NODE_STATE_LEFT : NodeState.NODE_STATE_LOST)
        this.scheduleRequests()
      }
    }
  }

  private applyDelta (session: ConfigSession, delta: protocol.wire.IConfigDelta): void {
    const source = session.remote.kind === NodeKind.NODE_KIND_AGENT ? ConfigSource.Agent : ConfigSource.Entry
    const versions = (delta.teams ?? []).map(({ team, version }) => ({ team, version }))
    this.fleet.reportVersions(session.remote, versions)
    const changed = this.registry.offerDelta(delta, source)
    if (changed.length < versions.length) session.sendVersions({ versions: this.versionsOf(versions) })
    this.scheduleRequests()
  }

  /** Lists one session per linked node; two entries may be linked by a stream in each direction. */
  private listRemotes (): ConfigSession[] {
    const remotes = new Map<string, ConfigSession>()
    for (const session of this.sessions) remotes.set(session.remote.incarnation, session)
    return [...remotes.values()]
  }

  private versionsOf (versions: readonly protocol.wire.ITeamVersion[]): protocol.wire.ITeamVersion[] {
    return versions.map(({ team }) => ({ team, version: this.registry.versionOf(team ?? '') }))
  }

  /** Announces a version that came into force on this node to the linked entries and schedules its push to the agents. */
  private propagate (config: AcceptedConfig): void {
    this.pendingRequests.delete(config.team)
    const notice: protocol.wire.IConfigVersions = { versions: [{ team: config.team, version: config.version }] }
    const sessionsBySlot = new Map<number, ConfigSession[]>()
    for (const session of this.listRemotes()) {
      if (session.remote.kind === NodeKind.NODE_KIND_ENTRY) session.sendVersions(notice)
      else addToTimeSlot(sessionsBySlot, resolveTimeSlot(this.self, session.remote, config), session)
    }
    for (const [slot, sessions] of sessionsBySlot) this.schedulePush(slot, sessions, config)
  }

  /** Sends a document to agents in a time slot, unless an agent already holds it or a later version came into force. */
  private schedulePush (slot: number, sessions: readonly ConfigSession[], config: AcceptedConfig): void {
    const push = this.services.timers.after(slot * PUSH_WINDOW_MS / PUSH_TIME_SLOTS, () => {
      this.pendingPushes.delete(push)
      if (this.registry.versionOf(config.team) !== config.version) return
      for (const session of sessions) {
        if (!session.holds(config.team, config.version)) session.sendConfigs([config])
      }
    })
    this.pendingPushes.add(push)
  }

  /** Sends agents the documents that they lack, and entries the version numbers, which may have changed since this node's hello. */
  private sendMissing (session: ConfigSession): void {
    const missing = this.registry.list().filter(config => !session.holds(config.team, config.version))
    if (missing.length === 0) return
    if (session.remote.kind === NodeKind.NODE_KIND_AGENT) session.sendConfigs(missing)
    else session.sendVersions({ versions: missing.map(({ team, version }) => ({ team, version })) })
  }

  private listMissing (): protocol.wire.ITeamVersion[] {
    const highest = new Map<string, number>()
    for (const session of this.sessions) {
      for (const [team, version] of session.knownVersions) highest.set(team, Math.max(version, highest.get(team) ?? 0))
    }
    return [...highest]
      .filter(([team, version]) => version > this.registry.versionOf(team))
      .map(([team, version]) => ({ team, version }))
  }

  private scheduleRequests (): void {
    if (this.requestTimer !== undefined || !this.isBehind) return
    this.requestTimer = this.services.timers.after(REQUEST_DELAY_MS, () => {
      this.requestTimer = undefined
      this.requestMissing()
      this.scheduleRequests()
    })
  }

  /** Requests each missing version from one node, and from another node after `REQUEST_RETRY_MS`. */
  private requestMissing (): void {
    const requests = new Map<ConfigSession, protocol.wire.ITeamVersion[]>()
    for (const { team, version } of this.listMissing()) {
      const session = this.selectHolder(team ?? '', version ?? 0)
      if (session === undefined) continue
      requests.set(session, [...requests.get(session) ?? [], { team, version }])
    }
    for (const [session, versions] of requests) session.sendWant(versions)
  }

  private selectHolder (team: string, version: number): ConfigSession | undefined {
    const nowMs = this.services.timers.nowMs()
    const pending = this.pendingRequests.get(team)
    const isWaiting = pending !== undefined && pending.version >= version && nowMs - pending.requestedAtMs < REQUEST_RETRY_MS
    if (isWaiting && this.sessions.has(pending.session)) return undefined
    const holders = [...this.sessions].filter(session => session.holds(team, version))
    const holder = holders.find(session => session !== pending?.session) ?? holders[0]
    if (holder !== undefined) this.pendingRequests.set(team, { version, requestedAtMs: nowMs, session: holder })
    return holder
  }
}

/** Returns the time slot in which an entry pushes a version to an agent; it usually differs between the agent's entries. */
function resolveTimeSlot (self: NodeIdentity, remote: NodeIdentity, config: AcceptedConfig): number {
  const digest = digestText(`${self.nodeId} ${remote.nodeId} ${config.team} ${config.version}`)
  return Number.parseInt(digest.slice(0, SLOT_DIGITS), 16) % PUSH_TIME_SLOTS
}

function addToTimeSlot (sessionsBySlot: Map<number, ConfigSession[]>, slot: number, session: ConfigSession): void {
  const sessions = sessionsBySlot.get(slot)
  if (sessions === undefined) sessionsBySlot.set(slot, [session])
  else sessions.push(session)
}
