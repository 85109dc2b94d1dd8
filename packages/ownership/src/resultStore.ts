/** Results of finished tasks, limited in memory. */
import * as protocol from '@egretvalve/protocol'

const { TaskState } = protocol.wire

/** True when the report is of a task that ran and has ended. */
export function isFinal (report: protocol.wire.ITaskReport): boolean {
  return report.state === TaskState.TASK_STATE_FINISHED || report.state === TaskState.TASK_STATE_FAILED
}

function taskKey (key: protocol.wire.ISubmissionKey, index: number): string {
  return `${protocol.submissionKeyText(key)}/${index}`
}

/** Stores the bodies of results up to a number of bytes; the oldest are dropped first. */
export class ResultStore {
  private readonly bodies = new Map<string, Uint8Array>()
  private readonly dropped = new Set<string>()
  private sizeBytes = 0

  constructor (private readonly maxBytes: number) {}

  put (key: protocol.wire.ISubmissionKey, index: number, body: Uint8Array): void {
    this.bodies.set(taskKey(key, index), body)
    this.sizeBytes += body.length
    for (const oldest of this.bodies.keys()) {
      if (this.sizeBytes <= this.maxBytes) return
      this.remove(oldest)
      this.dropped.add(oldest)
    }
  }

  get (key: protocol.wire.ISubmissionKey, index: number): Uint8Array | undefined {
    return this.bodies.get(taskKey(key, index))
  }

  /** True when the result was dropped because of the memory limit. */
  hasDropped (key: protocol.wire.ISubmissionKey, index: number): boolean {
    return this.dropped.has(taskKey(key, index))
  }

  /** Removes a result and the record that it was dropped. */
  delete (key: protocol.wire.ISubmissionKey, index: number): void {
    const text = taskKey(key, index)
    this.remove(text)
    this.dropped.delete(text)
  }

  private remove (text: string): void {
    const body = this.bodies.get(text)
    if (body === undefined) return
    this.bodies.delete(text)
    this.sizeBytes -= body.length
  }
}
