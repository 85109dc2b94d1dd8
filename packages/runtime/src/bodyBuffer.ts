/** Memory for a body of unknown length: blocks that are reused, so that a chunk of one byte costs one byte. */

/** Larger blocks would charge small bodies more than they hold; smaller ones cost more calls. */
const BLOCK_BYTES = 16 * 1024
/** Blocks kept for reuse. Without them, blocks of dropped bodies pile up until the next collection of garbage. */
const MAX_FREE_BLOCKS = 1_024

const freeBlocks: Buffer[] = []

/** Bytes of a body, in order. */
export class BodyBuffer {
  sizeBytes = 0
  /** The only chunk so far, which is not copied. */
  private single: Buffer | undefined
  private readonly blocks: Buffer[] = []
  private usedBytes = BLOCK_BYTES

  /** Appends a chunk. Returns by how many bytes the memory held has grown. */
  append (chunk: Buffer): number {
    const before = this.heldBytes
    this.sizeBytes += chunk.length
    if (this.sizeBytes === chunk.length) {
      this.single = chunk
    } else {
      if (this.single !== undefined) this.copy(this.single)
      this.single = undefined
      this.copy(chunk)
    }
    return this.heldBytes - before
  }

  /** Returns the whole body and gives the blocks back. */
  take (): Buffer {
    if (this.single !== undefined) return this.single
    const body = Buffer.allocUnsafeSlow(this.sizeBytes)
    let offset = 0
    for (const block of this.blocks) offset += block.copy(body, offset, 0, Math.min(BLOCK_BYTES, this.sizeBytes - offset))
    this.clear()
    return body
  }

  /** Gives the blocks back. */
  clear (): void {
    for (const block of this.blocks) if (freeBlocks.length < MAX_FREE_BLOCKS) freeBlocks.push(block)
    this.blocks.length = 0
    this.single = undefined
  }

  get heldBytes (): number {
    return this.single?.length ?? this.blocks.length * BLOCK_BYTES
  }

  private copy (chunk: Buffer): void {
    for (let offset = 0; offset < chunk.length;) {
      if (this.usedBytes === BLOCK_BYTES) {
        this.blocks.push(freeBlocks.pop() ?? Buffer.allocUnsafeSlow(BLOCK_BYTES))
        this.usedBytes = 0
      }
      const copied = chunk.copy(this.blocks.at(-1)!, this.usedBytes, offset)
      this.usedBytes += copied
      offset += copied
    }
  }
}
