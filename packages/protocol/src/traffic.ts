/** Counts the messages sent on the links of this process, by kind. */

/** Totals of one kind of message. */
export interface MessageTotals {
  messages: number
  /** Encoded size in bytes, without transport framing. */
  bytes: number
  /** Number of tasks in the messages. */
  tasks: number
}

/** A message body with tasks grouped by job. */
interface JobsBody {
  jobs?: ReadonlyArray<{ tasks?: readonly unknown[] | null }> | null
}

/** Message counters by kind. A kind is named `sender.field`, after the sender and the first field that is set in the message; a report without tasks counts as `load`. */
export class LinkTraffic {
  private readonly counts = new Map<string, MessageTotals>()

  add (sender: string, message: object, sizeBytes: number): void {
    const field = Object.keys(message)[0] ?? 'empty'
    const tasks = countTasks((message as Record<string, JobsBody | undefined>)[field])
    const isLoadOnly = field === 'report' && tasks === 0
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

function countTasks (body: JobsBody | undefined): number {
  let tasks = 0
  for (const job of body?.jobs ?? []) tasks += job.tasks?.length ?? 0
  return tasks
}

/** Message counters of this process. */
export const linkTraffic = new LinkTraffic()
