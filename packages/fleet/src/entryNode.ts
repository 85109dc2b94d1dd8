/** The entry's side of the fleet: serves the links of agents, keeps itself listed, and learns of the other entries. */
import * as protocol from '@egretvalve/protocol'
import * as runtime from '@egretvalve/runtime'
import type * as scheduler from '@egretvalve/scheduler'
import type * as settings from '@egretvalve/settings'
import * as workers from '@egretvalve/workers'
import { AgentConnection } from './agentConnection.ts'
import { type ConfigShelf, decodeCopy } from './configCopy.ts'
import { events } from './events.ts'
import { decodeEnd, decodeLoad, decodeSlow } from './messages.ts'
import { watchRegularly } from './watchdog.ts'

/** Who the entry is. */
export interface EntryIdentity {
  entryId: string
  life: string
  /** Address on which agents reach it. */
  address: string
  failureDomain: string
}

/** Services of the entry's side. */
export interface EntryNodeServices {
  timers: settings.Timers
  log: settings.Log
  scheduler: scheduler.Scheduler
  shelf: ConfigShelf
}

/** Longest wait before a new configuration is sent to an agent that another entry may reach first, in milliseconds. */
const CONFIG_SPREAD_MS = 150

/** Agents to which an entry gives a copy of a new configuration. It may have a thousand routes, and a small entry's link carries two megabytes a second. */
const CONFIG_COPIES = 4

/** Serves the links of agents. */
export class EntryNode {
  private readonly server: runtime.LinkServer
  private readonly connections = new Map<string, AgentConnection>()
  private entries: protocol.runs.IEntryAddress[] = []
  private readonly watch: settings.TimerHandle

  constructor (readonly identity: EntryIdentity, private readonly services: EntryNodeServices) {
    this.server = new runtime.LinkServer(identity.address)
    this.server.accept('exchange', protocol.runLink.exchange, async (stream, peer) => { await this.serve(stream, peer) })
    this.watch = watchRegularly(services.timers, () => { for (const connection of this.connections.values()) connection.keepAlive() })
    services.shelf.subscribe(() => { services.timers.after(Math.random() * CONFIG_SPREAD_MS, () => { this.spreadConfig() }) })
  }

  /** Starts listening. */
  async start (): Promise<void> {
    await this.server.start()
  }

  stop (): void {
    this.watch.cancel()
    for (const connection of this.connections.values()) connection.close()
    this.server.stop()
  }

  /** Number of linked agents. */
  get agentCount (): number {
    return this.connections.size
  }

  /** Tells the agents which entries there are. */
  setEntries (entries: readonly protocol.runs.IEntryAddress[]): void {
    this.entries = [...entries]
    for (const connection of this.connections.values()) connection.send({ entries: { entries: this.entries } })
  }

  private async serve (stream: runtime.LinkStream<protocol.runs.FromAgent, protocol.runs.IFromEntry>, peer: string): Promise<void> {
    const outbox = new runtime.Outbox<protocol.runs.IFromEntry>(stream)
    let connection: AgentConnection | undefined
    let reason = 'ended by the agent'
    try {
      for await (const message of stream) {
        if (connection === undefined) connection = this.greet(message.greeting, outbox, stream)
        else this.receive(connection, message)
        if (connection === undefined) break
      }
    } catch (thrown) {
      reason = protocol.toStepError(thrown, 'link.read', peer).describe()
    }
    outbox.end()
    if (connection !== undefined) this.close(connection, reason)
  }

  private greet (greeting: protocol.runs.IAgentGreeting | null | undefined, outbox: runtime.Outbox<protocol.runs.IFromEntry>, stream: Pick<runtime.LinkStream<unknown, unknown>, 'destroy'>): AgentConnection | undefined {
    if (greeting == null) return undefined
    const connection = new AgentConnection(greeting, outbox, this.services.timers, () => ({ configVersion: this.services.shelf.version }), () => { stream.destroy() })
    const earlier = this.connections.get(connection.agentId)
    if (earlier !== undefined) this.close(earlier, 'agent opened another link')
    this.connections.set(connection.agentId, connection)
    this.services.log.event(events.LinkOpened, { peer: connection.agentId, life: connection.life })
    connection.send({ greeting: { entryId: this.identity.entryId, life: this.identity.life, entries: this.entries, configVersion: this.services.shelf.version } })
    this.services.scheduler.connect(connection, decodeLoad(greeting.load))
    return connection
  }

  private receive (connection: AgentConnection, message: protocol.runs.IFromAgent): void {
    const { scheduler } = this.services
    connection.noteHeard()
    if (message.report != null) this.takeReport(connection, message.report)
    else if (message.held != null) scheduler.reconcile(connection, new Set((message.held.runs ?? []).map(describeHeld)))
    else if (message.config != null) this.takeConfig(connection, message.config)
    else if (message.beat != null) this.takeBeat(connection, message.beat)
  }

  private takeReport (connection: AgentConnection, report: protocol.runs.IRunReport): void {
    const { scheduler } = this.services
    const ends = (report.ends ?? []).map(decodeEnd)
    connection.noteEnds(ends)
    if (ends.length > 0) scheduler.takeEnds(connection, ends)
    if (report.load != null) scheduler.takeLoad(connection, decodeLoad(report.load))
    if (report.slow != null && report.slow.length > 0) scheduler.takeSlow(connection, report.slow.map(decodeSlow))
  }

  private takeBeat (connection: AgentConnection, beat: protocol.runs.IBeat): void {
    this.noteVersion(connection, beat.configVersion ?? 0)
    if (beat.load != null) this.services.scheduler.takeLoad(connection, decodeLoad(beat.load))
  }

  private takeConfig (connection: AgentConnection, copy: protocol.runs.IConfigCopy): void {
    this.noteVersion(connection, copy.version ?? 0)
    this.services.shelf.offer(decodeCopy(copy))
  }

  private noteVersion (connection: AgentConnection, version: number): void {
    connection.configVersion = Math.max(connection.configVersion, version)
  }

  /** Gives some agents a copy, to pass on to entries that can't reach the store, and tells the others that this entry needs none. */
  private spreadConfig (): void {
    const lagging = [...this.connections.values()].filter(connection => connection.configVersion < this.services.shelf.version)
    const first = Math.floor(Math.random() * lagging.length)
    lagging.forEach((connection, index) => {
      if ((index - first + lagging.length) % lagging.length < CONFIG_COPIES) this.sendConfig(connection)
      else connection.beat()
    })
  }

  private sendConfig (connection: AgentConnection): void {
    connection.configVersion = this.services.shelf.version
    connection.send({ config: this.services.shelf.message })
  }

  private close (connection: AgentConnection, reason: string): void {
    connection.close()
    if (this.connections.get(connection.agentId) === connection) this.connections.delete(connection.agentId)
    this.services.log.event(events.LinkClosed, { peer: connection.agentId, step: 'link.read', reason, silentMs: Math.round(connection.silentMs()) })
    this.services.scheduler.disconnect(connection, reason)
  }
}

function describeHeld (held: protocol.runs.IHeldRun): string {
  return `${workers.taskKey({ jobId: held.jobId ?? '', step: held.step ?? 0, index: held.index ?? 0 })}#${held.attempt ?? 0}`
}
