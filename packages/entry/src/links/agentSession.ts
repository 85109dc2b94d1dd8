/** The entry's side of one agent's stream: pending starts, outstanding tasks and the last reported load. */
import * as protocol from '@egretvalve/protocol'
import type * as runtime from '@egretvalve/runtime'
import type { WaitingTask } from '../dispatch/taskGroup.ts'
import type { Job } from '../jobs/job.ts'
import type { StartGrant } from '../owners/router.ts'

const { wire } = protocol

type FinalReportListener = (task: WaitingTask, report: protocol.wire.ITaskReport) => void

/** Tasks sent to one agent that have no final report yet, by submission. They are retained when the stream breaks. */
export class OutstandingTasks {
  private readonly tasks = new Map<string, Map<number, WaitingTask>>()
  private count = 0

  get size (): number {
    return this.count
  }

  add (task: WaitingTask): void {
    let jobTasks = this.tasks.get(task.job.keyText)
    if (jobTasks === undefined) {
      jobTasks = new Map()
      this.tasks.set(task.job.keyText, jobTasks)
    }
    jobTasks.set(task.index, task)
    this.count++
  }

  /** Removes and returns the task of a final report, or undefined if this attempt is not outstanding. */
  take (keyText: string, report: protocol.wire.ITaskReport): WaitingTask | undefined {
    const jobTasks = this.tasks.get(keyText)
    const task = jobTasks?.get(report.index ?? 0)
    if (jobTasks === undefined || task === undefined || task.attempt !== (report.attempt ?? 0)) return undefined
    jobTasks.delete(task.index)
    if (jobTasks.size === 0) this.tasks.delete(keyText)
    this.count--
    return task
  }

  /** Removes the tasks of a job that another entry now owns. */
  dropJob (keyText: string): void {
    this.count -= this.tasks.get(keyText)?.size ?? 0
    this.tasks.delete(keyText)
  }

  hasJob (keyText: string): boolean {
    return this.tasks.has(keyText)
  }

  /** Removes and returns all tasks. */
  takeAll (): WaitingTask[] {
    const all = [...this.tasks.values()].flatMap(jobTasks => [...jobTasks.values()])
    this.tasks.clear()
    this.count = 0
    return all
  }

  /** Creates the request for the state of all outstanding tasks. */
  createInquiry (): protocol.wire.IInquiry {
    const jobs = [...this.tasks.values()].map(jobTasks => {
      const tasks = [...jobTasks.values()]
      return { key: tasks[0]!.job.key, partition: tasks[0]!.job.partition, tasks: tasks.map(task => ({ index: task.index, attempt: task.attempt })) }
    })
    return { jobs }
  }
}

/** One open stream of an agent. */
export class AgentSession {
  readonly agentId: string
  readonly incarnation: string
  readonly failureDomain: string
  private load: protocol.wire.ILoadReport
  private announcedUrgency: protocol.wire.Urgency = wire.Urgency.URGENCY_IDLE
  private pendingStarts = new Map<string, protocol.wire.IJobStart>()

  constructor (
    hello: protocol.wire.IAgentHello,
    readonly outstanding: OutstandingTasks,
    private readonly outbox: runtime.Outbox<protocol.wire.IEntryToAgent>,
    private readonly onFinalReport: FinalReportListener
  ) {
    this.agentId = hello.agentId ?? ''
    this.incarnation = hello.incarnation ?? ''
    this.failureDomain = hello.failureDomain ?? ''
    this.load = hello.load ?? {}
  }

  get service (): string {
    return this.load.service ?? ''
  }

  get currentLoad (): protocol.wire.ILoadReport {
    return this.load
  }

  /** Adds a task to the next batch of starts. */
  addStart (task: WaitingTask, grant: StartGrant): void {
    this.outstanding.add(task)
    const spec = task.job.submission.tasks![task.index]!
    const start = { index: task.index, attempt: task.attempt, body: spec.body, declaredRunMs: spec.declaredRunMs }
    const pending = this.pendingStarts.get(task.job.keyText)
    if (pending === undefined) this.pendingStarts.set(task.job.keyText, createJobStart(task.job, grant, start))
    else pending.tasks!.push(start)
  }

  /** Sends the batch of starts, if it has any. */
  flushStarts (): void {
    if (this.pendingStarts.size === 0) return
    const jobs = [...this.pendingStarts.values()]
    this.pendingStarts = new Map()
    this.outbox.send({ start: { jobs } })
  }

  /** Cancels a job if the agent has tasks of it. */
  cancel (job: Job): void {
    if (this.outstanding.hasJob(job.keyText)) this.outbox.send({ cancel: { key: job.key } })
  }

  /** Sends the urgency of the waiting tasks to the agent if it has changed. */
  announceUrgency (service: string, urgency: protocol.wire.Urgency, waiting: number): void {
    if (urgency === this.announcedUrgency) return
    this.announcedUrgency = urgency
    this.outbox.send({ urgency: { service, urgency, waiting } })
  }

  /** Returns unused credits when no tasks wait. The agent grants no more until the next urgency notice. */
  returnCredits (service: string, credits: number): void {
    this.announcedUrgency = wire.Urgency.URGENCY_IDLE
    this.outbox.send({ creditReturn: { service, credits } })
  }

  /** Raises the lowest epochs that the agent accepts and requests its start record. */
  sendFence (fence: protocol.wire.IFence): void {
    this.outbox.send({ fence })
  }

  sendEntries (entries: protocol.wire.IEntryList): void {
    this.outbox.send({ entries })
  }

  /** Requests the state of outstanding tasks, for example of those sent on an earlier stream. */
  sendInquiry (): void {
    if (this.outstanding.size > 0) this.outbox.send({ inquiry: this.outstanding.createInquiry() })
  }

  /** Handles a batch of task reports and the load report that comes with it. */
  handleReports (batch: protocol.wire.IReportBatch): void {
    if (batch.load != null) this.load = batch.load
    for (const job of batch.jobs ?? []) this.handleJobReport(job)
  }

  private handleJobReport (job: protocol.wire.IJobReport): void {
    const keyText = protocol.submissionKeyText(job.key!)
    for (const report of job.tasks ?? []) {
      if (isInProgress(report)) continue
      const task = this.outstanding.take(keyText, report)
      if (task !== undefined) this.onFinalReport(task, report)
    }
  }
}

function isInProgress (report: protocol.wire.ITaskReport): boolean {
  return report.state === wire.TaskState.TASK_STATE_QUEUED || report.state === wire.TaskState.TASK_STATE_RUNNING
}

function createJobStart (job: Job, grant: StartGrant, task: protocol.wire.ITaskStart): protocol.wire.IJobStart {
  const { submission } = job
  return {
    key: submission.key,
    taskCount: job.taskCount,
    owned: true,
    partition: job.partition,
    epoch: grant.epoch,
    leaseExpiresAtMs: grant.leaseExpiresAtMs,
    service: submission.service,
    requestClass: submission.requestClass,
    repeatable: submission.repeatable,
    deadlineAtMs: submission.deadlineAtMs,
    wanted: submission.wanted,
    path: submission.path,
    contentType: submission.contentType,
    tasks: [task]
  }
}
