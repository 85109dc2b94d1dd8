/** Carries the bytes of one direction of a connection, late or held back as the fault says. */
import type { Socket } from 'node:net'
import type * as settings from '@egretvalve/settings'
import type { DirectionFault } from './faults.ts'

/** Bytes held for one direction before the sender is paused. */
const MAX_HELD_BYTES = 4 * 1024 * 1024

interface HeldChunk {
  chunk: Buffer
  arrivedAtMs: number
}

/** One direction of a connection. */
export class Pump {
  private readonly held: HeldChunk[] = []
  private heldBytes = 0
  private isEnded = false
  private changed = createSignal()

  constructor (
    private readonly source: Socket,
    private readonly destination: Socket,
    private readonly timers: settings.Timers,
    private readonly readFault: () => DirectionFault
  ) {
    source.on('data', chunk => this.hold(chunk as Buffer))
    source.on('end', () => this.end())
    source.on('close', () => this.end())
    destination.on('close', () => this.wake())
  }

  /** Looks at the fault again after it has changed. */
  wake (): void {
    const { resolve } = this.changed
    this.changed = createSignal()
    resolve()
  }

  /** Carries bytes until the source ends or the destination closes. */
  async run (): Promise<void> {
    while (!this.destination.destroyed) {
      const { promise: change } = this.changed
      const next = this.held[0]
      if (next === undefined && this.isEnded && !this.readFault().isCut) break
      if (next === undefined || this.readFault().isCut) await change
      else await this.deliver(next)
    }
    this.destination.end()
  }

  private async deliver (next: HeldChunk): Promise<void> {
    const remainingMs = next.arrivedAtMs + this.readFault().delayMs - this.timers.nowMs()
    if (remainingMs > 0) await this.timers.sleep(remainingMs)
    if (this.readFault().isCut || this.destination.destroyed) return
    this.held.shift()
    this.heldBytes -= next.chunk.length
    this.destination.write(next.chunk)
    if (this.heldBytes < MAX_HELD_BYTES) this.source.resume()
  }

  private hold (chunk: Buffer): void {
    this.held.push({ chunk, arrivedAtMs: this.timers.nowMs() })
    this.heldBytes += chunk.length
    if (this.heldBytes >= MAX_HELD_BYTES) this.source.pause()
    this.wake()
  }

  private end (): void {
    this.isEnded = true
    this.wake()
  }
}

interface Signal {
  promise: Promise<void>
  resolve: () => void
}

function createSignal (): Signal {
  let resolve = (): void => {}
  const promise = new Promise<void>(_resolve => { resolve = _resolve })
  return { promise, resolve }
}
