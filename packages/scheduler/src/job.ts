/** One job at its entry: the state of its tasks and those who wait for its outcome. */
import * as workers from '@egretvalve/workers'
import { type JobOutcome, type JobSpec, type JobTerms, longestChainMs, type StepSpec } from './model.ts'

/** An answer that is later than this many objectives is of little use. */
const USELESS_FACTOR = 3

/** Where a task stands. */
export enum TaskPhase {
  /** Steps before it are not done. */
  Blocked = 'blocked',
  Waiting = 'waiting',
  /** An agent has it. */
  Sent = 'sent',
  Done = 'done'
}

/** One task. */
export interface Task {
  readonly ref: workers.TaskRef
  phase: TaskPhase
  /** Number of the newest start. */
  attempt: number
  failures: number
  agentId: string | undefined
  sentAtMs: number
  /** Agents on which the task failed or stalled. */
  readonly avoided: Set<string>
}

/** A job that has been accepted. */
export class Job {
  readonly arrivedAtMs: number
  readonly age: workers.Age
  /** Time at which the job misses its objective. */
  readonly dueAtMs: number
  /** Time from which an answer is of little use to the caller. */
  readonly uselessAtMs: number
  readonly deadlineAtMs: number
  readonly tasks: Task[][]
  outcome: JobOutcome | undefined
  endedAtMs = 0
  /** Tasks sent to agents, less those that came back without a start. */
  private possibleStarts = 0
  private readonly waiters = new Set<(outcome: JobOutcome) => void>()

  constructor (readonly spec: JobSpec, readonly terms: JobTerms, readonly deadlineMs: number, nowMs: number, age: workers.Age, earlierAttempts = 0) {
    this.arrivedAtMs = nowMs
    this.age = age
    const objectiveMs = terms.slackFactor * longestChainMs(spec.steps) + terms.targetLatencyMs
    this.dueAtMs = nowMs + objectiveMs
    this.uselessAtMs = nowMs + objectiveMs * USELESS_FACTOR
    this.deadlineAtMs = nowMs + deadlineMs
    this.tasks = spec.steps.map((step, number) => createTasks(spec.jobId, step, number, earlierAttempts))
  }

  get id (): string {
    return this.spec.jobId
  }

  /** Highest number of a start of any task. A later submission of the job counts on, so that late reports are told apart. */
  get lastAttempt (): number {
    return Math.max(0, ...this.tasks.flat().map(task => task.attempt))
  }

  get hasEnded (): boolean {
    return this.outcome !== undefined
  }

  /** True when a task may have started; a refusal would not be true then. */
  get mayHaveStarted (): boolean {
    return this.possibleStarts > 0
  }

  noteSent (): void {
    this.possibleStarts++
  }

  noteNotStarted (): void {
    this.possibleStarts--
  }

  /** Tasks that look for a worker. */
  waitingTasks (): Task[] {
    const waiting: Task[] = []
    for (const tasks of this.tasks) {
      for (const task of tasks) {
        if (task.phase === TaskPhase.Waiting) waiting.push(task)
      }
    }
    return waiting
  }

  /** True while a task looks for a worker. */
  get hasWaitingTask (): boolean {
    return this.tasks.some(tasks => tasks.some(task => task.phase === TaskPhase.Waiting))
  }

  /** Tasks that agents have. */
  sentTasks (): Task[] {
    return this.tasks.flat().filter(task => task.phase === TaskPhase.Sent)
  }

  stepOf (task: Task): StepSpec {
    return this.spec.steps[task.ref.step]!
  }

  /** Lets the tasks of steps wait for room whose earlier steps are done. Returns true when all tasks are done. */
  advance (): boolean {
    const done = this.tasks.map(tasks => tasks.every(task => task.phase === TaskPhase.Done))
    this.spec.steps.forEach((step, number) => {
      if (!step.after.every(earlier => done[earlier])) return
      for (const task of this.tasks[number]!) {
        if (task.phase === TaskPhase.Blocked) task.phase = TaskPhase.Waiting
      }
    })
    return done.every(Boolean)
  }

  /** Estimated time from a start now to the end of the job, in milliseconds by the caller's estimates. */
  remainingEstimateMs (): number {
    const open = this.spec.steps.map((step, number) => ({ ...step, estimatedMs: this.isStepDone(number) ? 0 : step.estimatedMs }))
    return longestChainMs(open)
  }

  /** Number of the step's tasks that an agent has. */
  countOn (agentId: string, step: number): number {
    return this.tasks[step]!.filter(task => task.phase === TaskPhase.Sent && task.agentId === agentId).length
  }

  /** Calls back with the outcome; the function returned withdraws. */
  onOutcome (waiter: (outcome: JobOutcome) => void): () => void {
    if (this.outcome !== undefined) {
      waiter(this.outcome)
      return () => {}
    }
    this.waiters.add(waiter)
    return () => { this.waiters.delete(waiter) }
  }

  /** True while some caller waits. */
  get isAwaited (): boolean {
    return this.waiters.size > 0
  }

  /** Ends the job and tells everyone who waits. */
  finish (outcome: JobOutcome, nowMs: number): void {
    this.outcome = outcome
    this.endedAtMs = nowMs
    for (const waiter of this.waiters) waiter(outcome)
    this.waiters.clear()
  }

  private isStepDone (number: number): boolean {
    return this.tasks[number]!.every(task => task.phase === TaskPhase.Done)
  }
}

function createTasks (jobId: string, step: StepSpec, number: number, earlierAttempts: number): Task[] {
  return Array.from({ length: step.count }, (_, index) => ({
    ref: { jobId, step: number, index },
    phase: TaskPhase.Blocked,
    attempt: earlierAttempts,
    failures: 0,
    agentId: undefined,
    sentAtMs: 0,
    avoided: new Set<string>()
  }))
}
