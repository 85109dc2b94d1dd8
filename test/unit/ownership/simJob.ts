/** A simulated job at its owner: sends tasks, inquires about unreported ones and answers once every task has a final report. */
import * as protocol from '@egretvalve/protocol'
import type { SimEntry, Reply } from './simEntry.ts'
import type { SimWorld } from './simWorld.ts'

const { AnswerKind, RefusalReason, TaskState } = protocol.wire
const INQUIRY_MS = 3_000
const MAX_ATTEMPTS = 2

interface SimTask {
  agentId: string
  agentIncarnation: number
  attempt: number
  /** An adopted task is never started again. */
  isAdopted: boolean
  report: protocol.wire.ITaskReport | undefined
}

export class SimJob {
  private readonly tasks = new Map<number, SimTask>()
  private replies: Reply[] = []
  private answer: protocol.wire.IAnswer | undefined
  private isAbandoned = false

  constructor (
    readonly key: protocol.wire.ISubmissionKey,
    readonly taskCount: number,
    readonly partition: number,
    private readonly entry: SimEntry,
    private readonly world: SimWorld
  ) {}

  join (reply: Reply): void {
    if (this.answer === undefined) this.replies.push(reply)
    else reply(this.answer)
  }

  startAll (): void {
    for (let index = 0; index < this.taskCount; index++) this.startTask(index, 1)
  }

  abandon (): Reply[] {
    this.isAbandoned = true
    return this.replies
  }

  /** Adopts a task from an agent's record. A report that it did not run is ignored, as another agent may have run it. */
  adopt (agentId: string, agentIncarnation: number, report: protocol.wire.ITaskReport): void {
    if (report.state === TaskState.TASK_STATE_NOT_RUN) return
    const index = report.index ?? 0
    const known = this.tasks.get(index)
    const isKnownStarted = known !== undefined && known.report?.state !== TaskState.TASK_STATE_UNKNOWN
    if (this.answer !== undefined || isKnownStarted) return
    this.tasks.set(index, { agentId, agentIncarnation, attempt: report.attempt ?? 0, isAdopted: true, report: undefined })
    this.applyReport(index, report)
  }

  /** Ends the tasks that no agent has a record of: not run if the submission is fresh, else with an unknown outcome. */
  completeAdoption (freshness: string): void {
    if (this.answer !== undefined) return
    for (let index = 0; index < this.taskCount; index++) {
      if (this.tasks.has(index)) continue
      const state = freshness === this.world.freshness.Fresh ? TaskState.TASK_STATE_NOT_RUN : TaskState.TASK_STATE_UNKNOWN
      this.tasks.set(index, { agentId: '', agentIncarnation: 0, attempt: MAX_ATTEMPTS, isAdopted: true, report: { index, state } })
    }
    this.tryAnswer()
  }

  private startTask (index: number, attempt: number): void {
    const checked = this.entry.ownership.checkStart(this.partition)
    const agent = this.world.pickAgent()
    this.tasks.set(index, { agentId: agent.agentId, agentIncarnation: agent.incarnation, attempt, isAdopted: false, report: undefined })
    if (checked.err) {
      this.applyReport(index, { index, attempt, state: TaskState.TASK_STATE_NOT_RUN })
      return
    }
    const start: protocol.wire.IJobStart = { key: this.key, taskCount: this.taskCount, partition: this.partition, owned: true, ...checked.val }
    const { network } = this.world
    network.send(this.entry.incarnation, agent.agentId, agent.clock, () => {
      agent.start(start, { index, attempt }, report => {
        network.send(agent.agentId, this.entry.incarnation, this.entry.clock, () => { this.applyReport(index, report) })
      })
    })
    this.inquireLater(index)
  }

  private inquireLater (index: number): void {
    this.entry.clock.after(INQUIRY_MS, () => {
      const task = this.tasks.get(index)
      if (this.isAbandoned || task === undefined || task.report !== undefined) return
      this.inquire(index, task)
      this.inquireLater(index)
    })
  }

  private inquire (index: number, task: SimTask): void {
    const agent = this.world.agents.get(task.agentId)
    if (agent === undefined || agent.incarnation !== task.agentIncarnation) {
      this.applyReport(index, { index, attempt: task.attempt, state: TaskState.TASK_STATE_UNKNOWN })
      return
    }
    const inquiry = { key: this.key, taskCount: this.taskCount, partition: this.partition, tasks: [{ index, attempt: task.attempt }] }
    const { network } = this.world
    network.send(this.entry.incarnation, agent.agentId, agent.clock, () => {
      const answer = agent.record.inquire(inquiry)
      network.send(agent.agentId, this.entry.incarnation, this.entry.clock, () => { this.applyReport(index, answer.tasks?.[0] ?? {}) })
    })
  }

  private applyReport (index: number, report: protocol.wire.ITaskReport): void {
    const task = this.tasks.get(index)
    if (this.isAbandoned || task === undefined || task.report !== undefined || report.attempt !== task.attempt) return
    if (report.state === TaskState.TASK_STATE_QUEUED || report.state === TaskState.TASK_STATE_RUNNING) {
      this.inquireLater(index)
      return
    }
    const isStale = report.refusal === RefusalReason.REFUSAL_REASON_STALE_EPOCH
    if (report.state === TaskState.TASK_STATE_NOT_RUN && task.attempt < MAX_ATTEMPTS && !task.isAdopted && !isStale && this.entry.ownership.checkStart(this.partition).ok) {
      this.startTask(index, task.attempt + 1)
      return
    }
    task.report = report
    this.tryAnswer()
  }

  private tryAnswer (): void {
    if (this.answer !== undefined) return
    const reports = [...this.tasks].sort(([left], [right]) => left - right).map(([, task]) => task.report)
    const settled = reports.filter(report => report !== undefined)
    if (settled.length < this.taskCount) return
    const hasNotRun = settled.every(report => report.state === TaskState.TASK_STATE_NOT_RUN)
    this.answer = hasNotRun ? { key: this.key, kind: AnswerKind.ANSWER_KIND_REFUSED } : protocol.createFinalAnswer(this.key, settled)
    for (const reply of this.replies.splice(0)) reply(this.answer)
  }
}
