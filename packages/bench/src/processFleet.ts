/** A fleet whose store, entries and agents run as separate processes. */
import type { Fleet, FleetAddresses } from './fleet.ts'
import { type MeasuredProcess, startMeasuredProcess } from './measuredProcess.ts'

const ANY_PORT = '127.0.0.1:0'

/** Starts one process each for the store, every entry and every agent. */
export class ProcessFleet implements Fleet {
  private readonly processes: MeasuredProcess[] = []

  constructor (private readonly entryCount: number, private readonly agentCount: number) {}

  async start (): Promise<FleetAddresses> {
    const store = await this.startProcess('standin-store', ['--listen', ANY_PORT])
    const entries = await this.startMany(this.entryCount, index => this.startEntry(index, store.addressAfter('on')))
    const links = entries.map(entry => entry.addressAfter('link')).join(',')
    const agents = await this.startMany(this.agentCount, index => this.startAgent(index, links))
    return {
      entryAddresses: entries.map(entry => entry.addressAfter('http')),
      announceAddresses: agents.map(agent => agent.addressAfter('on'))
    }
  }

  async stop (): Promise<void> {
    await Promise.all(this.processes.map(process => process.stop()))
  }

  private async startMany (count: number, start: (index: number) => Promise<MeasuredProcess>): Promise<MeasuredProcess[]> {
    return await Promise.all(Array.from({ length: count }, (_, index) => start(index)))
  }

  private async startEntry (index: number, storeAddress: string): Promise<MeasuredProcess> {
    return await this.startProcess('entry', [
      '--node-id', `entry-${index + 1}`,
      '--http-listen', ANY_PORT,
      '--link-listen', ANY_PORT,
      '--store-address', storeAddress,
      '--plain-text',
      '--log-level', 'error'
    ])
  }

  private async startAgent (index: number, links: string): Promise<MeasuredProcess> {
    return await this.startProcess('agent', [
      '--node-id', `agent-${index + 1}`,
      '--announce-listen', ANY_PORT,
      '--entries', links,
      '--plain-text',
      '--log-level', 'error'
    ])
  }

  private async startProcess (command: string, args: readonly string[]): Promise<MeasuredProcess> {
    const started = await startMeasuredProcess(command, args)
    this.processes.push(started)
    return started
  }
}
