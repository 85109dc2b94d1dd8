/** Brings the configuration into an entry: start, readiness, administration API. */
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
import { createAbsentStore } from './absentStore.ts'
import { applyConfig } from './submissionPolicy.ts'

/** Time that a start waits for the configuration; the entry becomes ready later if it takes longer; milliseconds. */
const START_WAIT_MS = 2_000
/** Time after which a caller may submit again to an entry that does not know the configuration yet, in milliseconds. */
const NOT_KNOWN_RETRY_MS = 1_000

/** Weight of a team without a configuration. */
const UNCONFIGURED_WEIGHT = 1

/** Services that the configuration of an entry takes from its process. */
export interface EntryConfigurationServices {
  timers: settings.Timers
  log: settings.Log
  store?: platform.Store | undefined
}

/** The configuration of an entry and the administration API over it. */
export class EntryConfiguration {
  readonly entryConfig: config.EntryConfig
  private readonly stopping = new AbortController()
  private readonly isAlone: boolean
  private isKnown = false

  constructor (private readonly settings: EntrySettings, incarnation: string, private readonly services: EntryConfigurationServices) {
    this.isAlone = services.store === undefined
    const identity: config.NodeIdentity = {
      nodeId: settings.nodeId,
      incarnation,
      kind: protocol.wire.NodeKind.NODE_KIND_ENTRY,
      region: settings.region,
      failureDomain: settings.failureDomain
    }
    this.entryConfig = new config.EntryConfig(identity, { timers: services.timers, log: services.log, store: services.store ?? createAbsentStore() })
  }

  /** True once the versions in force are known; an entry that runs alone has none. */
  get isReady (): boolean {
    return this.isKnown
  }

  /** Starts to follow the store and waits a while for the configuration. */
  async start (): Promise<void> {
    if (this.isAlone) {
      this.isKnown = true
      return
    }
    this.entryConfig.start()
    const known = this.waitUntilKnown()
    await Promise.race([known, this.services.timers.sleep(START_WAIT_MS, this.stopping.signal)])
  }

  /** Applies the team's configuration to a new submission. A refusal is true: nothing of the submission was started here. */
  configure (submission: protocol.wire.ISubmission): results.Result<protocol.wire.ISubmission, protocol.wire.IAnswer> {
    if (this.isKnown) return applyConfig({ registry: this.entryConfig.registry, requireConfig: this.settings.requireConfig }, submission)
    const message = 'this entry starts and does not know the configuration yet; submit again'
    return results.Err(protocol.createRefusal(submission.key ?? {}, protocol.AnswerCode.OwnerUnavailable, message, NOT_KNOWN_RETRY_MS))
  }

  /** Returns the weight of a team's share in force now. */
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

  private async waitUntilKnown (): Promise<void> {
    while (!this.isKnown && !this.stopping.signal.aborted) this.isKnown = await this.entryConfig.waitUntilReady(START_WAIT_MS)
  }
}
