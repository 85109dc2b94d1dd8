/** One submission at its owner: the reports of its tasks and its answer. */
import * as protocol from '@egretvalve/protocol'

const { wire } = protocol

const FINAL_STATES = new Set<protocol.wire.TaskState>([
  wire.TaskState.TASK_STATE_UNKNOWN,
  wire.TaskState.TASK_STATE_FINISHED,
  wire.TaskState.TASK_STATE_FAILED,
  wire.TaskState.TASK_STATE_NOT_RUN
])

/** Returns true for a state that a task can't leave. */
export function isFinalState (state: protocol.wire.TaskState | null | undefined): boolean {
  return FINAL_STATES.has(state ?? wire.TaskState.TASK_STATE_UNKNOWN)
}

/** The state of a submission that has been accepted. */
export class Job {
  readonly keyText: string
  readonly partition: number
  /** Set when the job has ended. */
  answer: protocol.wire.IAnswer | undefined
  isCancelled = false
  private readonly reports: Array<protocol.wire.ITaskReport | undefined>
  private remaining: number
  private readonly waiters = new Set<(answer: protocol.wire.IAnswer) => void>()

  constructor (readonly submission: protocol.wire.ISubmission, readonly acceptedAtMs: number) {
    this.keyText = protocol.submissionKeyText(submission.key!)
    this.partition = protocol.resolvePartition(submission.key!)
    this.remaining = submission.tasks!.length
    this.reports = new Array(this.remaining)
  }

  get key (): protocol.wire.ISubmissionKey {
    return this.submission.key!
  }

  get taskCount (): number {
    return this.reports.length
  }

  get remainingCount (): number {
    return this.remaining
  }

  /** Returns true when the task has ended. */
  hasEnded (index: number): boolean {
    return this.reports[index] !== undefined
  }

  /** Takes the final report of a task. A doubled or late report changes nothing. Returns true when it was the last one. */
  settle (report: protocol.wire.ITaskReport): boolean {
    const index = report.index ?? 0
    if (index >= this.reports.length || this.reports[index] !== undefined) return false
    this.reports[index] = report
    this.remaining--
    return this.remaining === 0
  }

  /** Ends the job with its final answer and tells everyone who waits. */
  finish (): protocol.wire.IAnswer {
    const code = this.isCancelled ? protocol.AnswerCode.Cancelled : undefined
    this.answer = protocol.createFinalAnswer(this.key, this.reports as protocol.wire.ITaskReport[], code)
    for (const waiter of this.waiters) waiter(this.answer)
    this.waiters.clear()
    return this.answer
  }

  /** Creates the answer for a caller who looks before the end. */
  createProgress (): protocol.wire.IAnswer {
    const done = this.taskCount - this.remaining
    return {
      key: this.key,
      kind: wire.AnswerKind.ANSWER_KIND_PENDING,
      code: protocol.AnswerCode.Pending,
      message: `${done} of ${this.taskCount} tasks have ended`,
      taskCount: this.taskCount,
      tasks: []
    }
  }

  /** Calls back with the answer; the function returned withdraws. */
  onAnswer (waiter: (answer: protocol.wire.IAnswer) => void): () => void {
    if (this.answer !== undefined) {
      waiter(this.answer)
      return () => {}
    }
    this.waiters.add(waiter)
    return () => { this.waiters.delete(waiter) }
  }
}
