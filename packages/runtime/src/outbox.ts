/** Stream writer with backpressure. */
import type { LinkStream } from './links.ts'

/** Writes messages to a stream in order and queues them while its write buffer is full. The queue is unbounded. */
export class Outbox<Out> {
  private readonly waiting: Out[] = []
  private isBlocked = false
  private isClosed = false
  private isEnding = false

  constructor (private readonly stream: LinkStream<unknown, Out>) {
    stream.once('close', () => { this.isClosed = true })
  }

  /** Number of queued messages. */
  get waitingCount (): number {
    return this.waiting.length
  }

  /** Writes or queues a message. Returns false if the stream has ended. */
  send (message: Out): boolean {
    if (this.isClosed || this.isEnding) return false
    if (this.isBlocked) this.waiting.push(message)
    else this.write(message)
    return true
  }

  /** Ends the stream after the queued messages have been written. */
  end (): void {
    this.isEnding = true
    if (!this.isBlocked && !this.isClosed) this.stream.end()
  }

  /** Discards the queued messages and rejects further ones. Does not end the stream. */
  close (): void {
    this.isClosed = true
    this.waiting.length = 0
  }

  private write (message: Out): void {
    if (this.stream.write(message)) return
    this.isBlocked = true
    this.stream.once('drain', () => { this.resume() })
  }

  private resume (): void {
    this.isBlocked = false
    while (!this.isBlocked && !this.isClosed) {
      const next = this.waiting.shift()
      if (next === undefined) break
      this.write(next)
    }
    if (this.isEnding && !this.isBlocked && !this.isClosed) this.stream.end()
  }
}
