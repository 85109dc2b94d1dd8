/** A TCP proxy that stands in for a faulty network between two processes. */
import * as net from 'node:net'
import type * as settings from '@egretvalve/settings'
import { events } from '../events.ts'
import { LinkFaultKind, resolveLinkState, type LinkFault, type LinkState } from './faults.ts'
import { Pump } from './pump.ts'

/** Where the proxy listens and whom it connects. */
export interface NetworkProxyOptions {
  /** IP address and port; port 0 takes any free port. */
  listen: string
  /** IP address and port of the process behind the proxy. */
  target: string
  timers: settings.Timers
  log: settings.Log
}

/** One connection through the proxy. */
export interface ProxiedConnection {
  /** Changes the fault of this connection alone. */
  setFault: (fault: LinkFault) => void
  /** Resets both ends; bytes on the way are lost. */
  reset: () => void
}

/** A running proxy. */
export interface NetworkProxy {
  /** IP address and port; valid after `start`. */
  readonly address: string
  readonly connections: readonly ProxiedConnection[]
  start: () => Promise<void>
  /** Resets all connections and closes. */
  stop: () => Promise<void>
  /** Sets the fault of all connections, those to come included. */
  setFault: (fault: LinkFault) => void
  /** Resets all connections that are open. */
  resetAll: () => void
}

/** Creates a proxy; `start` runs it. */
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
  private readonly toTarget: Pump
  private readonly toClient: Pump

  constructor (private readonly client: net.Socket, private readonly target: net.Socket, timers: settings.Timers, fault: LinkFault) {
    this.state = resolveLinkState(fault)
    this.toTarget = new Pump(client, target, timers, () => this.state.toTarget)
    this.toClient = new Pump(target, client, timers, () => this.state.toClient)
    client.setNoDelay(true)
    target.setNoDelay(true)
    client.on('error', () => target.destroy())
    target.on('error', () => client.destroy())
  }

  /** Carries both directions until the connection is closed. */
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
