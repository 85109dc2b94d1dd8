/** Priority queue on a binary heap. `isBefore(a, b)` returns whether `a` is removed before `b`. */
export class Heap<T> {
  private readonly items: T[] = []

  constructor (private readonly isBefore: (a: T, b: T) => boolean) {}

  get size (): number {
    return this.items.length
  }

  /** Returns the first item without removing it; undefined when empty. */
  peek (): T | undefined {
    return this.items[0]
  }

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

  /** Removes and returns the first item; undefined when empty. */
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
