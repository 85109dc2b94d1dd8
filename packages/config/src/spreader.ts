/** Spreads accepted configuration between nodes and gathers which node holds which version. */
import * as protocol from '@egretvalve/protocol'
import type * as settings from '@egretvalve/settings'
import { digestText } from './canonical.ts'
import type { ConfigChannel } from './channel.ts'
import { FleetReporter } from './fleetReport.ts'
import { FleetView, type NodeIdentity } from './fleet.ts'
import { ConfigSource, type AcceptedConfig, type ConfigRegistry } from './registry.ts'
import { ConfigSession, type SessionHandlers } from './session.ts'

const { NodeKind, NodeState } = protocol.wire

/** Time in which an entry's own watch usually brings a version, before the entry asks another node for it; milliseconds. */
const WANT_DELAY_MS = 200
/** Time after which another node is asked for a version that did not come, in milliseconds. */
const WANT_RETRY_MS = 1_000
/** Time over which the entries of one agent spread their sending, so that one sends and the others see its report; milliseconds. */
const PUSH_SPREAD_MS = 200
/** Number of moments within that time. */
const PUSH_SLOTS = 20
/** Hexadecimal digits of a digest that choose the moment. */
const SLOT_DIGITS = 8

/** What the spreader needs. */
export interface SpreaderServices {
  timers: settings.Timers
  log: settings.Log
}

interface PendingWant {
  version: number
  askedAtMs: number
  asked: ConfigSession
}

/**
 * Runs on entries and agents. An entry sends each new version to its agents, and to the other entries if it accepted the
 * operator's change itself; otherwise nodes tell each other versions and ask for the documents that they lack.
 */
export class ConfigSpreader {
  readonly fleet: FleetView
  private readonly sessions = new Set<ConfigSession>()
  private readonly wants = new Map<string, PendingWant>()
  private readonly reporter: FleetReporter
  private wantTimer: settings.TimerHandle | undefined
  private readonly unsubscribe: () => void
  private readonly pushes = new Set<settings.TimerHandle>()

  constructor (
    private readonly self: NodeIdentity,
    private readonly registry: ConfigRegistry,
    private readonly services: SpreaderServices
  ) {
    this.fleet = new FleetView(services.timers)
    this.reporter = new FleetReporter(self, registry, this.fleet, services.timers)
    this.unsubscribe = registry.subscribe(config => { this.spread(config) })
  }

  /** Ends the spreading; sessions are left to their links. */
  stop (): void {
    this.unsubscribe()
    this.wantTimer?.cancel()
    this.wantTimer = undefined
    for (const push of this.pushes) push.cancel()
    this.pushes.clear()
  }

  /** Begins the exchange with a node whose hello carried the versions given. */
  attach (remote: NodeIdentity, channel: ConfigChannel, versions: readonly protocol.wire.ITeamVersion[]): ConfigSession {
    const session = new ConfigSession(remote, channel, this.registry, this.createHandlers())
    this.sessions.add(session)
    this.fleet.join(remote, versions)
    session.noteVersions(versions)
    this.planWants()
    this.tellMissing(session)
    return session
  }

  /** Sends a version that was accepted here to the entries that may lack it, without waiting until they ask. */
  pushToEntries (config: AcceptedConfig): void {
    for (const session of this.listRemotes()) {
      const isEntry = session.remote.kind === NodeKind.NODE_KIND_ENTRY
      if (isEntry && !session.holds(config.team, config.version)) session.sendConfigs([config])
    }
  }

  /** Gathers the reports of all entries that answer within the time given. */
  async collectFleet (timeoutMs: number): Promise<protocol.wire.IFleetVersions[]> {
    const peers = this.listRemotes().filter(session => session.remote.kind === NodeKind.NODE_KIND_ENTRY)
    return await this.reporter.collect(peers, timeoutMs)
  }

  /** True if some connected node holds a version that this node lacks. */
  get isBehind (): boolean {
    return this.listMissing().length > 0
  }

  private createHandlers (): SessionHandlers {
    return {
      handleVersions: (session, versions) => {
        this.fleet.reportVersions(session.remote, versions)
        this.planWants()
      },
      handleDelta: (session, delta) => { this.takeDelta(session, delta) },
      handleFleet: (session, fleet) => { this.reporter.handle(session, fleet) },
      handleDetach: (session, planned) => {
        this.sessions.delete(session)
        const isStillLinked = this.listRemotes().some(other => other.remote.incarnation === session.remote.incarnation)
        if (!isStillLinked) this.fleet.setState(session.remote, planned ? NodeState.NODE_STATE_LEFT : NodeState.NODE_STATE_LOST)
        this.planWants()
      }
    }
  }

