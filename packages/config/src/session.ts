/** One link over which a node exchanges configuration. */
import type * as protocol from '@egretvalve/protocol'
import type { ConfigChannel } from './channel.ts'
import { raiseVersions, type NodeIdentity } from './fleet.ts'
import { createDelta, type AcceptedConfig, type ConfigRegistry } from './registry.ts'

/** Largest sum of documents in one message, in characters. */
const MAX_DELTA_LENGTH = 512 * 1024

/** What the owner of a session does with what arrives. */
export interface SessionHandlers {
  handleVersions: (session: ConfigSession, versions: readonly protocol.wire.ITeamVersion[]) => void
  handleDelta: (session: ConfigSession, delta: protocol.wire.IConfigDelta) => void
  handleFleet: (session: ConfigSession, fleet: protocol.wire.IFleetVersions) => void
  handleDetach: (session: ConfigSession, planned: boolean) => void
}

/** The exchange with one node for as long as its link lasts. */
export class ConfigSession {
  /** Versions that the other node is known to hold. */
  readonly known = new Map<string, number>()
  private isOpen = true

  constructor (
    readonly remote: NodeIdentity,
    private readonly channel: ConfigChannel,
    private readonly registry: ConfigRegistry,
    private readonly handlers: SessionHandlers
  ) {}

  /** Takes the versions that the other node holds. */
  handleVersions (message: protocol.wire.IConfigVersions): void {
    this.noteVersions(message.versions ?? [])
    this.handlers.handleVersions(this, message.versions ?? [])
  }

  /** Takes documents. */
  handleDelta (delta: protocol.wire.IConfigDelta): void {
    this.noteVersions((delta.teams ?? []).map(({ team, version }) => ({ team, version })))
    this.handlers.handleDelta(this, delta)
  }

  /** Answers a request for documents. */
  handleWant (want: protocol.wire.IConfigVersions): void {
    const configs: AcceptedConfig[] = []
    for (const { team, version } of want.versions ?? []) {
      const config = this.registry.get(team ?? '')
      if (config !== undefined && config.version >= (version ?? 0)) configs.push(config)
    }
    this.sendConfigs(configs)
  }

  /** Takes a fleet report or a request for one. */
  handleFleet (fleet: protocol.wire.IFleetVersions): void {
    this.handlers.handleFleet(this, fleet)
  }

  /** Ends the session. `planned` tells a goodbye from a broken link. */
  detach (planned: boolean): void {
    if (!this.isOpen) return
    this.isOpen = false
    this.handlers.handleDetach(this, planned)
  }

  /** True if the other node is known to hold the version or a higher one. */
  holds (team: string, version: number): boolean {
    return (this.known.get(team) ?? 0) >= version
  }

  noteVersions (versions: readonly protocol.wire.ITeamVersion[]): void {
    raiseVersions(this.known, versions)
  }

  /** Sends documents in messages of bounded size. */
  sendConfigs (configs: readonly AcceptedConfig[]): void {
    let page: protocol.wire.ITeamConfig[] = []
    let length = 0
    for (const message of createDelta(configs).teams ?? []) {
      const added = message.documentJson?.length ?? 0
      if (page.length > 0 && length + added > MAX_DELTA_LENGTH) {
        this.channel.sendDelta({ teams: page })
        page = []
        length = 0
      }
      page.push(message)
      length += added
    }
    if (page.length > 0) this.channel.sendDelta({ teams: page })
  }

  sendWant (versions: protocol.wire.ITeamVersion[]): void {
    this.channel.sendWant({ versions })
  }

  sendVersions (message: protocol.wire.IConfigVersions): void {
    this.channel.sendVersions?.(message)
  }

  sendFleet (fleet: protocol.wire.IFleetVersions): void {
    this.channel.sendFleet?.(fleet)
  }
}
