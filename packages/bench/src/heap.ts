/** A binary heap. */

/** A priority queue; `isBefore` tells which of two items comes out first. */
export class Heap<T> {
  private readonly items: T[] = []

  constructor (private readonly isBefore: (a: T, b: T) => boolean) {}

  /** Number of items held. */
  get size (): number {
    return this.items.length
  }

  /** Returns the first item without removing it. */
  peek (): T | undefined {
    return this.items[0]
  }

  /** Adds an item. */
  push (item: T): void {
    let index = this.items.push(item) - 1
    while (index > 0) {
      const parent = (index - 1) >> 1
      if (!this.isBefore(item, this.items[parent]!)) break
      this.items[index] = this.items[parent]!
      index = parent
    }
    this.items[index] = item
  }

  /** Removes and returns the first item. */
  pop (): T | undefined {
    const first = this.items[0]
    const last = this.items.pop()
    if (last !== undefined && this.items.length > 0) this.siftDown(last)
    return first
  }

  private siftDown (item: T): void {
    let index = 0
    for (;;) {
      let child = 2 * index + 1
      if (child >= this.items.length) break
      if (child + 1 < this.items.length && this.isBefore(this.items[child + 1]!, this.items[child]!)) child++
      if (!this.isBefore(this.items[child]!, item)) break
      this.items[index] = this.items[child]!
      index = child
    }
    this.items[index] = item
  }
}
