/** The agent: one process next to each backend server. */
import type * as config from '@egretvalve/config'
import * as ownership from '@egretvalve/ownership'
import * as protocol from '@egretvalve/protocol'
import * as runtime from '@egretvalve/runtime'
import type * as settings from '@egretvalve/settings'
import { Announcer } from './announcement/announcer.ts'
import { createAnnouncementRoutes } from './announcement/routes.ts'
import { AgentConfig } from './config/agentConfig.ts'
import { events } from './events.ts'
import { IncarnationHistory } from './incarnationHistory.ts'
import { EntryLink } from './links/entryLink.ts'
import type { QueuedTask } from './queue/taskQueue.ts'
import type { AgentSettings } from './settings.ts'
import { Executor } from './tasks/executor.ts'

const MAX_ANNOUNCEMENT_BYTES = 64 * 1024
const ANNOUNCEMENT_TIMEOUT_MS = 5_000
const RECORD_EXPIRY_PERIOD_MS = 10_000

/** Services that the process provides to the agent. */
export interface AgentServices {
  timers: settings.Timers
  log: settings.Log
  metrics: settings.Metrics
  tls?: runtime.LinkTls
}

/** Accepts the announcement of the backend server on the same VM, starts tasks on it and reports their outcomes to the entries. */
export class Agent {
  readonly agentId: string
  readonly incarnation = protocol.createIncarnation()
  announceAddress = ''
  /** The teams' configuration in force on this agent. */
  readonly config: AgentConfig
  private readonly announcer: Announcer
  private readonly record: ownership.StartRecord
  private readonly executor: Executor
  private readonly links = new Map<string, EntryLink>()
  private readonly incarnationHistory: IncarnationHistory
  private readonly web: runtime.WebServer
  private readonly broker
  private expiry: settings.TimerHandle | undefined

  constructor (private readonly settings: AgentSettings, private readonly services: AgentServices) {
    this.agentId = settings.nodeId
    this.incarnationHistory = new IncarnationHistory(services.timers.wallClockMs())
    this.config = new AgentConfig(this.createIdentity(), services)
    this.announcer = new Announcer(services.timers, services.log, () => { this.scheduleLoadReports() })
    this.record = new ownership.StartRecord(ownership.resolveStartRecordDefaults({ retentionMs: settings.retentionMs, maxResultBytes: settings.recordMaxBytes }), services.timers)
    this.executor = new Executor({
      timers: services.timers,
      announcer: this.announcer,
      record: this.record,
      queueDepth: settings.queueDepth,
      resolveLink: queued => this.resolveLink(queued)
    })
    this.broker = runtime.createBroker(settings.nodeId)
    this.web = new runtime.WebServer({
      broker: this.broker,
      timers: services.timers,
      name: 'announcement',
      listen: settings.announceListen,
      routes: createAnnouncementRoutes(this.announcer, () => ({ running: this.executor.runningCount, queued: this.executor.queuedCount })),
      maxBodyBytes: MAX_ANNOUNCEMENT_BYTES,
      requestTimeoutMs: ANNOUNCEMENT_TIMEOUT_MS
    })
  }

  /** Listens for the backend server's announcement and opens streams to the configured entries. */
  async start (): Promise<void> {
    this.announceAddress = await this.web.start()
    for (const address of this.settings.entries) this.openLink(address)
    this.expiry = this.services.timers.every(RECORD_EXPIRY_PERIOD_MS, () => { this.record.sweep() })
    this.services.log.event(events.Started, { announceAddress: this.announceAddress, incarnation: this.incarnation })
  }

  /** Refuses new tasks, waits until all accepted ones are reported, then closes the streams and the announcement socket. */
  async stop (): Promise<void> {
    this.services.log.event(events.Draining, { running: this.executor.runningCount, queued: this.executor.queuedCount })
    const drained = this.executor.drain()
    this.scheduleLoadReports()
    await drained
    await Promise.all([...this.links.values()].map(async link => await link.stop('planned stop')))
    this.expiry?.cancel()
    this.config.stop()
    this.announcer.stop()
    await this.web.stop()
    await this.broker.stop()
    this.services.log.event(events.Stopped)
  }

  /** Describes the tasks that are still in progress, for the message of an aborted stop. */
  describeRemaining (): string {
    return `${this.executor.runningCount} running and ${this.executor.queuedCount} queued tasks`
  }

