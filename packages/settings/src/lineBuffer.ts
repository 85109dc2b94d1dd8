/** Gathers log lines and writes them together, without ever waiting for the reader. */
import { Writable } from 'node:stream'

/** Time for which lines wait for others, in milliseconds: a process that is killed loses the lines of this time. */
const FLUSH_MS = 200
/** Size from which lines are written at once, in characters. */
const FLUSH_LENGTH = 32 * 1024
/** Largest size of lines that a slow reader has not taken, in bytes; more are dropped. */
const MAX_WAITING_BYTES = 1024 * 1024

/** A stream of lines in front of standard output. */
export class LineBuffer extends Writable {
  /** Lines dropped because the reader was too slow. */
  droppedCount = 0
  private text = ''
  private timer: NodeJS.Timeout | undefined

  constructor (private readonly target: NodeJS.WritableStream & { writableLength?: number }) {
    super({ decodeStrings: false })
  }

  override _write (chunk: string, _encoding: BufferEncoding, callback: () => void): void {
    this.text += chunk
    if (this.text.length >= FLUSH_LENGTH) this.flush()
    else this.timer ??= setTimeout(() => { this.flush() }, FLUSH_MS)
    callback()
  }

  override _final (callback: () => void): void {
    this.flush()
    callback()
  }

  /** Writes what waits. */
  flush (): void {
    clearTimeout(this.timer)
    this.timer = undefined
    const { text } = this
    this.text = ''
    if (text === '') return
    if ((this.target.writableLength ?? 0) > MAX_WAITING_BYTES) this.droppedCount += text.split('\n').length - 1
    else this.target.write(text)
  }
}
