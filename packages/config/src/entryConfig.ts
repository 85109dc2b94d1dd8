/** The configuration of one entry: registry, store, watch and spreading together. */
import type * as platform from '@egretvalve/platform'
import * as protocol from '@egretvalve/protocol'
import type * as settings from '@egretvalve/settings'
import * as results from 'ts-results'
import { AuditAction } from './audit.ts'
import { parseDocument } from './document.ts'
import { events } from './events.ts'
import type { NodeIdentity } from './fleet.ts'
import { ChangeOutcomeKind, type ChangeOutcome } from './outcome.ts'
import { findVersion } from './record.ts'
import { ConfigRegistry, ConfigSource } from './registry.ts'
import { ConfigRepository } from './repository.ts'
import { ConfigSpreader } from './spreader.ts'
import { createFleetStatus, type FleetStatus } from './status.ts'
import { ConfigWatcher } from './watcher.ts'

/** Time that linked nodes have to tell their versions before an entry starts without the store, in milliseconds. */
const PEER_START_MS = 1_000
/** Time between two checks of whether the entry may start, in milliseconds. */
const READY_CHECK_MS = 50
/** Time that other entries have to report on the fleet, in milliseconds. */
const FLEET_REPORT_MS = 1_000

/** What the configuration of an entry needs. */
export interface EntryConfigServices {
  store: platform.Store
  timers: settings.Timers
  log: settings.Log
}

/** Who asks for a change, and which one. */
export interface ChangeOrder {
  team: string
  changeId: string
  seenVersion: number
  operator: string
}

/** Holds the configuration in force on an entry and takes changes. */
export class EntryConfig {
  readonly registry: ConfigRegistry
  readonly repository: ConfigRepository
  readonly spreader: ConfigSpreader
  private readonly watcher: ConfigWatcher

  constructor (self: NodeIdentity, private readonly services: EntryConfigServices) {
    this.registry = new ConfigRegistry(services.log)
    this.repository = new ConfigRepository({ ...services, entryId: self.nodeId })
    this.spreader = new ConfigSpreader(self, this.registry, services)
    this.watcher = new ConfigWatcher(services, this.repository, this.registry)
  }

  /** Starts to read and to watch the store. */
  start (): void {
    this.watcher.start()
  }

  async stop (): Promise<void> {
    this.spreader.stop()
    await this.watcher.stop()
  }

  /**
   * Waits until the configuration is known: from the store or, while it is down, from the linked nodes.
   * Returns false when the time is up.
   */
  async waitUntilReady (timeoutMs: number): Promise<boolean> {
    const { timers } = this.services
    const deadlineMs = timers.nowMs() + timeoutMs
    let linkedSinceMs: number | undefined
    while (timers.nowMs() < deadlineMs) {
      if (this.watcher.isSynced) return true
      const hasPeerConfig = this.registry.list().length > 0 && !this.spreader.isBehind
      if (!hasPeerConfig) linkedSinceMs = undefined
      else linkedSinceMs ??= timers.nowMs()
      if (linkedSinceMs !== undefined && timers.nowMs() - linkedSinceMs >= PEER_START_MS) {
        this.services.log.event(events.startedFromPeer, { teams: this.registry.list().length })
        return true
      }
      await timers.sleep(READY_CHECK_MS)
    }
    return this.watcher.isSynced
  }

  /** Asks for a document to become the next version. */
  async apply (order: ChangeOrder, input: unknown): Promise<ChangeOutcome> {
    const document = parseDocument(input)
    if (document.err) return { kind: ChangeOutcomeKind.Invalid, problems: document.val }
    if (document.val.team !== order.team) {
      const problem = { question: 'team', given: JSON.stringify(document.val.team), expects: `the team ${order.team} of the request` }
      return { kind: ChangeOutcomeKind.Invalid, problems: [problem] }
    }
    return this.putInForce(await this.repository.change({ ...order, document: document.val, action: AuditAction.Apply }))
  }

  /** Asks for the document of an earlier version to become the next version. */
  async rollback (order: ChangeOrder, toVersion: number): Promise<ChangeOutcome> {
    const stored = await this.repository.read(order.team)
    if (stored.err) return { kind: ChangeOutcomeKind.Unavailable, error: stored.val }
    const document = findVersion(stored.val.record, toVersion)
    if (document !== undefined) {
      return this.putInForce(await this.repository.change({ ...order, document, action: AuditAction.Rollback }))
    }
    const kept = stored.val.record.history.map(entry => entry.version).join(', ')
    const problem = { question: 'toVersion', given: String(toVersion), expects: kept === '' ? 'a version; the team has none' : `one of the versions kept: ${kept}` }
    return { kind: ChangeOutcomeKind.Invalid, problems: [problem] }
  }

  /** Gathers what all entries know of the fleet. */
  async collectStatus (): Promise<results.Result<FleetStatus, protocol.StepError>> {
    try {
      return results.Ok(createFleetStatus(await this.spreader.collectFleet(FLEET_REPORT_MS)))
    } catch (thrown) {
      return results.Err(protocol.toStepError(thrown, 'config.collectStatus', 'entries'))
    }
  }

  private putInForce (outcome: ChangeOutcome): ChangeOutcome {
    if (outcome.kind !== ChangeOutcomeKind.Accepted) return outcome
    this.registry.offer(outcome.config, ConfigSource.Operator)
    this.spreader.pushToEntries(outcome.config)
    return outcome
  }
}
