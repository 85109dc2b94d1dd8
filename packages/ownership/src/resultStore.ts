/** Results of finished tasks within a memory bound, the oldest dropped first. */
import * as protocol from '@egretvalve/protocol'

const { TaskState } = protocol.wire

/** True when a report states the end of a task that ran. */
export function isFinal (report: protocol.wire.ITaskReport): boolean {
  return report.state === TaskState.TASK_STATE_FINISHED || report.state === TaskState.TASK_STATE_FAILED
}

function taskText (key: protocol.wire.ISubmissionKey, index: number): string {
  return `${protocol.submissionKeyText(key)}/${index}`
}

/** Keeps the bodies of results. */
export class ResultStore {
  private readonly bodies = new Map<string, Uint8Array>()
  private readonly dropped = new Set<string>()
  private sizeBytes = 0

  constructor (private readonly maxBytes: number) {}

  put (key: protocol.wire.ISubmissionKey, index: number, body: Uint8Array): void {
    this.bodies.set(taskText(key, index), body)
    this.sizeBytes += body.length
    for (const oldest of this.bodies.keys()) {
      if (this.sizeBytes <= this.maxBytes) return
      this.remove(oldest)
      this.dropped.add(oldest)
    }
  }

  get (key: protocol.wire.ISubmissionKey, index: number): Uint8Array | undefined {
    return this.bodies.get(taskText(key, index))
  }

  /** True when the result was dropped at the memory bound. */
  hasDropped (key: protocol.wire.ISubmissionKey, index: number): boolean {
    return this.dropped.has(taskText(key, index))
  }

  /** Forgets a result and whether it was dropped. */
  delete (key: protocol.wire.ISubmissionKey, index: number): void {
    const text = taskText(key, index)
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
