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

/** Code of the interim answer to those who wait for a job that another entry owns now. It never reaches a caller. */
export const MOVED_CODE = 'moved'

function createMovedAnswer (key: protocol.wire.ISubmissionKey): protocol.wire.IAnswer {
  return { key, kind: wire.AnswerKind.ANSWER_KIND_PENDING, code: MOVED_CODE, tasks: [] }
}

/** The state of a submission that has been accepted. */
export class Job {
  readonly keyText: string
  readonly partition: number
  isCancelled = false
  /** True once another entry owns the job; reports that still arrive here change nothing. */
  isMoved = false
  /** True while only the records of agents are known, and not the work itself. */
  needsSubmission = false
  private readonly heldByAgents = new Set<number>()
  readonly taskCount: number
  private reports: Array<protocol.wire.ITaskReport | undefined>
  private remaining: number
  private finalAnswer: protocol.wire.IAnswer | undefined
  private encodedAnswer: Uint8Array | undefined
  private readonly waiters = new Set<(answer: protocol.wire.IAnswer) => void>()

  constructor (public submission: protocol.wire.ISubmission, readonly acceptedAtMs: number) {
    this.keyText = protocol.submissionKeyText(submission.key!)
    this.partition = protocol.resolvePartition(submission.key!)
    this.taskCount = submission.tasks!.length
    this.remaining = this.taskCount
    this.reports = new Array(this.taskCount)
  }

  get key (): protocol.wire.ISubmissionKey {
    return this.submission.key!
  }

  /** True when the job has its answer. */
  get hasAnswer (): boolean {
    return this.finalAnswer !== undefined || this.encodedAnswer !== undefined
  }

  /** The answer of a job that has ended. */
  get answer (): protocol.wire.IAnswer | undefined {
    if (this.finalAnswer !== undefined || this.encodedAnswer === undefined) return this.finalAnswer
    return wire.Answer.decode(this.encodedAnswer)
  }

  get remainingCount (): number {
    return this.remaining
  }

  /** Notes that an agent has a task, which an earlier owner sent. */
  hold (index: number): void {
    this.heldByAgents.add(index)
  }

  /** Returns true for a task that an earlier owner sent to an agent. */
  isHeld (index: number): boolean {
    return this.heldByAgents.has(index)
  }

  /** Returns the tasks that have neither ended nor were sent by an earlier owner. */
  missingIndexes (): number[] {
    return [...this.reports.keys()].filter(index => !this.hasEnded(index) && !this.isHeld(index))
  }

  /** Leaves the job to the entry that owns its partition now; those who wait ask there. */
  moveAway (): void {
    this.isMoved = true
    for (const waiter of this.waiters) waiter(createMovedAnswer(this.key))
    this.waiters.clear()
  }

  /** Returns true when the task has ended. */
  hasEnded (index: number): boolean {
    return this.hasAnswer || this.reports[index] !== undefined
  }

  /** Takes the final report of a task. A doubled or late report changes nothing. Returns true when it was the last one. */
  settle (report: protocol.wire.ITaskReport): boolean {
    const index = report.index ?? 0
    if (index >= this.taskCount || this.hasEnded(index)) return false
    this.reports[index] = report
    this.remaining--
    return this.remaining === 0
  }

  /** Ends the job with its final answer and tells everyone who waits. */
  finish (): protocol.wire.IAnswer {
    const code = this.isCancelled ? protocol.AnswerCode.Cancelled : undefined
    const answer = protocol.createFinalAnswer(this.key, this.reports as protocol.wire.ITaskReport[], code)
    this.finalAnswer = answer
    for (const waiter of this.waiters) waiter(answer)
    this.waiters.clear()
    return answer
  }

  /**
   * Drops the work of a job that has ended and keeps its answer encoded. Returns the size of the encoded answer in bytes.
   */
  compact (): number {
    if (this.finalAnswer !== undefined) {
      // A copy of its own: the encoder's buffer is shared with messages that live shorter.
      this.encodedAnswer = new Uint8Array(wire.Answer.encode(this.finalAnswer).finish())
      this.finalAnswer = undefined
    }
    this.submission = { key: this.key, service: this.submission.service, submittedAtMs: this.submission.submittedAtMs, tasks: [] }
    this.reports = []
    return this.encodedAnswer?.length ?? 0
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
    const { answer } = this
    if (answer !== undefined) {
      waiter(answer)
      return () => {}
    }
    this.waiters.add(waiter)
    return () => { this.waiters.delete(waiter) }
  }
}
