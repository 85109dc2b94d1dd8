/** Relays one direction of a proxied connection and applies its fault. */
import type { Socket } from 'node:net'
import type * as settings from '@egretvalve/settings'
import type { DirectionFault } from './faults.ts'

/** Buffered bytes per direction from which on the source is paused. */
const MAX_HELD_BYTES = 4 * 1024 * 1024

interface HeldChunk {
  chunk: Buffer
  arrivedAtMs: number
}

/** Relays bytes from `source` to `destination`, in order and subject to the current fault. */
export class StreamRelay {
  private readonly held: HeldChunk[] = []
  private heldBytes = 0
  /** True once the current midway cut has delivered its half chunk. */
  private isHalved = false
  private isEnded = false
  private changed = createDeferred()

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

  /** Re-evaluates the fault and the state of both sockets. Call it after either has changed. */
  wake (): void {
    const { resolve } = this.changed
    this.changed = createDeferred()
    resolve()
  }

  /** Relays bytes until the source has ended and the buffer is empty, or the destination closes. */
  async run (): Promise<void> {
    while (!this.destination.destroyed) {
      const { promise: change } = this.changed
      const next = this.held[0]
      if (next === undefined && this.isEnded && !this.readFault().isCut) {
        const { endDelayMs = 0 } = this.readFault()
        if (endDelayMs > 0) await this.timers.sleep(endDelayMs)
        break
      }
      if (next !== undefined) this.deliverHalf(next)
      if (next === undefined || this.readFault().isCut) await change
      else await this.deliver(next)
    }
    this.destination.end()
  }

  /** Delivers the first half of a chunk, once per midway cut. */
  private deliverHalf (next: HeldChunk): void {
    if (this.readFault().isMidway !== true) this.isHalved = false
    else if (!this.isHalved) {
      this.isHalved = true
      const half = next.chunk.subarray(0, next.chunk.length >> 1)
      next.chunk = next.chunk.subarray(half.length)
      this.heldBytes -= half.length
      this.destination.write(half)
    }
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

interface Deferred {
  promise: Promise<void>
  resolve: () => void
}

function createDeferred (): Deferred {
  let resolve = (): void => {}
  const promise = new Promise<void>(_resolve => { resolve = _resolve })
  return { promise, resolve }
}
