/** The agent's record of starts: which tasks it has started and what became of them. */
import * as protocol from '@egretvalve/protocol'
import type * as settings from '@egretvalve/settings'

const { wire } = protocol

interface RecordedJob {
  start: protocol.wire.IJobStart
  reports: Map<number, protocol.wire.ITaskReport>
  recordedAtMs: number
}

/** Refuses a second start of a task and keeps results for the retention time. */
export class StartRecord {
  private readonly jobs = new Map<string, RecordedJob>()

  constructor (private readonly timers: settings.Timers, private readonly retentionMs: number) {}

  /** Records a start, or returns why the task must not start. */
  admit (start: protocol.wire.IJobStart, task: protocol.wire.ITaskStart): protocol.wire.RefusalReason {
    const keyText = protocol.submissionKeyText(start.key!)
    const job = this.jobs.get(keyText) ?? this.createJob(keyText, start)
    const earlier = job.reports.get(task.index!)
    if (earlier !== undefined && earlier.attempt! >= task.attempt!) return wire.RefusalReason.REFUSAL_REASON_ALREADY_STARTED
    job.reports.set(task.index!, { index: task.index, attempt: task.attempt, state: wire.TaskState.TASK_STATE_QUEUED })
    return wire.RefusalReason.REFUSAL_REASON_NONE
  }

  /** Records a change of a task's state. */
  update (key: protocol.wire.ISubmissionKey, report: protocol.wire.ITaskReport): void {
    this.jobs.get(protocol.submissionKeyText(key))?.reports.set(report.index!, report)
  }

  /** Returns what is known of a task. A task that was never received is refused from now on. */
  inquire (key: protocol.wire.ISubmissionKey, index: number, attempt: number): protocol.wire.ITaskReport {
    const keyText = protocol.submissionKeyText(key)
    const known = this.jobs.get(keyText)?.reports.get(index)
    if (known !== undefined && known.attempt === attempt) return known
    const report = { index, attempt, state: wire.TaskState.TASK_STATE_NOT_RUN, refusal: wire.RefusalReason.REFUSAL_REASON_NOT_RECEIVED }
    const job = this.jobs.get(keyText) ?? this.createJob(keyText, { key })
    job.reports.set(index, report)
    return report
  }

  /** Drops records older than the retention time. */
  expire (): void {
    const oldestMs = this.timers.nowMs() - this.retentionMs
    for (const [keyText, job] of this.jobs) {
      if (job.recordedAtMs > oldestMs) return
      this.jobs.delete(keyText)
    }
  }

  private createJob (keyText: string, start: protocol.wire.IJobStart): RecordedJob {
    const job = { start, reports: new Map(), recordedAtMs: this.timers.nowMs() }
    this.jobs.set(keyText, job)
    return job
  }
}
