/** A TCP proxy that injects network faults between two processes. */
import * as net from 'node:net'
import type * as settings from '@egretvalve/settings'
import { events } from '../events.ts'
import { LinkFaultKind, resolveLinkState, type LinkFault, type LinkState } from './faults.ts'
import { StreamRelay } from './streamRelay.ts'

/** Options of a network proxy. */
export interface NetworkProxyOptions {
  /** Listen address as `ip:port`; port 0 selects a free port. */
  listen: string
  /** Address of the process behind the proxy as `ip:port`. */
  target: string
  timers: settings.Timers
  log: settings.Log
}

/** One connection through the proxy. */
export interface ProxiedConnection {
  /** Sets the fault of this connection only. */
  setFault: (fault: LinkFault) => void
  /** Resets both ends (TCP RST); buffered bytes are lost. */
  reset: () => void
}

/** A running proxy. */
export interface NetworkProxy {
  /** Listen address as `ip:port`; empty before `start`. */
  readonly address: string
  readonly connections: readonly ProxiedConnection[]
  /** Starts listening. Rejects if the listen address cannot be bound. */
  start: () => Promise<void>
  /** Resets all connections and stops listening. */
  stop: () => Promise<void>
  /** Sets the fault of all open and future connections. */
  setFault: (fault: LinkFault) => void
  /** Resets all open connections. */
  resetAll: () => void
}

/** Creates a network proxy. Call `start` to run it. */
export function createNetworkProxy (options: NetworkProxyOptions): NetworkProxy {
  return new TcpProxy(options)
}

class TcpProxy implements NetworkProxy {
  address = ''
  private fault: LinkFault = { kind: LinkFaultKind.None }
  private readonly links = new Set<Link>()
  private readonly server = net.createServer({ allowHalfOpen: true }, client => { this.serve(client).catch(() => client.destroy()) })

  constructor (private readonly options: NetworkProxyOptions) {}

  get connections (): readonly ProxiedConnection[] {
    return [...this.links]
  }

  async start (): Promise<void> {
    const [host, port] = this.options.listen.split(':')
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen(Number(port), host, resolve)
    })
    const bound = this.server.address() as net.AddressInfo
    this.address = `${bound.address}:${bound.port}`
    this.options.log.event(events.proxyStarted, { address: this.address, target: this.options.target })
  }

  async stop (): Promise<void> {
    const closed = new Promise(resolve => { this.server.close(resolve) })
    this.resetAll()
    await closed
  }

  setFault (fault: LinkFault): void {
    this.fault = fault
    this.options.log.event(events.proxyFaultChanged, { address: this.address, fault: fault.kind })
    for (const link of this.links) link.setFault(fault)
  }

  resetAll (): void {
    for (const link of this.links) link.reset()
  }

  private async serve (client: net.Socket): Promise<void> {
    const [host, port] = this.options.target.split(':')
    const target = net.connect({ host, port: Number(port), allowHalfOpen: true })
    const link = new Link(client, target, this.options.timers, this.fault)
    target.on('error', thrown => this.options.log.event(events.proxyTargetFailed, { target: this.options.target, reason: thrown.message }))
    this.links.add(link)
    await link.run()
    this.links.delete(link)
  }
}

class Link implements ProxiedConnection {
  private state: LinkState
  private readonly toTarget: StreamRelay
  private readonly toClient: StreamRelay

  constructor (private readonly client: net.Socket, private readonly target: net.Socket, timers: settings.Timers, fault: LinkFault) {
    this.state = resolveLinkState(fault)
    this.toTarget = new StreamRelay(client, target, timers, () => this.state.toTarget)
    this.toClient = new StreamRelay(target, client, timers, () => this.state.toClient)
    client.setNoDelay(true)
    target.setNoDelay(true)
    client.on('error', () => target.destroy())
    target.on('error', () => client.destroy())
  }

  /** Relays both directions until both have ended, then closes the connection. */
  async run (): Promise<void> {
    await Promise.all([this.toTarget.run(), this.toClient.run()])
    this.client.destroy()
    this.target.destroy()
  }

  setFault (fault: LinkFault): void {
    this.state = resolveLinkState(fault)
    this.wake()
  }

  reset (): void {
    this.client.resetAndDestroy()
    this.target.resetAndDestroy()
    this.wake()
  }

  private wake (): void {
    this.toTarget.wake()
    this.toClient.wake()
  }
}
