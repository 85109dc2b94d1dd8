/** Registry of the configuration in force on one node. */
import * as protocol from '@egretvalve/protocol'
import type * as settings from '@egretvalve/settings'
import { deepFreeze } from './canonical.ts'
import { parseDocument, type TeamDocument } from './document.ts'
import { describeConfigProblem } from './checks.ts'
import { events } from './events.ts'

/** Longest text from a message in a log line, in characters. */
const MAX_LOGGED_CHARS = 500

/** Source from which a node received a version. */
export enum ConfigSource {
  /** An operator's change that this entry accepted. */
  Operator = 'operator',
  Store = 'store',
  Entry = 'entry',
  Agent = 'agent'
}

/** An accepted version of a team's document. It is deeply frozen, so a request can keep the version that it started with. */
export interface AcceptedConfig {
  readonly team: string
  readonly version: number
  readonly document: TeamDocument
}

/** Called for each version that comes into force. */
export type ConfigListener = (config: AcceptedConfig, source: ConfigSource) => void

/** Holds the highest version of each team that the node has received. Lower versions are ignored. */
export class ConfigRegistry {
  private readonly configs = new Map<string, AcceptedConfig>()
  private readonly listeners = new Set<ConfigListener>()

  constructor (private readonly log: settings.Log) {}

  /** Returns the version in force for a team. */
  get (team: string): AcceptedConfig | undefined {
    return this.configs.get(team)
  }

  /** Returns the version in force of every team, sorted by team name. */
  list (): AcceptedConfig[] {
    return [...this.configs.values()].sort((left, right) => left.team < right.team ? -1 : 1)
  }

  /** Returns the version number in force for a team, or 0 if there is none. */
  versionOf (team: string): number {
    return this.configs.get(team)?.version ?? 0
  }

  /** Returns the version numbers of all teams in the form of the wire message. */
  versions (): protocol.wire.ITeamVersion[] {
    return this.list().map(config => ({ team: config.team, version: config.version }))
  }

  /** Puts a version into force if it is higher than the current one, and notifies the listeners. Returns false if it was ignored. */
  offer (config: AcceptedConfig, source: ConfigSource): boolean {
    if (config.version <= this.versionOf(config.team)) return false
    const frozen = deepFreeze({ team: config.team, version: config.version, document: config.document })
    this.configs.set(config.team, frozen)
    this.log.event(events.versionInForce, { team: config.team, version: config.version, source })
    for (const listener of this.listeners) listener(frozen, source)
    return true
  }

  /**
   * Puts every valid document of a message into force whose version is higher than the current one. Documents that do not
   * parse are logged and skipped. Returns the teams that changed.
   */
  offerDelta (delta: protocol.wire.IConfigDelta, source: ConfigSource): string[] {
    const changed: string[] = []
    for (const message of delta.teams ?? []) {
      if ((message.version ?? 0) <= this.versionOf(message.team ?? '')) continue
      const config = this.readMessage(message)
      if (config !== undefined && this.offer(config, source)) changed.push(config.team)
    }
    return changed
  }

  /** Calls the listener for each version that comes into force from now on. Returns a function that unsubscribes it. */
  subscribe (listener: ConfigListener): () => void {
    this.listeners.add(listener)
    return () => { this.listeners.delete(listener) }
  }

  /** Parses and validates the document of a message; logs the reason and returns undefined if it is invalid. */
  private readMessage (message: protocol.wire.ITeamConfig): AcceptedConfig | undefined {
    const team = message.team ?? ''
    const version = message.version ?? 0
    const value = protocol.parseStrictJson(Buffer.from(message.documentJson ?? ''))
    if (value.err) return this.refuseMessage(team, version, protocol.describeInputProblem(value.val))
    const document = parseDocument(value.val)
    if (document.ok && document.val.team === team) return { team, version, document: document.val }
    return this.refuseMessage(team, version, document.err ? document.val.map(describeConfigProblem).join('; ') : `the document belongs to team ${document.val.team}`)
  }

  private refuseMessage (team: string, version: number, reason: string): undefined {
    this.log.event(events.documentInvalid, { team: protocol.truncateText(team, MAX_LOGGED_CHARS), version, reason: protocol.truncateText(reason, MAX_LOGGED_CHARS) })
    return undefined
  }
}

/** Creates the wire message that carries the given versions with their documents as JSON. */
export function createDelta (configs: readonly AcceptedConfig[]): protocol.wire.IConfigDelta {
  return { teams: configs.map(config => ({ team: config.team, version: config.version, documentJson: JSON.stringify(config.document) })) }
}
