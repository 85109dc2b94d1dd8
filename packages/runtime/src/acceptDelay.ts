/** Measures how long new connections wait until this process accepts them. */
import * as net from 'node:net'
import type * as settings from '@egretvalve/settings'
import { parseAddress } from './addresses.ts'

/** Minimum time between two measurements, in milliseconds. */
const MEASURE_PERIOD_MS = 100
/** Time after which a measurement is given up, in milliseconds. */
const MAX_MEASUREMENT_MS = 10_000

/** Dependencies of the measurement. */
export interface AcceptDelayOptions {
  timers: settings.Timers
  /** Address on which the server listens. */
  address: string
  /** Called when a measurement fails, for example without a free descriptor; once until one succeeds again. */
  onFailed: (reason: string) => void
}

/**
 * Connects to the own listening socket and measures the time until the connection is accepted. The event loop accepts one connection in
 * each iteration, so new connections can wait for seconds in the kernel while timers are nearly punctual. Measures only while
 * callers open connections.
 */
export class AcceptDelay {
  private measurement: { socket: net.Socket, startedAtMs: number } | undefined
  /** Results of the last measurements, the latest first, in milliseconds. */
  private lastDelayMs = 0
  private previousDelayMs = 0
  private hasFailed = false
  private acceptedSinceCheck = 0
  private readonly handle: settings.TimerHandle

  constructor (private readonly options: AcceptDelayOptions) {
    this.handle = options.timers.every(MEASURE_PERIOD_MS, () => { this.check() })
  }

  /** Time for which connections wait, in milliseconds: the smaller of two consecutive measurements, since a single one may be a stall that is over. */
  get valueMs (): number {
    return Math.min(this.lastDelayMs, Math.max(this.previousDelayMs, this.pendingMs))
  }

  /** Least time for which a connection that is accepted now has waited, in milliseconds. Those that arrived after the current measurement began are accepted after it. */
  get leastWaitMs (): number {
    return this.pendingMs
  }

  /** Records an accepted connection. Returns true, and closes it, if it belongs to the measurement. */
  handleAccepted (socket: net.Socket): boolean {
    if (!this.isMeasurement(socket)) {
      this.acceptedSinceCheck++
      return false
    }
    this.hasFailed = false
    this.end(this.pendingMs)
    socket.destroy()
    return true
  }

  stop (): void {
    this.handle.cancel()
    this.end(0)
  }

  private get pendingMs (): number {
    return this.measurement === undefined ? 0 : this.options.timers.nowMs() - this.measurement.startedAtMs
  }

  private isMeasurement (socket: net.Socket): boolean {
    const own = this.measurement?.socket
    return own?.localPort !== undefined && own.localPort === socket.remotePort && own.localAddress === socket.remoteAddress
  }

  private check (): void {
    if (this.measurement !== undefined) {
      if (this.pendingMs > MAX_MEASUREMENT_MS) this.fail('not accepted in time')
      return
    }
    if (this.acceptedSinceCheck === 0) {
      this.lastDelayMs = 0
      this.previousDelayMs = 0
      return
    }
    this.acceptedSinceCheck = 0
    this.begin()
  }

  private begin (): void {
    const { host, port } = parseAddress(this.options.address)
    const socket = net.connect({ host, port })
    socket.on('error', thrown => { if (this.measurement?.socket === socket) this.fail(thrown.message) })
    socket.on('close', () => { if (this.measurement?.socket === socket) this.fail('closed before it was accepted') })
    this.measurement = { socket, startedAtMs: this.options.timers.nowMs() }
  }

  private fail (reason: string): void {
    this.end(0)
    if (!this.hasFailed) this.options.onFailed(reason)
    this.hasFailed = true
  }

  private end (delayMs: number): void {
    this.previousDelayMs = this.lastDelayMs
    this.lastDelayMs = delayMs
    const socket = this.measurement?.socket
    this.measurement = undefined
    socket?.destroy()
  }
}
