/** Batches log lines and writes them without waiting for a slow reader. */
import { Writable } from 'node:stream'

/** Longest time that lines are buffered. A killed process loses the lines of this period. */
const FLUSH_INTERVAL_MS = 200
/** Longest write, in characters, unless a single line is longer. A write of up to `PIPE_BUF` bytes is atomic: lines of processes that share a pipe don't mix. */
const MAX_WRITE_LENGTH = 4 * 1024
/** Size of the target's unread backlog above which lines are dropped. */
const MAX_BACKLOG_BYTES = 1024 * 1024

/** A line buffer in front of an output stream. */
export class LineBuffer extends Writable {
  /** Number of lines dropped because the reader was too slow. */
  droppedCount = 0
  private text = ''
  private timer: NodeJS.Timeout | undefined

  constructor (private readonly target: NodeJS.WritableStream & { writableLength?: number }) {
    super({ decodeStrings: false })
  }

  override _write (chunk: string, _encoding: BufferEncoding, callback: () => void): void {
    this.append(chunk)
    callback()
  }

  /** Adds whole lines, like `write`, without the cost of a stream. */
  append (lines: string): void {
    if (this.text.length + lines.length > MAX_WRITE_LENGTH) this.flush()
    this.text += lines
    this.timer ??= setTimeout(() => { this.flush() }, FLUSH_INTERVAL_MS)
  }

  override _final (callback: () => void): void {
    this.flush()
    callback()
  }

  /** Writes the buffered lines, or drops them if the target's backlog is too large. */
  flush (): void {
    clearTimeout(this.timer)
    this.timer = undefined
    const { text } = this
    this.text = ''
    if (text === '') return
    if ((this.target.writableLength ?? 0) > MAX_BACKLOG_BYTES) this.droppedCount += text.split('\n').length - 1
    else this.target.write(text)
  }
}