  private takeDelta (session: ConfigSession, delta: protocol.wire.IConfigDelta): void {
    const source = session.remote.kind === NodeKind.NODE_KIND_AGENT ? ConfigSource.Agent : ConfigSource.Entry
    const versions = (delta.teams ?? []).map(({ team, version }) => ({ team, version }))
    this.fleet.reportVersions(session.remote, versions)
    const changed = this.registry.offerDelta(delta, source)
    if (changed.length < versions.length) session.sendVersions({ versions: this.versionsOf(versions) })
    this.planWants()
  }

  /** Lists one session for each linked node: two entries may be linked by a stream in each direction. */
  private listRemotes (): ConfigSession[] {
    const remotes = new Map<string, ConfigSession>()
    for (const session of this.sessions) remotes.set(session.remote.incarnation, session)
    return [...remotes.values()]
  }

  private versionsOf (versions: readonly protocol.wire.ITeamVersion[]): protocol.wire.ITeamVersion[] {
    return versions.map(({ team }) => ({ team, version: this.registry.versionOf(team ?? '') }))
  }

  /** Passes a version that came into force here on to the linked nodes that may lack it. */
  private spread (config: AcceptedConfig): void {
    this.wants.delete(config.team)
    const notice: protocol.wire.IConfigVersions = { versions: [{ team: config.team, version: config.version }] }
    const slots = new Map<number, ConfigSession[]>()
    for (const session of this.listRemotes()) {
      if (session.remote.kind === NodeKind.NODE_KIND_ENTRY) session.sendVersions(notice)
      else addToSlot(slots, resolveSlot(this.self, session.remote, config), session)
    }
    for (const [slot, sessions] of slots) this.planPush(slot, sessions, config)
  }

  /** Sends a document to agents at a moment of its own, unless another entry was faster or a later version came. */
  private planPush (slot: number, sessions: readonly ConfigSession[], config: AcceptedConfig): void {
    const push = this.services.timers.after(slot * PUSH_SPREAD_MS / PUSH_SLOTS, () => {
      this.pushes.delete(push)
      if (this.registry.versionOf(config.team) !== config.version) return
      for (const session of sessions) {
        if (!session.holds(config.team, config.version)) session.sendConfigs([config])
      }
    })
    this.pushes.add(push)
  }

  /** Agents get the documents that they lack; entries get the versions, which may have changed since this node's hello. */
  private tellMissing (session: ConfigSession): void {
    const missing = this.registry.list().filter(config => !session.holds(config.team, config.version))
    if (missing.length === 0) return
    if (session.remote.kind === NodeKind.NODE_KIND_AGENT) session.sendConfigs(missing)
    else session.sendVersions({ versions: missing.map(({ team, version }) => ({ team, version })) })
  }

  private listMissing (): protocol.wire.ITeamVersion[] {
    const highest = new Map<string, number>()
    for (const session of this.sessions) {
      for (const [team, version] of session.known) highest.set(team, Math.max(version, highest.get(team) ?? 0))
    }
    return [...highest]
      .filter(([team, version]) => version > this.registry.versionOf(team))
      .map(([team, version]) => ({ team, version }))
  }

  private planWants (): void {
    if (this.wantTimer !== undefined || !this.isBehind) return
    this.wantTimer = this.services.timers.after(WANT_DELAY_MS, () => {
      this.wantTimer = undefined
      this.askForMissing()
      this.planWants()
    })
  }

  /** Asks one node for each missing version, and another if the first does not answer. */
  private askForMissing (): void {
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
    const pending = this.wants.get(team)
    const isWaiting = pending !== undefined && pending.version >= version && nowMs - pending.askedAtMs < WANT_RETRY_MS
    if (isWaiting && this.sessions.has(pending.asked)) return undefined
    const holders = [...this.sessions].filter(session => session.holds(team, version))
    const holder = holders.find(session => session !== pending?.asked) ?? holders[0]
    if (holder !== undefined) this.wants.set(team, { version, askedAtMs: nowMs, asked: holder })
    return holder
  }
}

/** Chooses the moment at which an entry sends a version to an agent; it differs between the agent's entries. */
function resolveSlot (self: NodeIdentity, remote: NodeIdentity, config: AcceptedConfig): number {
  const digest = digestText(`${self.nodeId} ${remote.nodeId} ${config.team} ${config.version}`)
  return Number.parseInt(digest.slice(0, SLOT_DIGITS), 16) % PUSH_SLOTS
}

function addToSlot (slots: Map<number, ConfigSession[]>, slot: number, session: ConfigSession): void {
  const sessions = slots.get(slot)
  if (sessions === undefined) slots.set(slot, [session])
  else sessions.push(session)
}
