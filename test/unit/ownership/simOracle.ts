/** The test oracle: checks all starts and answers of a simulation against the guarantees of ownership. */
import * as protocol from '@egretvalve/protocol'

/** Guarantees that a schedule can violate. */
export enum Violation {
  StartedTwice = 'started twice',
  FalseNotRun = 'not run, but it ran',
  PartialAnswer = 'partial answer',
  WrongAnswer = 'answer of another submission',
  NoAnswer = 'no answer'
}

/** Number of answers by kind. */
export interface AnswerCounts {
  complete: number
  failed: number
  refused: number
  unknown: number
}

/** Observes every submission, start and answer. */
export class Oracle {
  readonly violations: Violation[] = []
  readonly answers: AnswerCounts = { complete: 0, failed: 0, refused: 0, unknown: 0 }
  starts = 0
  private readonly startsByTask = new Map<string, number>()
  private readonly submissions = new Map<string, number>()
  private readonly refusedAtSubmission = new Map<string, number>()

  resultOf (key: protocol.wire.ISubmissionKey, index: number): Uint8Array {
    return Buffer.from(`${protocol.submissionKeyText(key)}/${index}`)
  }

  recordSubmission (key: protocol.wire.ISubmissionKey): void {
    const keyText = protocol.submissionKeyText(key)
    this.submissions.set(keyText, (this.submissions.get(keyText) ?? 0) + 1)
  }

  recordStart (key: protocol.wire.ISubmissionKey, index: number): void {
    this.starts += 1
    const keyText = protocol.submissionKeyText(key)
    const taskText = `${keyText}/${index}`
    const count = (this.startsByTask.get(taskText) ?? 0) + 1
    this.startsByTask.set(taskText, count)
    if (count > 1) this.violations.push(Violation.StartedTwice)
    if (this.refusedAtSubmission.get(keyText) === this.submissions.get(keyText)) this.violations.push(Violation.FalseNotRun)
  }

  recordAnswer (answer: protocol.wire.IAnswer, taskCount: number): void {
    const key = answer.key ?? {}
    switch (answer.kind) {
      case protocol.wire.AnswerKind.ANSWER_KIND_COMPLETE:
        this.answers.complete += 1
        this.checkComplete(key, answer.tasks ?? [], taskCount)
        return
      case protocol.wire.AnswerKind.ANSWER_KIND_REFUSED:
        this.answers.refused += 1
        this.checkRefused(key, taskCount)
        return
      case protocol.wire.AnswerKind.ANSWER_KIND_FAILED:
        this.answers.failed += 1
        this.checkFailed(key, answer.tasks ?? [], taskCount)
        return
      default:
        this.answers.unknown += 1
    }
  }

  private checkComplete (key: protocol.wire.ISubmissionKey, tasks: readonly protocol.wire.ITaskReport[], taskCount: number): void {
    if (tasks.length !== taskCount) this.violations.push(Violation.PartialAnswer)
    for (const task of tasks) {
      const expected = this.resultOf(key, task.index ?? 0)
      if (task.body == null || Buffer.compare(expected, task.body) !== 0) this.violations.push(Violation.WrongAnswer)
    }
  }

  private checkFailed (key: protocol.wire.ISubmissionKey, tasks: readonly protocol.wire.ITaskReport[], taskCount: number): void {
    if (tasks.length !== taskCount || tasks.some(task => task.body != null)) this.violations.push(Violation.PartialAnswer)
    for (const task of tasks) {
      const hasRun = this.startsByTask.has(`${protocol.submissionKeyText(key)}/${task.index ?? 0}`)
      if (task.state === protocol.wire.TaskState.TASK_STATE_NOT_RUN && hasRun) this.violations.push(Violation.FalseNotRun)
    }
  }

  private checkRefused (key: protocol.wire.ISubmissionKey, taskCount: number): void {
    const keyText = protocol.submissionKeyText(key)
    for (let index = 0; index < taskCount; index++) {
      if (this.startsByTask.has(`${keyText}/${index}`)) this.violations.push(Violation.FalseNotRun)
    }
    this.refusedAtSubmission.set(keyText, this.submissions.get(keyText) ?? 0)
  }
}
