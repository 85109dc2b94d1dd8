/** Goes on with the jobs of partitions that this entry has acquired, from what the agents have recorded. */
import * as ownership from '@egretvalve/ownership'
import * as protocol from '@egretvalve/protocol'
import type * as settings from '@egretvalve/settings'
import type { Dispatcher } from '../dispatch/dispatcher.ts'
import { isFinalState, type Job } from '../jobs/job.ts'
import type { JobRegistry } from '../jobs/registry.ts'
import type { AgentLinks } from '../links/agentLinks.ts'

const { TaskState } = protocol.wire

/** Time for the work of an adopted job to be submitted again, before tasks that no agent knows count as not run, in milliseconds. */
const SUBMISSION_WAIT_MS = 15_000

/** What adoption needs of its entry. */
export interface AdoptionServices {
  timers: settings.Timers
  registry: JobRegistry
  dispatcher: Dispatcher
  agentLinks: AgentLinks
  judge: (job: Job) => ownership.FirstSight
}

/** Adopts jobs and lets go of them. */
export class Adoption {
  constructor (private readonly services: AdoptionServices) {}

  /** Takes the records of the agents. A task that one agent did not run may still have run at another. */
  adopt (acquisition: ownership.Acquisition): void {
    const jobs = new Set<Job>()
    for (const record of acquisition.records) {
      for (const report of record.jobs) {
        const job = this.adoptJob(record, report)
        if (job !== undefined) jobs.add(job)
      }
    }
    if (jobs.size === 0) return
    this.services.agentLinks.inquire()
    this.services.timers.after(SUBMISSION_WAIT_MS, () => { for (const job of jobs) this.settleMissing(job) })
  }

  /** Supplies the work of an adopted job, so that the tasks that have not started can start. */
  complete (job: Job, submission: protocol.wire.ISubmission): void {
    if (!job.needsSubmission || (submission.tasks ?? []).length !== job.taskCount) return
    const isFresh = this.services.judge(job) === ownership.FirstSight.Fresh
    if (!isFresh) this.settleMissing(job)
    job.needsSubmission = false
    job.submission = submission
    if (isFresh) this.services.dispatcher.enqueue(job)
  }

  /** Lets go of the jobs of partitions that went to another entry; returns those that had not ended. */
  release (partitions: readonly number[]): Job[] {
    const lost = new Set(partitions)
    const jobs = this.services.registry.listRunning().filter(job => lost.has(job.partition))
    for (const job of jobs) {
      this.services.dispatcher.release(job)
      this.services.agentLinks.dropJob(job)
      this.services.registry.discard(job)
      job.moveAway()
    }
    return jobs
  }

  private adoptJob (record: ownership.GatheredRecord, report: protocol.wire.IJobReport): Job | undefined {
    const tasks = (report.tasks ?? []).filter(task => task.state !== TaskState.TASK_STATE_NOT_RUN)
    if (tasks.length === 0) return undefined
    const known = this.services.registry.find(report.key ?? {})
    if (known?.hasAnswer === true) return undefined
    const job = known ?? this.services.registry.adopt(report)
    for (const task of tasks) this.adoptTask(record, job, task)
    return job
  }

  private adoptTask (record: ownership.GatheredRecord, job: Job, report: protocol.wire.ITaskReport): void {
    const index = report.index ?? 0
    if (index >= job.taskCount || job.hasEnded(index)) return
    if (isFinalState(report.state)) {
      this.services.dispatcher.adopt(job, report)
      return
    }
    job.hold(index)
    const isExpected = this.services.agentLinks.adopt(record.agentId, record.incarnation, { job, index, attempt: report.attempt ?? 0 })
    if (isExpected) return
    const error = `ownership.adopt (${record.agentId}): agent lost while the task ran`
    this.services.dispatcher.adopt(job, { index, attempt: report.attempt, state: TaskState.TASK_STATE_UNKNOWN, error })
  }

  /** Ends the tasks of a job whose work did not arrive. */
  private settleMissing (job: Job): void {
    if (job.isMoved || job.hasAnswer || !job.needsSubmission) return
    const state = this.services.judge(job) === ownership.FirstSight.Fresh ? TaskState.TASK_STATE_NOT_RUN : TaskState.TASK_STATE_UNKNOWN
    for (const index of job.missingIndexes()) this.services.dispatcher.adopt(job, { index, state, error: 'the owner changed before the task was sent' })
  }
}
