/** The entry: serves callers and administrators over HTTP and dispatches tasks to agents. */
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
import { createStandaloneRouter } from './owners/router.ts'
import type { EntrySettings } from './settings.ts'

/** Period at which retained answers are checked for expiry, in milliseconds. */
const EXPIRY_PERIOD_MS = 1_000

/** Dependencies that the process provides to the entry. */
export interface EntryServices {
  timers: settings.Timers
  log: settings.Log
  metrics: settings.Metrics
  /** The platform's store. Without it the entry runs standalone and owns every partition. */
  store?: platform.Store
  tls?: runtime.LinkTls
}

/** An entry. */
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
  /** Set by `start` if the entry has a store. */
  private entryOwnership: EntryOwnership | undefined
  private expiryTimer: settings.TimerHandle | undefined
  private isReady = false

  constructor (private readonly settings: EntrySettings, private readonly services: EntryServices) {
    const { timers, log, metrics } = services
    this.entryId = settings.nodeId
    this.roster = new AgentRoster(settings.retentionMs, timers)
    const standaloneRouter = createStandaloneRouter()
    const guard = { checkStart: (partition: number) => services.store === undefined ? standaloneRouter.checkStart(partition) : this.entryOwnership?.checkStart(partition) }
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
      propagator: this.config.propagator,
      onAgentConnected: (agentId, incarnation) => { this.roster.recordSeen(agentId, incarnation) },
      createEntryList: agentId => this.createEntryList(agentId),
      onFenceAnswer: answer => { this.entryOwnership?.fences.handleAnswer(answer) }
    })
    this.localGateway = createLocalGateway({ intake: this.intake, registry: this.registry, dispatcher: this.dispatcher, readiness: () => ({ isServing: this.isReady, hasConfiguration: this.configuration.isReady, hasAssignment: true }) })
    this.broker = runtime.createBroker(settings.nodeId)
    this.web = this.createWebServer()
    this.linkServer = new runtime.LinkServer(settings.linkListen, services.tls)
    this.linkServer.accept('exchange', protocol.agentLink.exchange, async (stream, peer) => { await this.agentLinks.serve(stream, peer) })
    this.linkServer.accept('exchange', protocol.peerLink.exchange, async (stream, peer) => { await this.entryOwnership?.createPeerHandler()(stream, peer) })
  }

  /** Starts listening for agents, other entries and callers, and joins the partition ownership if there is a store. */
  async start (): Promise<void> {
    await protocol.loadHash()
    this.linkAddress = await this.linkServer.start()
    this.httpAddress = await this.web.start()
    if (this.services.store !== undefined) this.startOwnership(this.services.store)
    await this.configuration.start()
    this.expiryTimer = this.services.timers.every(EXPIRY_PERIOD_MS, () => { this.registry.expire() })
    this.isReady = true
    this.services.log.event(events.Started, { httpAddress: this.httpAddress, linkAddress: this.linkAddress, incarnation: this.incarnation })
  }

  /**
   * Stops gracefully: hands the partitions over to the other entries, answers the remaining submissions, then closes.
   * Without a connected successor it first refuses new submissions and answers all accepted ones, then leaves.
   */
  async stop (): Promise<void> {
    this.isReady = false
    this.services.log.event(events.Draining, { running: this.registry.running })
    const hasSuccessor = this.entryOwnership?.hasSuccessor === true
    if (hasSuccessor) await this.entryOwnership?.leave()
    this.intake.drain()
    await this.registry.waitUntilIdle()
    await this.web.stop()
    if (!hasSuccessor) await this.entryOwnership?.leave()
    this.entryOwnership?.stop()
    await this.configuration.stop()
    this.linkServer.stop()
    this.dispatcher.stop()
    this.expiryTimer?.cancel()
    await this.broker.stop()
    this.services.log.event(events.Stopped)
  }

  /** Returns the number of connected agents whose backend server offers the service. */
  agentCount (service: string): number {
    return this.agentLinks.sessions.filter(session => session.service === service).length
  }

  /** Number of partitions that this entry owns. */
  get ownedPartitionCount (): number {
    return this.entryOwnership?.ownership.ownedPartitions().length ?? 0
  }

  /** Counters since the entry was created. */
  get counters (): Readonly<DispatchCounters> {
    return this.dispatcher.counters
  }

  /** The teams' configuration in force at this entry. */
  get config (): config.EntryConfig {
    return this.configuration.entryConfig
  }

  /** Describes the work still in progress, for the message of a forced exit. */
  describeRemaining (): string {
    return `${this.web.inProgressCount} requests in progress, ${this.registry.running} running submissions, ${this.dispatcher.waitingCount} waiting tasks`
  }

  private get gateway (): CallerGateway {
    return this.entryOwnership?.gateway ?? this.localGateway
  }

  private startOwnership (store: platform.Store): void {
    const { settings, services, registry, dispatcher, agentLinks, roster } = this
    this.entryOwnership = new EntryOwnership({
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
      propagator: this.config.propagator,
      createHello: () => this.createHello()
    })
    this.entryOwnership.start()
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
      timers: services.timers,
      name: 'http',
      listen: settings.httpListen,
      routes: [...routes, ...this.configuration.createWebRoutes()],
      maxBodyBytes: settings.maxBodyBytes,
      requestTimeoutMs: settings.requestTimeoutMs,
      // The id of a submission is in its body, so an earlier attempt may have run.
      mayRefuse: request => request.method !== 'POST',
      tls: services.tls
    })
  }

  private createEntryList (agentId: string): protocol.wire.IEntryList {
    return {
      entries: this.entryOwnership?.entryAddresses ?? [],
      startedAtMs: this.roster.startedAtWallMs,
      seenEarlierLife: this.roster.hasEarlierIncarnation(agentId)
    }
  }

  private createHello (): protocol.wire.IEntryHello {
    return {
      entryId: this.entryId,
      incarnation: this.incarnation,
      region: this.settings.region,
      failureDomain: this.settings.failureDomain,
      wallClockMs: this.services.timers.wallClockMs(),
      entries: this.entryOwnership?.entryAddresses ?? [],
      versions: this.config.registry.versions()
    }
  }
}

export function createEntry (settings: EntrySettings, services: EntryServices): Entry {
  return new Entry(settings, services)
}
