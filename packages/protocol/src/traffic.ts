/** Counts the messages that this process sends on its links, by kind. */

/** Messages of one kind. */
export interface LinkCount {
  messages: number
  /** Encoded size of the messages in bytes, without the transport's framing. */
  bytes: number
  /** Tasks that the messages carry. */
  tasks: number
}

/** A message that names its tasks by job. */
interface TaskCarrier {
  jobs?: ReadonlyArray<{ tasks?: readonly unknown[] | null }> | null
}

/** Counters of one process. Kinds are named by the stream's sender and the field of the message that is set. */
export class LinkTraffic {
  private readonly counts = new Map<string, LinkCount>()

  /** Counts one message. */
  add (sender: string, message: object, sizeBytes: number): void {
    const field = Object.keys(message)[0] ?? 'empty'
    const tasks = countTasks((message as Record<string, TaskCarrier | undefined>)[field])
    const isLoadOnly = field === 'report' && tasks === 0
    const count = this.resolve(`${sender}.${isLoadOnly ? 'load' : field}`)
    count.messages++
    count.bytes += sizeBytes
    count.tasks += tasks
  }

  /** Returns a copy of all counts by kind. */
  read (): Map<string, LinkCount> {
    return new Map([...this.counts].map(([kind, count]) => [kind, { ...count }]))
  }

  private resolve (kind: string): LinkCount {
    let count = this.counts.get(kind)
    if (count === undefined) {
      count = { messages: 0, bytes: 0, tasks: 0 }
      this.counts.set(kind, count)
    }
    return count
  }
}

function countTasks (body: TaskCarrier | undefined): number {
  let tasks = 0
  for (const job of body?.jobs ?? []) tasks += job.tasks?.length ?? 0
  return tasks
}

/** The counters of this process. */
export const linkTraffic = new LinkTraffic()
