/** Adoption of the jobs of acquired partitions, reconstructed from the start records of the agents. */
import * as ownership from '@egretvalve/ownership'
import * as protocol from '@egretvalve/protocol'
import type * as settings from '@egretvalve/settings'
import type { Dispatcher } from '../dispatch/dispatcher.ts'
import { isFinalState, type Job } from '../jobs/job.ts'
import type { JobRegistry } from '../jobs/registry.ts'
import type { AgentLinks } from '../links/agentLinks.ts'

const { TaskState } = protocol.wire

/** Time for the caller to resubmit an adopted job before the tasks that no agent has recorded are ended, in milliseconds. */
const RESUBMISSION_WAIT_MS = 15_000

/** Dependencies of the adoption. */
export interface AdoptionServices {
  timers: settings.Timers
  registry: JobRegistry
  dispatcher: Dispatcher
  agentLinks: AgentLinks
  /** Returns whether a task of the job that no agent has recorded may have started. */
  checkFreshness: (job: Job) => ownership.Freshness
}

/** Adopts the jobs of acquired partitions and releases those of lost partitions. */
export class Adoption {
  constructor (private readonly services: AdoptionServices) {}

  /** Adopts the jobs in the agents' start records. Tasks that an agent did not run are skipped, as another agent may have run them. */
  adopt (acquisition: ownership.Acquisition): void {
    const jobs = new Set<Job>()
    for (const record of acquisition.records) {
      for (const report of record.jobs) {
        const job = this.adoptJob(record, report)
        if (job !== undefined) jobs.add(job)
      }
    }
    if (jobs.size === 0) return
    this.services.agentLinks.sendInquiries()
    this.services.timers.after(RESUBMISSION_WAIT_MS, () => { for (const job of jobs) this.endUnsentTasks(job) })
  }

  /** Supplies the resubmitted tasks of an adopted job. Unsent tasks are queued if they can't have started before, and ended otherwise. */
  supplySubmission (job: Job, submission: protocol.wire.ISubmission): void {
    if (!job.needsSubmission || (submission.tasks ?? []).length !== job.taskCount) return
    const isFresh = this.services.checkFreshness(job) === ownership.Freshness.Fresh
    if (!isFresh) this.endUnsentTasks(job)
    job.needsSubmission = false
    job.submission = submission
    if (isFresh) this.services.dispatcher.enqueue(job)
  }

  /** Releases the running jobs of partitions that another entry now owns, and returns them. */
  release (partitions: readonly number[]): Job[] {
    const lost = new Set(partitions)
    const jobs = this.services.registry.listRunning().filter(job => lost.has(job.partition))
    for (const job of jobs) {
      this.services.dispatcher.release(job)
      this.services.agentLinks.dropJob(job)
      this.services.registry.discard(job)
      job.markMoved()
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
      this.services.dispatcher.handleAdoptedReport(job, report)
      return
    }
    job.markAdopted(index)
    const isExpected = this.services.agentLinks.trackAdoptedTask(record.agentId, record.incarnation, { job, index, attempt: report.attempt ?? 0 })
    if (isExpected) return
    const error = `ownership.adopt (${record.agentId}): agent lost while the task ran`
    this.services.dispatcher.handleAdoptedReport(job, { index, attempt: report.attempt, state: TaskState.TASK_STATE_UNKNOWN, error })
  }

  /** Ends the unsent tasks of a job that was not resubmitted: as not run if they can't have started before, otherwise as unknown. */
  private endUnsentTasks (job: Job): void {
    if (job.isMoved || job.hasAnswer || !job.needsSubmission) return
    const state = this.services.checkFreshness(job) === ownership.Freshness.Fresh ? TaskState.TASK_STATE_NOT_RUN : TaskState.TASK_STATE_UNKNOWN
    for (const index of job.unsentIndexes()) this.services.dispatcher.handleAdoptedReport(job, { index, state, error: 'the owner changed before the task was sent' })
  }
}
