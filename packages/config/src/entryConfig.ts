/** Configuration of one entry: combines registry, store, watch and propagation. */
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
import { ConfigPropagator } from './propagator.ts'
import { createFleetStatus, type FleetStatus } from './status.ts'
import { ConfigWatcher } from './watcher.ts'

/**
 * Time for which the configuration from linked nodes must be complete before an entry starts without the store, in
 * milliseconds. It gives further nodes time to report higher versions.
 */
const PEER_CONFIG_WAIT_MS = 1_000
/** Interval between readiness checks, in milliseconds. */
const READY_POLL_MS = 50
/** Time limit for the fleet reports of the other entries, in milliseconds. */
const FLEET_REPORT_TIMEOUT_MS = 1_000

/** Dependencies of an entry's configuration. */
export interface EntryConfigServices {
  store: platform.Store
  timers: settings.Timers
  log: settings.Log
}

/** Parameters that all changes have; see `ChangeRequest`. */
export interface ChangeParameters {
  team: string
  changeId: string
  seenVersion: number
  operator: string
}

/** Holds the configuration in force on an entry and applies operators' changes. */
export class EntryConfig {
  readonly registry: ConfigRegistry
  readonly repository: ConfigRepository
  readonly propagator: ConfigPropagator
  private readonly watcher: ConfigWatcher

  constructor (self: NodeIdentity, private readonly services: EntryConfigServices) {
    this.registry = new ConfigRegistry(services.log)
    this.repository = new ConfigRepository({ ...services, entryId: self.nodeId })
    this.propagator = new ConfigPropagator(self, this.registry, services)
    this.watcher = new ConfigWatcher(services, this.repository, this.registry)
  }

  /** Starts reading and watching the store. */
  start (): void {
    this.watcher.start()
  }

  async stop (): Promise<void> {
    this.propagator.stop()
    await this.watcher.stop()
  }

  /**
   * Waits until the configuration is known: from the store or, while the store is down, from the linked nodes.
   * Returns false on timeout.
   */
  async waitUntilReady (timeoutMs: number): Promise<boolean> {
    const { timers } = this.services
    const deadlineMs = timers.nowMs() + timeoutMs
    let completeSinceMs: number | undefined
    while (timers.nowMs() < deadlineMs) {
      if (this.watcher.isSynced) return true
      const hasCompleteConfig = this.registry.list().length > 0 && !this.propagator.isBehind
      if (!hasCompleteConfig) completeSinceMs = undefined
      else completeSinceMs ??= timers.nowMs()
      if (completeSinceMs !== undefined && timers.nowMs() - completeSinceMs >= PEER_CONFIG_WAIT_MS) {
        this.services.log.event(events.startedFromPeer, { teams: this.registry.list().length })
        return true
      }
      await timers.sleep(READY_POLL_MS)
    }
    return this.watcher.isSynced
  }

  /** Validates a document and requests that it become the next version. */
  async apply (order: ChangeParameters, input: unknown): Promise<ChangeOutcome> {
    const document = parseDocument(input)
    if (document.err) return { kind: ChangeOutcomeKind.Invalid, problems: document.val }
    if (document.val.team !== order.team) {
      const problem = { question: 'team', given: JSON.stringify(document.val.team), expects: `the team ${order.team} of the request` }
      return { kind: ChangeOutcomeKind.Invalid, problems: [problem] }
    }
    return this.putInForce(await this.repository.change({ ...order, document: document.val, action: AuditAction.Apply }))
  }

  /** Requests that the document of an earlier version become the next version. */
  async rollback (order: ChangeParameters, toVersion: number): Promise<ChangeOutcome> {
    const stored = await this.repository.read(order.team)
    if (stored.err) return { kind: ChangeOutcomeKind.Unavailable, error: stored.val }
    const document = findVersion(stored.val.record, toVersion)
    if (document !== undefined) {
      return this.putInForce(await this.repository.change({ ...order, document, action: AuditAction.Rollback }))
    }
    const retained = stored.val.record.history.map(entry => entry.version).join(', ')
    const problem = { question: 'toVersion', given: String(toVersion), expects: retained === '' ? 'a version; the team has none' : `one of the versions kept: ${retained}` }
    return { kind: ChangeOutcomeKind.Invalid, problems: [problem] }
  }

  /** Collects the fleet reports of all entries and merges them. */
  async collectStatus (): Promise<results.Result<FleetStatus, protocol.StepError>> {
    try {
      return results.Ok(createFleetStatus(await this.propagator.collectFleet(FLEET_REPORT_TIMEOUT_MS)))
    } catch (thrown) {
      return results.Err(protocol.toStepError(thrown, 'config.collectStatus', 'entries'))
    }
  }

  /** Puts an accepted change into force on this entry and pushes it to the other entries. Returns the outcome unchanged. */
  private putInForce (outcome: ChangeOutcome): ChangeOutcome {
    if (outcome.kind !== ChangeOutcomeKind.Accepted) return outcome
    this.registry.offer(outcome.config, ConfigSource.Operator)
    this.propagator.pushToEntries(outcome.config)
    return outcome
  }
}
