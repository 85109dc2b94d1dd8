/** Development fleet in one process: stand-in store, entries, agents and stand-in backend servers. */
import * as agent from '@egretvalve/agent'
import * as config from '@egretvalve/config'
import * as entry from '@egretvalve/entry'
import * as settings from '@egretvalve/settings'
import * as standin from '@egretvalve/standin'

/** Size and location of a development fleet. */
export interface FleetOptions {
  entries: number
  servers: number
  slots: number
  service: string
  region: string
  /** First port of the entries' HTTP addresses; 0 selects free ports. */
  httpPort: number
  timers: settings.Timers
  log: settings.Log
}

const ANY_PORT = '127.0.0.1:0'
const CONNECTIONS_PER_SERVER = 64
const CORES_PER_SERVER = 30
const MEMORY_PER_SERVER_MB = 128_000
const SERVERS_PER_RACK = 3
const FAILURE_DOMAINS = ['a', 'b', 'c']
const READY_POLL_MS = 20

export class DevFleet {
  readonly entries: entry.Entry[] = []
  readonly backends: standin.StandinBackend[] = []
  private readonly agents: agent.Agent[] = []
  private readonly store: standin.StandinStore

  constructor (private readonly options: FleetOptions) {
    this.store = standin.createStandinStore({ listen: ANY_PORT, timers: options.timers, log: options.log })
  }

  /** Starts all parts and waits until every agent has announced its backend server to every entry. */
  async start (): Promise<void> {
    await this.store.start()
    for (let index = 0; index < this.options.entries; index++) await this.startEntry(index)
    await this.applyExamples()
    for (let index = 0; index < this.options.servers; index++) await this.startServer(index)
    await this.waitUntilReady()
  }

  /** Stops the entries first, which serve the callers, then the backend servers, which withdraw their announcements, then their agents. */
  async stop (): Promise<void> {
    for (const running of this.entries) await running.stop()
    for (const running of this.backends) await running.stop()
    for (const running of this.agents) await running.stop()
    await this.store.stop()
  }

  describeRemaining (): string {
    return this.entries.map(running => running.describeRemaining()).join('; ')
  }

  /** Applies the example configurations, so that operators' commands have data to show. */
  private async applyExamples (): Promise<void> {
    for (const name of Object.values(config.ExampleName)) {
      const document = config.createExampleDocument(name)
      const order = { team: document.team, changeId: `dev-${name}`, seenVersion: 0, operator: 'dev' }
      const outcome = await this.entries[0]!.config.apply(order, document)
      if (outcome.kind !== config.ChangeOutcomeKind.Accepted) throw new Error(`the example ${name} was not accepted: ${outcome.kind}`)
    }
  }

  private async startEntry (index: number): Promise<void> {
    const { httpPort, region, timers, log } = this.options
    const values = entry.resolveEntryDefaults({
      nodeId: `entry-${index + 1}`,
      region,
      failureDomain: this.failureDomain(index),
      httpListen: `127.0.0.1:${httpPort === 0 ? 0 : httpPort + index}`,
      linkListen: ANY_PORT,
      openAdmin: true,
      plainText: true
    })
    const created = entry.createEntry(values, { timers, log, metrics: settings.createSilentMetrics(), store: this.store.store })
    await created.start()
    this.entries.push(created)
  }

  private async startServer (index: number): Promise<void> {
    const { region, service, slots, timers, log } = this.options
    const rack = `rack-${Math.floor(index / SERVERS_PER_RACK) + 1}`
    const values = agent.resolveAgentDefaults({
      nodeId: `agent-${index + 1}`,
      region,
      failureDomain: this.failureDomain(index),
      rack,
      announceListen: ANY_PORT,
      entries: this.entries.map(running => running.linkAddress),
      plainText: true
    })
    const created = agent.createAgent(values, { timers, log, metrics: settings.createSilentMetrics() })
    await created.start()
    this.agents.push(created)
    const backend = standin.createStandinBackend({
      listen: ANY_PORT,
      agentAddress: created.announceAddress,
      service,
      slots,
      connections: CONNECTIONS_PER_SERVER,
      cores: CORES_PER_SERVER,
      memoryMb: MEMORY_PER_SERVER_MB,
      accelerators: 0,
      rack,
      timers,
      log
    })
    await backend.start()
    this.backends.push(backend)
  }

  private async waitUntilReady (): Promise<void> {
    while (!this.entries.every(running => running.agentCount(this.options.service) === this.options.servers)) {
      await this.options.timers.sleep(READY_POLL_MS)
    }
  }

  private failureDomain (index: number): string {
    return `${this.options.region}-${FAILURE_DOMAINS[index % FAILURE_DOMAINS.length]}`
  }
}
