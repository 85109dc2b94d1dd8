/** Submission intake: joins, refuses or dispatches submissions, and lets callers wait for their answers. */
import * as protocol from '@egretvalve/protocol'
import type * as settings from '@egretvalve/settings'
import type { Dispatcher } from '../dispatch/dispatcher.ts'
import { events } from '../events.ts'
import { JoinKind, type JobRegistry } from './registry.ts'
import type { Job } from './job.ts'
import * as results from 'ts-results'

/** Dependencies of the intake. */
export interface IntakeOptions {
  timers: settings.Timers
  log: settings.Log
  metrics: settings.Metrics
  registry: JobRegistry
  dispatcher: Dispatcher
  /** Applies the team's configuration to a new submission, or returns the refusal. */
  configure: (submission: protocol.wire.ISubmission) => results.Result<protocol.wire.ISubmission, protocol.wire.IAnswer>
}

/** The job of a submission, the answer that refuses it, or a conflict with other work under the same id. */
export type IntakeResult =
  | { kind: 'accepted', job: Job }
  | { kind: 'answered', answer: protocol.wire.IAnswer }
  | { kind: 'conflict', message: string }

/** Handles submissions at the entry that owns them. */
export class Intake {
  private isDraining = false

  constructor (private readonly options: IntakeOptions) {}

  /** Refuses new submissions from now on. Resubmissions still join their jobs. */
  drain (): void {
    this.isDraining = true
  }

  /** Joins a submission to its job, or admits it and dispatches its tasks. */
  submit (submission: protocol.wire.ISubmission): IntakeResult {
    const known = this.options.registry.find(submission.key!)
    const admitted = known === undefined ? this.admit(submission) : results.Ok(submission)
    if (admitted.err) {
      const answer = admitted.val
      this.options.metrics.increment('submissions.refused')
      this.options.log.event(events.SubmissionRefused, { submissionId: submission.key!.submissionId ?? '', team: submission.key!.team ?? '', code: answer.code ?? '' })
      return { kind: 'answered', answer }
    }
    const { kind, job } = this.options.registry.join(admitted.val)
    switch (kind) {
      case JoinKind.Conflict:
        return { kind: 'conflict', message: 'submissionId: this id was used for other work; expected a new id or the same work' }
      case JoinKind.Joined:
        return { kind: 'accepted', job }
      case JoinKind.Created:
        this.start(job)
        return { kind: 'accepted', job }
      default:
        return protocol.assertNever(kind)
    }
  }

  /** Creates the final answer of a job whose last task has ended, and retains it. */
  finish (job: Job): void {
    const answer = job.finish()
    this.options.registry.retain(job)
    this.options.metrics.increment('submissions.answered')
    this.options.metrics.timing('submission', this.options.timers.nowMs() - job.acceptedAtMs)
    this.options.log.event(events.SubmissionAnswered, { submissionId: job.key.submissionId ?? '', code: answer.code ?? '' })
  }

  /** Waits for a job's answer. Returns the progress if the wait ends or the caller disconnects first. */
  async wait (job: Job, waitMs: number, signal: AbortSignal): Promise<protocol.wire.IAnswer> {
    const known = job.answer
    if (known !== undefined) return known
    if (waitMs <= 0) return job.createProgressAnswer()
    return await new Promise(resolve => {
      const finish = (answer: protocol.wire.IAnswer): void => {
        timer.cancel()
        signal.removeEventListener('abort', stopWaiting)
        resolve(answer)
      }
      const stopWaiting = (): void => {
        removeWaiter()
        finish(job.createProgressAnswer())
      }
      const timer = this.options.timers.after(waitMs, stopWaiting)
      const removeWaiter = job.onAnswer(finish)
      signal.addEventListener('abort', stopWaiting)
    })
  }

  private start (job: Job): void {
    this.options.metrics.increment('submissions.accepted')
    this.options.log.event(events.SubmissionAccepted, { submissionId: job.key.submissionId ?? '', tasks: job.taskCount })
    this.options.dispatcher.enqueue(job)
  }

  /** Returns a new submission with its team's configuration applied, or the answer that refuses it. */
  private admit (submission: protocol.wire.ISubmission): results.Result<protocol.wire.ISubmission, protocol.wire.IAnswer> {
    const refusal = this.findRefusal(submission)
    return refusal === undefined ? this.options.configure(submission) : results.Err(refusal)
  }

  private findRefusal (submission: protocol.wire.ISubmission): protocol.wire.IAnswer | undefined {
    const key = submission.key!
    if (this.isDraining) return protocol.createRefusal(key, protocol.AnswerCode.Draining, 'this entry is stopping; submit again', 1)
    if (this.options.registry.mayHaveEvicted(submission)) return protocol.createUnknownOutcome(key, 'the answer of this id may have been dropped; it may have run and will not run now')
    if (!this.options.dispatcher.knowsService(submission.service ?? '')) {
      return protocol.createRefusal(key, protocol.AnswerCode.UnknownService, `service: got ${submission.service ?? ''}; no backend server has announced it`)
    }
    return this.options.dispatcher.findRefusal(submission)
  }
}
