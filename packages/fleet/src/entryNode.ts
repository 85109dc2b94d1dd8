/** The entry's side of the links: serves agents, receives their reports and propagates entry lists and configurations to them. */
import * as protocol from '@egretvalve/protocol'
import * as runtime from '@egretvalve/runtime'
import type * as scheduler from '@egretvalve/scheduler'
import type * as settings from '@egretvalve/settings'
import { AgentConnection } from './agentConnection.ts'
import { type ConfigCache, decodeCopy } from './configCopy.ts'
import type { EntryClaims } from './entryClaims.ts'
import type { EntryIdentity } from './entryIdentity.ts'
import { decodeEvacuations, Evacuations, type EvacuationSource } from './evacuations.ts'
import { events } from './events.ts'
import type { HandOver } from './handOver.ts'
import { runLivenessChecks } from './liveness.ts'
import { decodeCrash, decodeEnd, decodeHeld, decodeLoad, decodeSlow } from './messages.ts'

/** Dependencies of the entry's side. */
export interface EntryNodeServices {
  timers: settings.Timers
  log: settings.Log
  scheduler: scheduler.Scheduler
  configCache: ConfigCache
  /** The evacuated failure domains. Defaults to an object of its own. */
  evacuations?: Evacuations
  /** Claims on jobs, which the other entries answer over the same server. */
  claims?: EntryClaims
  /** Jobs that other entries hand over, which are accepted on the same server. */
  handOver?: HandOver
  /** Returns true while this entry refuses a part of its jobs or isn't ready, so that callers of others are not sent to it. */
  isOverloaded?: () => boolean
}

/** Upper limit of the random delay before a new configuration is sent to agents, in milliseconds. An agent that another entry has updated in the meantime is skipped. */
const CONFIG_PROPAGATION_JITTER_MS = 150

/** Delay after a link has opened or closed before lost copies of the configuration are replaced, in milliseconds. A link that is reset reopens in this time. */
const COPY_CHECK_DELAY_MS = 300

/** Number of linked agents that an entry provides with the newest configuration. Bounded because a configuration may have a thousand routes and the link of a small entry carries 2 MB/s. */
const CONFIG_COPIES = 4

/** Accepts the links of agents and connects them to the scheduler. */
export class EntryNode {
  private readonly evacuations: Evacuations
  private readonly server: runtime.LinkServer
  private readonly connections = new Map<string, AgentConnection>()
  private entries: protocol.runs.IEntryAddress[] = []
  private readonly livenessTimer: settings.TimerHandle
  private copyCheck: settings.TimerHandle | undefined
  private isStopping = false

  constructor (readonly identity: EntryIdentity, private readonly services: EntryNodeServices) {
    this.evacuations = services.evacuations ?? new Evacuations()
    this.evacuations.subscribe(source => { this.handleEvacuationsChanged(source) })
    this.server = new runtime.LinkServer(identity.address)
    this.server.accept('exchange', protocol.runLink.exchange, async (stream, peer) => { await this.serve(stream, peer) })
    services.claims?.accept(this.server)
    services.handOver?.accept(this.server)
    this.livenessTimer = runLivenessChecks(services.timers, () => { for (const connection of this.connections.values()) connection.keepAlive() })
    services.configCache.subscribe(() => { services.timers.after(Math.random() * CONFIG_PROPAGATION_JITTER_MS, () => { this.propagateConfig() }) })
  }

  /** Starts listening. */
  async start (): Promise<void> {
    await this.server.start()
  }

  stop (): void {
    this.isStopping = true
    this.livenessTimer.cancel()
    this.copyCheck?.cancel()
    for (const connection of this.connections.values()) connection.close()
    this.server.stop()
  }

  /** Number of linked agents. */
  get agentCount (): number {
    return this.connections.size
  }

  /** True if some linked agent is linked to another entry that isn't overloaded. */
  get hasRoomElsewhere (): boolean {
    for (const connection of this.connections.values()) {
      if (connection.othersHaveRoom) return true
    }
    return false
  }

