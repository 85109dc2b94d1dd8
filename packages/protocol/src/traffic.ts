/** Counts the messages sent on the links of this process, by kind. */

/** Totals of one kind of message. */
export interface MessageTotals {
  messages: number
  /** Encoded size in bytes, without transport framing. */
  bytes: number
  /** Number of tasks in the messages. */
  tasks: number
}

/** The parts of a message body that are counted: tasks grouped by job, and what a report may hold beside a load. */
interface Body {
  jobs?: ReadonlyArray<{ tasks?: readonly unknown[] | null }> | null
  ends?: readonly unknown[] | null
  slow?: readonly unknown[] | null
  crashes?: readonly unknown[] | null
}

/** Message counters by kind. A kind is named `sender.field`, after the sender and the first field that is set in the message; a report that holds nothing but a load counts as `load`. */
export class LinkTraffic {
  private readonly counts = new Map<string, MessageTotals>()

  add (sender: string, message: object, sizeBytes: number): void {
    const field = Object.keys(message)[0] ?? 'empty'
    const body = (message as Record<string, Body | undefined>)[field]
    const tasks = countTasks(body)
    const isLoadOnly = field === 'report' && tasks === 0 && [body?.ends, body?.slow, body?.crashes].every(part => part == null || part.length === 0)
    const count = this.getOrCreate(`${sender}.${isLoadOnly ? 'load' : field}`)
    count.messages++
    count.bytes += sizeBytes
    count.tasks += tasks
  }

  /** Returns a copy of all counters by kind. */
  read (): Map<string, MessageTotals> {
    return new Map([...this.counts].map(([kind, count]) => [kind, { ...count }]))
  }

  private getOrCreate (kind: string): MessageTotals {
    let count = this.counts.get(kind)
    if (count === undefined) {
      count = { messages: 0, bytes: 0, tasks: 0 }
      this.counts.set(kind, count)
    }
    return count
  }
}

function countTasks (body: Body | undefined): number {
  let tasks = 0
  for (const job of body?.jobs ?? []) tasks += job.tasks?.length ?? 0
  return tasks
}

/** Message counters of this process. */
export const linkTraffic = new LinkTraffic()
