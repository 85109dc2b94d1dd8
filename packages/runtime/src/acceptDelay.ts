/** Measures how long new connections wait until this process accepts them. */
import * as net from 'node:net'
import type * as settings from '@egretvalve/settings'
import { parseAddress } from './addresses.ts'

/** Minimum time between two measurements, in milliseconds. */
const MEASURE_PERIOD_MS = 100

/** Dependencies of the measurement. */
export interface AcceptDelayOptions {
  timers: settings.Timers
  /** Address on which the server listens. */
  address: string
  /** Called when a measurement fails, for example without a free descriptor. */
  onFailed: (reason: string) => void
}

/**
 * Connects to the own listening socket and measures the time until the connection is accepted. The event loop accepts one connection in
 * each iteration, so new connections can wait for seconds in the kernel while timers are nearly punctual. Measures only while
 * callers open connections.
 */
export class AcceptDelay {
  private measurement: { socket: net.Socket, startedAtMs: number } | undefined
  private lastDelayMs = 0
  private acceptedSinceCheck = 0
  private readonly handle: settings.TimerHandle

  constructor (private readonly options: AcceptDelayOptions) {
    this.handle = options.timers.every(MEASURE_PERIOD_MS, () => { this.check() })
  }

  /** Time that a connection accepted now has waited, in milliseconds. */
  get valueMs (): number {
    return Math.max(this.lastDelayMs, this.pendingMs)
  }

  /** Records an accepted connection. Returns true, and closes it, if it belongs to the measurement. */
  handleAccepted (socket: net.Socket): boolean {
    if (!this.isMeasurement(socket)) {
      this.acceptedSinceCheck++
      return false
    }
    this.lastDelayMs = this.pendingMs
    this.end()
    socket.destroy()
    return true
  }

  stop (): void {
    this.handle.cancel()
    this.end()
  }

  private get pendingMs (): number {
    return this.measurement === undefined ? 0 : this.options.timers.nowMs() - this.measurement.startedAtMs
  }

  private isMeasurement (socket: net.Socket): boolean {
    const own = this.measurement?.socket
    return own?.localPort !== undefined && own.localPort === socket.remotePort && own.localAddress === socket.remoteAddress
  }

  private check (): void {
    if (this.measurement !== undefined) return
    if (this.acceptedSinceCheck === 0) {
      this.lastDelayMs = 0
      return
    }
    this.acceptedSinceCheck = 0
    this.begin()
  }

  private begin (): void {
    const { host, port } = parseAddress(this.options.address)
    const socket = net.connect({ host, port })
    socket.on('error', thrown => {
      if (this.measurement?.socket !== socket) return
      this.end()
      this.options.onFailed(thrown.message)
    })
    this.measurement = { socket, startedAtMs: this.options.timers.nowMs() }
  }

  private end (): void {
    const socket = this.measurement?.socket
    this.measurement = undefined
    socket?.destroy()
  }
}