  private openLink (address: string): void {
    if (this.links.has(address)) return
    const handler = {
      createHello: (link: EntryLink) => this.createHello(link),
      createLoad: (link: EntryLink) => this.createLoad(link),
      onMessage: (link: EntryLink, message: protocol.wire.EntryToAgent) => { this.receive(link, message) },
      onClosed: (link: EntryLink) => {
        this.executor.removeLink(link)
        this.config.close(link)
      }
    }
    const link = new EntryLink(address, handler, { timers: this.services.timers, log: this.services.log, tls: this.services.tls })
    this.links.set(address, link)
    link.run()
  }

  private receive (link: EntryLink, message: protocol.wire.EntryToAgent): void {
    this.config.receive(link, message)
    if (message.urgency != null) {
      this.executor.setUrgency(link, message.urgency.urgency ?? protocol.wire.Urgency.URGENCY_IDLE)
    } else if (message.creditReturn != null) {
      this.executor.returnCredits(link, message.creditReturn.credits ?? 0)
    } else if (message.start != null) {
      for (const job of message.start.jobs ?? []) this.executor.accept(job, link)
    } else if (message.cancel != null) {
      this.executor.cancel(message.cancel.key!)
    } else if (message.fence != null) {
      this.answerFence(link, message.fence)
    } else if (message.inquiry != null) {
      this.answerInquiry(link, message.inquiry)
    } else if (message.hello != null) {
      this.addEntries(message.hello.entries ?? [])
    } else if (message.entries != null) {
      this.incarnationHistory.recordEntryList(message.entries)
      this.addEntries(message.entries.entries ?? [])
    }
  }

  private addEntries (entries: readonly protocol.wire.IEntryAddress[]): void {
    for (const entry of entries) {
      if (entry.peerAddress != null && entry.peerAddress !== '') this.openLink(entry.peerAddress)
    }
  }

  private answerInquiry (link: EntryLink, inquiry: protocol.wire.IInquiry): void {
    for (const job of inquiry.jobs ?? []) {
      for (const known of this.record.inquire(job).tasks ?? []) link.report(job, known)
    }
  }

  /** Refuses earlier owners of the partitions from now on, redirects the reports of unfinished tasks to the new owner and sends it the recorded starts. */
  private answerFence (link: EntryLink, fence: protocol.wire.IFence): void {
    const partitions = fence.partitions ?? []
    const numbers = partitions.map(each => each.partition ?? 0)
    this.record.fence(partitions)
    this.executor.redirect(new Set(numbers), link)
    const pages = this.record.gather(numbers)
    pages.forEach((jobs, index) => {
      link.send({ fenceAnswer: { fenceId: fence.fenceId, jobs, last: index === pages.length - 1, completeSinceMs: this.incarnationHistory.completeSinceMs } })
    })
    this.services.log.event(events.Fenced, { peer: link.address, partitions: numbers.length, pages: pages.length })
  }

  /** Returns the link of the entry that sent the task, or of the partition's new owner after a fence. The link object survives reconnects. */
  private resolveLink (queued: QueuedTask): EntryLink {
    return queued.reportLink
  }

  private scheduleLoadReports (): void {
    for (const link of this.links.values()) {
      if (link.isOpen) link.scheduleFlush()
    }
  }

  private createIdentity (): config.NodeIdentity {
    return {
      nodeId: this.agentId,
      incarnation: this.incarnation,
      kind: protocol.wire.NodeKind.NODE_KIND_AGENT,
      region: this.settings.region,
      failureDomain: this.settings.failureDomain
    }
  }

  private createHello (link: EntryLink): protocol.wire.IAgentHello {
    return {
      agentId: this.agentId,
      incarnation: this.incarnation,
      region: this.settings.region,
      failureDomain: this.settings.failureDomain,
      wallClockMs: this.services.timers.wallClockMs(),
      load: this.createLoad(link),
      versions: this.config.registry.versions()
    }
  }

  private createLoad (link: EntryLink): protocol.wire.ILoadReport {
    const announcement = this.announcer.current
    const total = announcement === undefined ? {} : createCapacity(announcement)
    return {
      ...this.executor.createLoad(link, total),
      service: announcement?.service ?? '',
      draining: this.executor.draining || !this.announcer.acceptsTasks,
      total,
      rack: announcement?.rack ?? this.settings.rack,
      receivedTasks: link.receivedTasks
    }
  }
}

function createCapacity (announcement: { slots: number, connections: number, cores: number, memoryMb: number, accelerators: number }): protocol.wire.ICapacity {
  const { slots, connections, cores, memoryMb, accelerators } = announcement
  return { slots, connections, cores, memoryMb, accelerators }
}

export function createAgent (settings: AgentSettings, services: AgentServices): Agent {
  return new Agent(settings, services)
}
