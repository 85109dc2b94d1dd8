/** A submission at the entry that owns it: the reports of its tasks and its answer. */
import * as protocol from '@egretvalve/protocol'

const { wire } = protocol

const FINAL_STATES = new Set<protocol.wire.TaskState>([
  wire.TaskState.TASK_STATE_UNKNOWN,
  wire.TaskState.TASK_STATE_FINISHED,
  wire.TaskState.TASK_STATE_FAILED,
  wire.TaskState.TASK_STATE_NOT_RUN
])

/** Returns true for the state of a task that has ended. A missing state counts as unknown, which is final. */
export function isFinalState (state: protocol.wire.TaskState | null | undefined): boolean {
  return FINAL_STATES.has(state ?? wire.TaskState.TASK_STATE_UNKNOWN)
}

/** Code of the internal answer to waiters of a job that another entry now owns. The gateway then retries at the new owner; callers never see it. */
export const MOVED_CODE = 'moved'

function createMovedAnswer (key: protocol.wire.ISubmissionKey): protocol.wire.IAnswer {
  return { key, kind: wire.AnswerKind.ANSWER_KIND_PENDING, code: MOVED_CODE, tasks: [] }
}

/** The state of an accepted submission. */
export class Job {
  readonly keyText: string
  readonly partition: number
  isCancelled = false
  /** True once another entry owns the job. Later reports are ignored here. */
  isMoved = false
  /** True while the job is known only from the start records of agents and its tasks' bodies are missing. */
  needsSubmission = false
  private readonly adoptedIndexes = new Set<number>()
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

  get hasAnswer (): boolean {
    return this.finalAnswer !== undefined || this.encodedAnswer !== undefined
  }

  /** The final answer, or undefined while the job runs. */
  get answer (): protocol.wire.IAnswer | undefined {
    if (this.finalAnswer !== undefined || this.encodedAnswer === undefined) return this.finalAnswer
    return wire.Answer.decode(this.encodedAnswer)
  }

  get remainingCount (): number {
    return this.remaining
  }

  /** Marks a task that an earlier owner sent to an agent. */
  markAdopted (index: number): void {
    this.adoptedIndexes.add(index)
  }

  /** Returns true if an earlier owner sent the task to an agent. */
  isAdopted (index: number): boolean {
    return this.adoptedIndexes.has(index)
  }

  /** Returns the indexes of the tasks that have neither ended nor been sent by an earlier owner. */
  unsentIndexes (): number[] {
    return [...this.reports.keys()].filter(index => !this.hasEnded(index) && !this.isAdopted(index))
  }

  /** Marks the job as owned by another entry and notifies its waiters, which then look it up there. */
  markMoved (): void {
    this.isMoved = true
    for (const waiter of this.waiters) waiter(createMovedAnswer(this.key))
    this.waiters.clear()
  }

  hasEnded (index: number): boolean {
    return this.hasAnswer || this.reports[index] !== undefined
  }

  /** Records the final report of a task; duplicate and late reports are ignored. Returns true if it completes the job. */
  recordReport (report: protocol.wire.ITaskReport): boolean {
    const index = report.index ?? 0
    if (index >= this.taskCount || this.hasEnded(index)) return false
    this.reports[index] = report
    this.remaining--
    return this.remaining === 0
  }

  /** Creates the final answer and notifies all waiters. */
  finish (): protocol.wire.IAnswer {
    const code = this.isCancelled ? protocol.AnswerCode.Cancelled : undefined
    const answer = protocol.createFinalAnswer(this.key, this.reports as protocol.wire.ITaskReport[], code)
    this.finalAnswer = answer
    for (const waiter of this.waiters) waiter(answer)
    this.waiters.clear()
    return answer
  }

  /** Releases the memory of an ended job: drops its tasks and reports and encodes its answer. Returns the size of the encoded answer in bytes. */
  compact (): number {
    if (this.finalAnswer !== undefined) {
      // Copied, because the encoder's buffer is shared with shorter-lived messages, whose memory a view would retain.
      this.encodedAnswer = new Uint8Array(wire.Answer.encode(this.finalAnswer).finish())
      this.finalAnswer = undefined
    }
    this.submission = { key: this.key, service: this.submission.service, submittedAtMs: this.submission.submittedAtMs, tasks: [] }
    this.reports = []
    return this.encodedAnswer?.length ?? 0
  }

  /** Creates the pending answer, which states how many tasks have ended. */
  createProgressAnswer (): protocol.wire.IAnswer {
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

  /** Calls `waiter` with the answer, immediately if it exists. Returns a function that removes the waiter. */
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
