/** Real entries and agents in this process, connected over loopback. */
import * as agent from '@egretvalve/agent'
import * as entry from '@egretvalve/entry'
import * as settings from '@egretvalve/settings'
import * as standin from '@egretvalve/standin'
import * as undici from 'undici'
import type { Fleet, FleetAddresses } from './fleet.ts'

/** Size and settings of a local fleet. */
export interface LocalFleetOptions {
  entries: number
  agents: number
  timers: settings.Timers
  /** Overrides of the default settings of each entry. */
  entrySettings?: Partial<entry.EntrySettings>
  /** Overrides of the default settings of each agent. */
  agentSettings?: Partial<agent.AgentSettings>
}

const ANY_PORT = '127.0.0.1:0'
const FAILURE_DOMAINS = ['a', 'b', 'c']
const SERVERS_PER_RACK = 3
const READY_POLL_MS = 20

/** Entries, agents and an in-memory store in this process; backend servers are not included. */
export class LocalFleet implements Fleet {
  readonly entries: entry.Entry[] = []
  readonly agents: agent.Agent[] = []
  readonly store: standin.MemoryStore

  constructor (private readonly options: LocalFleetOptions) {
    this.store = new standin.MemoryStore(options.timers)
  }

  /** Starts the entries, then the agents, and waits until all entries are ready. */
  async start (): Promise<FleetAddresses> {
    for (let index = 0; index < this.options.entries; index++) await this.startEntry(index)
    const starts = Array.from({ length: this.options.agents }, (_, index) => this.startAgent(index))
    await Promise.all(starts)
    await Promise.all(this.entries.map(running => waitUntilReady(running.httpAddress, this.options.timers)))
    return {
      entryAddresses: this.entries.map(running => running.httpAddress),
      announceAddresses: this.agents.map(running => running.announceAddress)
    }
  }

  /** Stops the agents, then the entries. */
  async stop (): Promise<void> {
    await Promise.all(this.agents.map(running => running.stop()))
    await Promise.all(this.entries.map(running => running.stop()))
  }

  /** Stops one entry gracefully, starts its replacement and waits until it is ready. */
  async replaceEntry (index: number): Promise<void> {
    await this.entries[index]!.stop()
    await this.startEntry(index)
    await waitUntilReady(this.entries[index]!.httpAddress, this.options.timers)
  }

  /** Gracefully stops the entry with the highest index. */
  async stopLastEntry (): Promise<void> {
    await this.entries.pop()?.stop()
  }

  private async startEntry (index: number): Promise<void> {
    const running = entry.createEntry(entry.resolveEntryDefaults({
      nodeId: `entry-${index + 1}`,
      failureDomain: resolveFailureDomain(index),
      httpListen: ANY_PORT,
      linkListen: ANY_PORT,
      plainText: true,
      ...this.options.entrySettings
    }), { ...this.createServices(), store: this.store })
    await running.start()
    this.entries[index] = running
  }

  private async startAgent (index: number): Promise<void> {
    const running = agent.createAgent(agent.resolveAgentDefaults({
      nodeId: `agent-${index + 1}`,
      failureDomain: resolveFailureDomain(index),
      rack: resolveRack(index),
      announceListen: ANY_PORT,
      entries: this.entries.map(known => known.linkAddress),
      plainText: true,
      ...this.options.agentSettings
    }), this.createServices())
    this.agents[index] = running
    await running.start()
  }

  private createServices (): entry.EntryServices {
    return { timers: this.options.timers, log: settings.createSilentLog(), metrics: settings.createSilentMetrics() }
  }
}

/** Returns the rack of an agent or backend server by its index. */
export function resolveRack (index: number): string {
  return `rack-${Math.floor(index / SERVERS_PER_RACK) + 1}`
}

function resolveFailureDomain (index: number): string {
  return `local-${FAILURE_DOMAINS[index % FAILURE_DOMAINS.length]!}`
}

/** Polls an entry until it reports ready. Rejects if the entry cannot be reached. */
export async function waitUntilReady (httpAddress: string, timers: settings.Timers): Promise<void> {
  for (;;) {
    const response = await undici.request(`http://${httpAddress}/readyz`)
    await response.body.dump()
    if (response.statusCode === 200) return
    await timers.sleep(READY_POLL_MS)
  }
}
