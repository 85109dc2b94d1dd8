/** Binary min-heap of waiting items by due time, then by arrival. */
import type { WaitingItem } from './waitingQueue.ts'

function precedes<T> (left: WaitingItem<T>, right: WaitingItem<T>): boolean {
  if (left.dueAtMs !== right.dueAtMs) return left.dueAtMs < right.dueAtMs
  return left.sequence < right.sequence
}

/** Heap of the waiting items of one class and team. */
export class DueHeap<T> {
  /** Expected work of the items that still wait, in milliseconds of run time. Maintained by the queue. */
  workMs = 0
  private readonly items: Array<WaitingItem<T>> = []

  get first (): WaitingItem<T> | undefined {
    return this.items[0]
  }

  push (item: WaitingItem<T>): void {
    let index = this.items.push(item) - 1
    while (index > 0) {
      const parent = (index - 1) >> 1
      if (!precedes(item, this.items[parent]!)) break
      this.items[index] = this.items[parent]!
      index = parent
    }
    this.items[index] = item
  }

  shift (): WaitingItem<T> | undefined {
    const first = this.items[0]
    const last = this.items.pop()
    if (last !== undefined && this.items.length > 0) this.siftDown(last)
    return first
  }

  private siftDown (item: WaitingItem<T>): void {
    let index = 0
    for (let child = this.earlierChild(0); child !== undefined; child = this.earlierChild(index)) {
      if (!precedes(this.items[child]!, item)) break
      this.items[index] = this.items[child]!
      index = child
    }
    this.items[index] = item
  }

  private earlierChild (index: number): number | undefined {
    const left = 2 * index + 1
    const right = left + 1
    if (left >= this.items.length) return undefined
    if (right < this.items.length && precedes(this.items[right]!, this.items[left]!)) return right
    return left
  }
}
