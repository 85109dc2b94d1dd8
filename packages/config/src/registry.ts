/** The configuration in force on one node. */
import * as protocol from '@egretvalve/protocol'
import type * as settings from '@egretvalve/settings'
import { deepFreeze } from './canonical.ts'
import { parseDocument, type TeamDocument } from './document.ts'
import { describeConfigProblem } from './checks.ts'
import { events } from './events.ts'

/** Where a node learned of a version. */
export enum ConfigSource {
  /** An operator's change that this entry had accepted. */
  Operator = 'operator',
  Store = 'store',
  Entry = 'entry',
  Agent = 'agent'
}

/** An accepted version of a team's document. It is frozen, so a request may hold on to the version that it began with. */
export interface AcceptedConfig {
  readonly team: string
  readonly version: number
  readonly document: TeamDocument
}

/** Called for each version that comes into force. */
export type ConfigListener = (config: AcceptedConfig, source: ConfigSource) => void

/** Keeps the highest version of each team that the node has ever seen; it never goes back. */
export class ConfigRegistry {
  private readonly configs = new Map<string, AcceptedConfig>()
  private readonly listeners = new Set<ConfigListener>()

  constructor (private readonly log: settings.Log) {}

  /** Returns the version in force for a team. */
  get (team: string): AcceptedConfig | undefined {
    return this.configs.get(team)
  }

  /** Returns every team's version in force, in order of the teams' names. */
  list (): AcceptedConfig[] {
    return [...this.configs.values()].sort((left, right) => left.team < right.team ? -1 : 1)
  }

  /** Returns the version number in force for a team; 0 for none. */
  versionOf (team: string): number {
    return this.configs.get(team)?.version ?? 0
  }

  /** Returns every team's version number as a message. */
  versions (): protocol.wire.ITeamVersion[] {
    return this.list().map(config => ({ team: config.team, version: config.version }))
  }

  /** Puts a version into force if it is higher than the one in force. Returns whether it was. */
  offer (config: AcceptedConfig, source: ConfigSource): boolean {
    if (config.version <= this.versionOf(config.team)) return false
    const frozen = deepFreeze({ team: config.team, version: config.version, document: config.document })
    this.configs.set(config.team, frozen)
    this.log.event(events.versionInForce, { team: config.team, version: config.version, source })
    for (const listener of this.listeners) listener(frozen, source)
    return true
  }

  /** Puts every readable and higher version of a message into force. Returns the teams that changed. */
  offerDelta (delta: protocol.wire.IConfigDelta, source: ConfigSource): string[] {
    const changed: string[] = []
    for (const message of delta.teams ?? []) {
      if ((message.version ?? 0) <= this.versionOf(message.team ?? '')) continue
      const config = this.readMessage(message)
      if (config !== undefined && this.offer(config, source)) changed.push(config.team)
    }
    return changed
  }

  /** Calls the listener for each version that comes into force from now on. Returns the function that ends this. */
  subscribe (listener: ConfigListener): () => void {
    this.listeners.add(listener)
    return () => { this.listeners.delete(listener) }
  }

  private readMessage (message: protocol.wire.ITeamConfig): AcceptedConfig | undefined {
    const team = message.team ?? ''
    const version = message.version ?? 0
    const document = parseDocument(parseJson(message.documentJson ?? ''))
    if (document.ok && document.val.team === team) return { team, version, document: document.val }
    const reason = document.err ? document.val.map(describeConfigProblem).join('; ') : `the document is of team ${document.val.team}`
    this.log.event(events.documentUnreadable, { team, version, reason })
    return undefined
  }
}

function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}

/** Converts accepted versions to a message. */
export function createDelta (configs: readonly AcceptedConfig[]): protocol.wire.IConfigDelta {
  return { teams: configs.map(config => ({ team: config.team, version: config.version, documentJson: JSON.stringify(config.document) })) }
}
