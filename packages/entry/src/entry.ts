/** The entry: HTTP for callers and administrators, dispatch of tasks to agents. */
import type * as config from '@egretvalve/config'
import * as platform from '@egretvalve/platform'
import * as protocol from '@egretvalve/protocol'
import * as runtime from '@egretvalve/runtime'
import type * as settings from '@egretvalve/settings'
import { type CallerGateway, createCallerRoutes } from './api/routes.ts'
import { EntryConfiguration } from './config/entryConfiguration.ts'
import { Dispatcher, type DispatchCounters } from './dispatch/dispatcher.ts'
import { events } from './events.ts'
import { createLocalGateway } from './jobs/gateway.ts'
import { Intake } from './jobs/intake.ts'
import { JobRegistry } from './jobs/registry.ts'
import { AgentLinks } from './links/agentLinks.ts'
import { AgentRoster } from './owners/agentRoster.ts'
import { EntryOwnership } from './owners/entryOwnership.ts'
import { createSoleOwner } from './owners/router.ts'
import type { EntrySettings } from './settings.ts'

const EXPIRY_PERIOD_MS = 1_000

/** Services that the entry takes from its process. */
export interface EntryServices {
  timers: settings.Timers
  log: settings.Log
  metrics: settings.Metrics
  /** The platform's store; without one the entry runs alone. */
  store?: platform.Store
  tls?: runtime.LinkTls
}

/** One entry process. */
export class Entry {
  readonly entryId: string
  readonly incarnation = protocol.createIncarnation()
  httpAddress = ''
  linkAddress = ''
  private readonly broker
  private readonly web: runtime.WebServer
  private readonly linkServer: runtime.LinkServer
  private readonly registry: JobRegistry
  private readonly dispatcher: Dispatcher
  private readonly intake: Intake
  private readonly agentLinks: AgentLinks
  private readonly configuration: EntryConfiguration
  private readonly roster: AgentRoster
  private readonly localGateway: CallerGateway
  /** Set after `start` when the entry has a store. */
  private owned: EntryOwnership | undefined
  private expiry: settings.TimerHandle | undefined
  private isReady = false

  constructor (private readonly settings: EntrySettings, private readonly services: EntryServices) {
    const { timers, log, metrics } = services
    this.entryId = settings.nodeId
    this.roster = new AgentRoster(settings.retentionMs, timers)
    const soleOwner = createSoleOwner()
    const guard = { checkStart: (partition: number) => services.store === undefined ? soleOwner.checkStart(partition) : this.owned?.checkStart(partition) }
    this.configuration = new EntryConfiguration(settings, this.incarnation, services)
    this.registry = new JobRegistry({ timers, log, retentionMs: settings.retentionMs, maxBytes: settings.recordMaxBytes })
    this.dispatcher = new Dispatcher({
      timers,
      log,
      failureDomain: settings.failureDomain,
      guard,
      weightOf: team => this.configuration.weightOf(team),
      onJobEnded: job => { this.intake.finish(job) }
    })
    this.intake = new Intake({
      timers,
      log,
      metrics,
      registry: this.registry,
      dispatcher: this.dispatcher,
      configure: submission => this.configuration.configure(submission)
    })
    this.agentLinks = new AgentLinks({
      timers,
      log,
      dispatcher: this.dispatcher,
      agentGraceMs: settings.agentGraceMs,
      createHello: () => this.createHello(),
      spreader: this.config.spreader,
      onAgent: (agentId, incarnation) => { this.roster.noteSeen(agentId, incarnation) },
      createEntryList: agentId => this.createEntryList(agentId),
      onFenceAnswer: answer => { this.owned?.fences.receive(answer) }
    })
    this.localGateway = createLocalGateway({ intake: this.intake, registry: this.registry, dispatcher: this.dispatcher, readiness: () => ({ isServing: this.isReady, hasConfiguration: this.configuration.isReady, hasAssignment: true }) })
    this.broker = runtime.createBroker(settings.nodeId)
    this.web = this.createWebServer()
    this.linkServer = new runtime.LinkServer(settings.linkListen, services.tls)
    this.linkServer.accept('exchange', protocol.agentLink.exchange, async (stream, peer) => { await this.agentLinks.serve(stream, peer) })
    this.linkServer.accept('exchange', protocol.peerLink.exchange, async (stream, peer) => { await this.owned?.createPeerHandler()(stream, peer) })
  }