  /** Sets the list of entries and sends it to all linked agents. */
  setEntries (entries: readonly protocol.runs.IEntryAddress[]): void {
    this.entries = [...entries]
    for (const connection of this.connections.values()) connection.send({ entries: { entries: this.entries } })
  }

  /** Serves the stream of an agent until it ends. `peer` names it in the log. */
  async serve (stream: runtime.LinkStream<protocol.runs.FromAgent, protocol.runs.IFromEntry>, peer: string): Promise<void> {
    const outbox = new runtime.Outbox<protocol.runs.IFromEntry>(stream)
    let connection: AgentConnection | undefined
    let reason = 'ended by the agent'
    try {
      for await (const message of stream) {
        if (connection === undefined) connection = this.handleGreeting(message, outbox, stream)
        else this.receive(connection, message)
        if (connection === undefined) break
      }
    } catch (thrown) {
      reason = protocol.toStepError(thrown, 'link.read', peer).describe()
    }
    outbox.end()
    if (connection !== undefined) this.close(connection, reason)
  }

  private handleGreeting ({ greeting, sentAtMs }: protocol.runs.IFromAgent, outbox: runtime.Outbox<protocol.runs.IFromEntry>, stream: Pick<runtime.LinkStream<unknown, unknown>, 'destroy'>): AgentConnection | undefined {
    if (greeting == null) return undefined
    const connection = new AgentConnection(greeting, outbox, this.services.timers, () => ({ configVersion: this.services.configCache.version, isOverloaded: this.services.isOverloaded?.() === true }), () => { stream.destroy() })
    connection.recordMessage(sentAtMs ?? 0)
    const previous = this.connections.get(connection.agentId)
    if (previous !== undefined) this.close(previous, 'agent opened another link')
    this.connections.set(connection.agentId, connection)
    this.services.log.event(events.LinkOpened, { peer: connection.agentId, life: connection.incarnation })
    this.handleEvacuations(connection, greeting.evacuations)
    connection.evacuationRevision = this.evacuations.revision
    connection.send({ greeting: { entryId: this.identity.entryId, life: this.identity.life, entries: this.entries, configVersion: this.services.configCache.version, evacuations: this.evacuations.message } })
    this.services.scheduler.connect(connection, decodeLoad(greeting.load))
    this.scheduleCopyCheck()
    return connection
  }

  private receive (connection: AgentConnection, message: protocol.runs.IFromAgent): void {
    connection.recordMessage(message.sentAtMs ?? 0)
    if (message.report != null) this.handleReport(connection, message.report)
    else if (message.held != null) this.handleHeld(connection, message.held)
    else if (message.config != null) this.handleConfig(connection, message.config)
    else if (message.evacuations != null) this.receiveEvacuations(connection, message.evacuations)
    else if (message.beat != null) this.handleHeartbeat(connection, message.beat)
  }

  private handleReport (connection: AgentConnection, report: protocol.runs.IRunReport): void {
    const { scheduler } = this.services
    for (const crash of report.crashes ?? []) scheduler.handleCrash(decodeCrash(crash, this.services.timers.nowMs()))
    const ends = (report.ends ?? []).map(decodeEnd)
    connection.recordEnds(ends)
    if (ends.length > 0) scheduler.handleEnds(connection, ends)
    if (report.load != null) scheduler.handleLoad(connection, decodeLoad(report.load))
    if (report.slow != null && report.slow.length > 0) scheduler.handleSlowRuns(connection, report.slow.map(decodeSlow))
  }

  private handleHeartbeat (connection: AgentConnection, heartbeat: protocol.runs.IBeat): void {
    this.recordConfigVersion(connection, heartbeat.configVersion ?? 0)
    connection.othersHaveRoom = heartbeat.othersHaveRoom === true
    if (heartbeat.load != null) this.services.scheduler.handleLoad(connection, decodeLoad(heartbeat.load))
    connection.sendHeartbeat()
  }

