/** Configuration of an entry: start, readiness and administration API. */
import * as config from '@egretvalve/config'
import type * as platform from '@egretvalve/platform'
import * as protocol from '@egretvalve/protocol'
import type * as runtime from '@egretvalve/runtime'
import type * as settings from '@egretvalve/settings'
import * as results from 'ts-results'
import { createAccessControl, createOpenAccess } from '../admin/access.ts'
import { createAdminHandler } from '../admin/handler.ts'
import { createAdminRoutes } from '../admin/routes.ts'
import { createAdminWebRoutes } from '../admin/webRoutes.ts'
import type { EntrySettings } from '../settings.ts'
import { createUnavailableStore } from './unavailableStore.ts'
import { applyConfig } from './submissionPolicy.ts'

/** Maximum time that a start waits for the configuration, in milliseconds. After it the entry runs and becomes ready later. */
const START_WAIT_MS = 2_000
/** Retry-after of submissions that arrive before the configuration is loaded, in milliseconds. */
const CONFIG_RETRY_AFTER_MS = 1_000

/** Weight of the share of a team without a configuration. */
const UNCONFIGURED_WEIGHT = 1

/** Dependencies of the entry's configuration. */
export interface EntryConfigurationServices {
  timers: settings.Timers
  log: settings.Log
  store?: platform.Store | undefined
}

/** The teams' configuration at an entry and the administration API for it. */
export class EntryConfiguration {
  readonly entryConfig: config.EntryConfig
  private readonly stopping = new AbortController()
  private readonly isStandalone: boolean
  private isLoaded = false

  constructor (private readonly settings: EntrySettings, incarnation: string, private readonly services: EntryConfigurationServices) {
    this.isStandalone = services.store === undefined
    const identity: config.NodeIdentity = {
      nodeId: settings.nodeId,
      incarnation,
      kind: protocol.wire.NodeKind.NODE_KIND_ENTRY,
      region: settings.region,
      failureDomain: settings.failureDomain
    }
    this.entryConfig = new config.EntryConfig(identity, { timers: services.timers, log: services.log, store: services.store ?? createUnavailableStore() })
  }

  /** True once the configuration is loaded. An entry without a store has none to load and is ready after `start`. */
  get isReady (): boolean {
    return this.isLoaded
  }

  /** Starts watching the store and waits up to `START_WAIT_MS` for the configuration. */
  async start (): Promise<void> {
    if (this.isStandalone) {
      this.isLoaded = true
      return
    }
    this.entryConfig.start()
    const loaded = this.waitUntilLoaded()
    await Promise.race([loaded, this.services.timers.sleep(START_WAIT_MS, this.stopping.signal)])
  }

  /** Applies the team's configuration to a new submission, or returns a refusal. No task has started at this point. */
  configure (submission: protocol.wire.ISubmission): results.Result<protocol.wire.ISubmission, protocol.wire.IAnswer> {
    if (this.isLoaded) return applyConfig({ registry: this.entryConfig.registry, requireConfig: this.settings.requireConfig }, submission)
    const message = 'this entry starts and does not know the configuration yet; submit again'
    return results.Err(protocol.createRefusal(submission.key ?? {}, protocol.AnswerCode.OwnerUnavailable, message, CONFIG_RETRY_AFTER_MS))
  }

  /** Returns the weight currently in force for a team's share. */
  weightOf (team: string): number {
    return this.entryConfig.registry.get(team)?.document.quota.weight ?? UNCONFIGURED_WEIGHT
  }

  async stop (): Promise<void> {
    this.stopping.abort()
    await this.entryConfig.stop()
  }

  /** Creates the routes of the administration API. */
  createWebRoutes (): runtime.WebRoute[] {
    const routes = createAdminRoutes(this.entryConfig)
    const access = this.settings.openAdmin ? createOpenAccess() : createAccessControl(this.settings.adminTokens)
    return createAdminWebRoutes(routes, createAdminHandler(routes, access, this.services.log))
  }

  private async waitUntilLoaded (): Promise<void> {
    while (!this.isLoaded && !this.stopping.signal.aborted) this.isLoaded = await this.entryConfig.waitUntilReady(START_WAIT_MS)
  }
}