  /** Listens for agents, entries and callers. */
  async start (): Promise<void> {
    await protocol.loadHash()
    this.linkAddress = await this.linkServer.start()
    this.httpAddress = await this.web.start()
    if (this.services.store !== undefined) this.startOwnership(this.services.store)
    await this.configuration.start()
    this.expiry = this.services.timers.every(EXPIRY_PERIOD_MS, () => { this.registry.expire() })
    this.isReady = true
    this.services.log.event(events.Started, { httpAddress: this.httpAddress, linkAddress: this.linkAddress, incarnation: this.incarnation })
  }

  /**
   * Passes the partitions to the other entries, answers what is still in progress here, then closes. The last entry
   * refuses new submissions and answers all accepted ones first.
   */
  async stop (): Promise<void> {
    this.isReady = false
    this.services.log.event(events.Draining, { running: this.registry.running })
    const hasSuccessor = this.owned?.hasSuccessor === true
    if (hasSuccessor) await this.owned?.leave()
    this.intake.drain()
    await this.registry.waitUntilIdle()
    await this.web.stop()
    if (!hasSuccessor) await this.owned?.leave()
    this.owned?.stop()
    await this.configuration.stop()
    this.linkServer.stop()
    this.dispatcher.stop()
    this.expiry?.cancel()
    await this.broker.stop()
    this.services.log.event(events.Stopped)
  }

  /** Number of connected agents whose backend server offers the service. */
  agentCount (service: string): number {
    return this.agentLinks.sessions.filter(session => session.service === service).length
  }

  /** Number of partitions that this entry owns. */
  get ownedPartitionCount (): number {
    return this.owned?.ownership.ownedPartitions().length ?? 0
  }

  /** Counts of starts since the entry began. */
  get counters (): Readonly<DispatchCounters> {
    return this.dispatcher.counters
  }

  /** The teams' configuration in force here. */
  get config (): config.EntryConfig {
    return this.configuration.entryConfig
  }

  /** States what is still in progress. */
  describeRemaining (): string {
    return `${this.web.inProgressCount} requests in progress, ${this.registry.running} running submissions, ${this.dispatcher.waitingCount} waiting tasks`
  }

  private get gateway (): CallerGateway {
    return this.owned?.gateway ?? this.localGateway
  }

  private startOwnership (store: platform.Store): void {
    const { settings, services, registry, dispatcher, agentLinks, roster } = this
    this.owned = new EntryOwnership({
      store,
      timers: services.timers,
      log: services.log,
      tls: services.tls,
      identity: { entryId: this.entryId, incarnation: this.incarnation, peerAddress: this.linkAddress, failureDomain: settings.failureDomain },
      region: settings.region,
      retentionMs: settings.retentionMs,
      peerAddresses: settings.peers,
      registry,
      dispatcher,
      agentLinks,
      roster,
      local: this.localGateway,
      spreader: this.config.spreader,
      createHello: () => this.createHello()
    })
    this.owned.start()
  }

  private createWebServer (): runtime.WebServer {
    const { settings, services } = this
    const gateway: CallerGateway = {
      submit: async (submission, waitMs, signal) => await this.gateway.submit(submission, waitMs, signal),
      lookUp: async (key, waitMs, signal) => await this.gateway.lookUp(key, waitMs, signal),
      cancel: async key => await this.gateway.cancel(key),
      readiness: () => this.gateway.readiness()
    }
    const routes = createCallerRoutes(gateway, { timers: services.timers, defaultDeadlineMs: settings.defaultDeadlineMs, maxWaitMs: settings.maxWaitMs })
    return new runtime.WebServer({
      broker: this.broker,
      name: 'http',
      listen: settings.httpListen,
      routes: [...routes, ...this.configuration.createWebRoutes()],
      maxBodyBytes: settings.maxBodyBytes,
      requestTimeoutMs: settings.requestTimeoutMs,
      tls: services.tls
    })
  }

  private createEntryList (agentId: string): protocol.wire.IEntryList {
    return {
      entries: this.owned?.entryAddresses ?? [],
      startedAtMs: this.roster.startedAtWallMs,
      seenEarlierLife: this.roster.hasEarlierLife(agentId)
    }
  }

  private createHello (): protocol.wire.IEntryHello {
    return {
      entryId: this.entryId,
      incarnation: this.incarnation,
      region: this.settings.region,
      failureDomain: this.settings.failureDomain,
      wallClockMs: this.services.timers.wallClockMs(),
      entries: this.owned?.entryAddresses ?? [],
      versions: this.config.registry.versions()
    }
  }
}

/** Creates an entry. */
export function createEntry (settings: EntrySettings, services: EntryServices): Entry {
  return new Entry(settings, services)
}