  private handleHeld (connection: AgentConnection, held: protocol.runs.IHeldRuns): void {
    const runs = (held.runs ?? []).map(decodeHeld)
    this.services.scheduler.reconcile(connection, runs)
    // The agent's lease on these runs counts from a message that shows that the list has been read.
    if (runs.length > 0) connection.sendHeartbeat()
  }

  private handleConfig (connection: AgentConnection, copy: protocol.runs.IConfigCopy): void {
    this.recordConfigVersion(connection, copy.version ?? 0)
    this.services.configCache.offer(decodeCopy(copy))
  }

  private handleEvacuations (connection: AgentConnection, message: protocol.runs.IEvacuations | null | undefined): void {
    const state = decodeEvacuations(message)
    if (state === undefined) return
    connection.evacuationRevision = Math.max(connection.evacuationRevision, state.revision)
    this.evacuations.offer(state, `agent ${connection.agentId}`)
  }

  private receiveEvacuations (connection: AgentConnection, message: protocol.runs.IEvacuations): void {
    this.handleEvacuations(connection, message)
    // A peer whose state is older may have learned it after this node's state was last sent.
    this.sendEvacuations(connection)
  }

  private sendEvacuations (connection: AgentConnection): void {
    const { revision, message } = this.evacuations
    if (connection.evacuationRevision >= revision) return
    connection.evacuationRevision = revision
    connection.send({ evacuations: message })
  }

  /** Applies a change of the evacuations, and sends it to the agents that do not have it. */
  private handleEvacuationsChanged (source: EvacuationSource): void {
    const { revision, failureDomains } = this.evacuations
    this.services.log.event(events.EvacuationsChanged, { failureDomains: failureDomains.join(), revision, source })
    this.services.scheduler.setEvacuatedDomains(failureDomains)
    for (const connection of this.connections.values()) this.sendEvacuations(connection)
  }

  private recordConfigVersion (connection: AgentConnection, version: number): void {
    connection.configVersion = Math.max(connection.configVersion, version)
  }

  /** Sends the configuration to some of the lagging agents, which forward it to entries that cannot reach the store. The others get a heartbeat with the version, so that they send this entry no copy. */
  private propagateConfig (): void {
    for (const connection of this.sendCopies()) connection.sendHeartbeat()
  }

  /** Sends the configuration to so many lagging agents that `CONFIG_COPIES` linked ones have it. Returns the other lagging agents. */
  private sendCopies (): AgentConnection[] {
    const lagging = [...this.connections.values()].filter(connection => connection.configVersion < this.services.configCache.version)
    const missing = Math.max(0, CONFIG_COPIES - (this.connections.size - lagging.length))
    const first = Math.floor(Math.random() * lagging.length)
    const shuffled = [...lagging.slice(first), ...lagging.slice(0, first)]
    for (const connection of shuffled.slice(0, missing)) this.sendConfig(connection)
    return shuffled.slice(missing)
  }

  /** Replaces copies that links have lost, or whose agents are no longer linked. */
  private scheduleCopyCheck (): void {
    if (this.isStopping) return
    this.copyCheck ??= this.services.timers.after(COPY_CHECK_DELAY_MS, () => {
      this.copyCheck = undefined
      this.sendCopies()
    })
  }

  private sendConfig (connection: AgentConnection): void {
    connection.configVersion = this.services.configCache.version
    connection.send({ config: this.services.configCache.message })
  }

  private close (connection: AgentConnection, reason: string): void {
    connection.close()
    if (this.connections.get(connection.agentId) === connection) this.connections.delete(connection.agentId)
    this.services.log.event(events.LinkClosed, { peer: connection.agentId, step: 'link.read', reason, silentMs: Math.round(connection.sinceLastMessageMs()) })
    this.services.scheduler.disconnect(connection, reason)
    this.scheduleCopyCheck()
  }
}
