/** Writes to a stream with back pressure: messages wait in order while the stream is full. */
import type { LinkStream } from './links.ts'

/** Sends messages in order and pauses while the peer reads slowly. */
export class Outbox<Out> {
  private readonly waiting: Out[] = []
  private isBlocked = false
  private isClosed = false
  private isEnding = false

  constructor (private readonly stream: LinkStream<unknown, Out>) {
    stream.once('close', () => { this.isClosed = true })
  }

  /** Number of messages that wait for the peer to read. */
  get waitingCount (): number {
    return this.waiting.length
  }

  /** Sends a message, or returns false when the stream has ended. */
  send (message: Out): boolean {
    if (this.isClosed || this.isEnding) return false
    if (this.isBlocked) this.waiting.push(message)
    else this.write(message)
    return true
  }

  /** Ends the stream once everything sent so far has been written. */
  end (): void {
    this.isEnding = true
    if (!this.isBlocked && !this.isClosed) this.stream.end()
  }

  /** Marks the stream as ended; later messages are refused. */
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
