/** Configuration exchange with one linked node. */
import type * as protocol from '@egretvalve/protocol'
import type { ConfigChannel } from './channel.ts'
import { raiseVersions, type NodeIdentity } from './fleet.ts'
import { createDelta, type AcceptedConfig, type ConfigRegistry } from './registry.ts'

/** Maximum total length of the documents in one message, in characters. A longer document is sent alone. */
const MAX_DELTA_LENGTH = 512 * 1024

/** Callbacks for the messages and the end of a session. */
export interface SessionHandlers {
  handleVersions: (session: ConfigSession, versions: readonly protocol.wire.ITeamVersion[]) => void
  handleDelta: (session: ConfigSession, delta: protocol.wire.IConfigDelta) => void
  handleFleet: (session: ConfigSession, fleet: protocol.wire.IFleetVersions) => void
  handleDetach: (session: ConfigSession, planned: boolean) => void
}

/** Configuration exchange with one node for the lifetime of the link. */
export class ConfigSession {
  /** Highest version of each team that the remote node is known to hold. */
  readonly knownVersions = new Map<string, number>()
  private isOpen = true

  constructor (
    readonly remote: NodeIdentity,
    private readonly channel: ConfigChannel,
    private readonly registry: ConfigRegistry,
    private readonly handlers: SessionHandlers
  ) {}

  /** Handles a message with the versions that the remote node holds. */
  handleVersions (message: protocol.wire.IConfigVersions): void {
    this.recordVersions(message.versions ?? [])
    this.handlers.handleVersions(this, message.versions ?? [])
  }

  /** Handles a message with documents. */
  handleDelta (delta: protocol.wire.IConfigDelta): void {
    this.recordVersions((delta.teams ?? []).map(({ team, version }) => ({ team, version })))
    this.handlers.handleDelta(this, delta)
  }

  /** Answers a request for documents with those that this node has in the requested version or a higher one. */
  handleWant (want: protocol.wire.IConfigVersions): void {
    const configs: AcceptedConfig[] = []
    for (const { team, version } of want.versions ?? []) {
      const config = this.registry.get(team ?? '')
      if (config !== undefined && config.version >= (version ?? 0)) configs.push(config)
    }
    this.sendConfigs(configs)
  }

  /** Handles a fleet report or a request for one. */
  handleFleet (fleet: protocol.wire.IFleetVersions): void {
    this.handlers.handleFleet(this, fleet)
  }

  /** Ends the session. `planned` is true after a goodbye and false when the link broke. */
  detach (planned: boolean): void {
    if (!this.isOpen) return
    this.isOpen = false
    this.handlers.handleDetach(this, planned)
  }

  /** True if the remote node is known to hold the version or a higher one. */
  holds (team: string, version: number): boolean {
    return (this.knownVersions.get(team) ?? 0) >= version
  }

  recordVersions (versions: readonly protocol.wire.ITeamVersion[]): void {
    raiseVersions(this.knownVersions, versions)
  }

  /** Sends documents, split into messages of at most `MAX_DELTA_LENGTH` characters of documents. */
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
