/** A job at its entry: the state of its tasks and the callers that wait for its outcome. */
import * as workers from '@egretvalve/workers'
import { type JobOutcome, type JobSpec, type JobTerms, longestChainMs, type StepSpec } from './model.ts'

/** An answer that takes more than this many latency objectives is of little use to the caller. */
const USEFUL_UNTIL_FACTOR = 3

/** State of a task. */
export enum TaskPhase {
  /** An earlier step is not done. */
  Blocked = 'blocked',
  /** Ready to be placed on a worker. */
  Waiting = 'waiting',
  /** Held by an agent. */
  Sent = 'sent',
  Done = 'done'
}

export interface Task {
  readonly ref: workers.TaskRef
  /** Changed by `Job.setPhase` only, which counts. */
  phase: TaskPhase
  /** Number of the latest attempt. */
  attempt: number
  failures: number
  agentId: string | undefined
  sentAtMs: number
  /** True while it waits for the limit of its step on each worker, and not for free capacity. Set in each dispatch pass. */
  isAtLimit: boolean
  /** How the last attempt ended, for the log; undefined before the first end and after success. */
  lastEnd: string | undefined
  /** Agents on which the task failed, was refused by an unhealthy worker, or was stopped as slow or stalled. */
  readonly avoided: Set<string>
}

/** A submitted job. */
export class Job {
  /** Time at which the caller's request reached this VM. */
  readonly arrivedAtMs: number
  /** Time at which this entry accepted the job. */
  readonly acceptedAtMs: number
  /** Also counts the time for which the VM was suspended. */
  readonly age: workers.Age
  /** Time after which the job misses its latency objective. */
  readonly dueAtMs: number
  /** Time after which an answer is of little use to the caller. */
  readonly usefulUntilMs: number
  readonly deadlineAtMs: number
  readonly tasks: Task[][]
  /** Steps with tasks that have waited for their limit on each worker. */
  readonly limitedSteps = new Set<number>()
  /** True once this entry holds the claim on the job, and may start its tasks. */
  hasClaim = false
  /** True if another entry may have started tasks of the job. */
  mayRunElsewhere = false
  outcome: JobOutcome | undefined
  endedAtMs = 0
  /** Number of tasks sent to agents, without those returned unstarted. */
  private possibleStarts = 0
  /** Number of waiting and of done tasks by step. */
  private readonly waitingCounts: number[]
  private readonly doneCounts: number[]
  private readonly waiters = new Set<(outcome: JobOutcome) => void>()

  constructor (readonly spec: JobSpec, readonly terms: JobTerms, readonly deadlineMs: number, nowMs: number, age: workers.Age, earlierAttempts = 0, waitedMs = 0) {
    this.arrivedAtMs = nowMs - waitedMs
    this.acceptedAtMs = nowMs
    this.age = age
    const objectiveMs = terms.slackFactor * longestChainMs(spec.steps) + terms.targetLatencyMs
    this.dueAtMs = this.arrivedAtMs + objectiveMs
    this.usefulUntilMs = this.arrivedAtMs + objectiveMs * USEFUL_UNTIL_FACTOR
    this.deadlineAtMs = this.arrivedAtMs + deadlineMs
    this.tasks = spec.steps.map((step, number) => createTasks(spec.jobId, step, number, earlierAttempts))
    this.waitingCounts = spec.steps.map(() => 0)
    this.doneCounts = spec.steps.map(() => 0)
  }

  get id (): string {
    return this.spec.jobId
  }

  /** Highest attempt number of any task. A resubmission of the job continues from it, so that late reports of earlier attempts are ignored. */
  get lastAttempt (): number {
    return Math.max(0, ...this.tasks.flat().map(task => task.attempt))
  }

  get hasEnded (): boolean {
    return this.outcome !== undefined
  }

  /** True when a task may have started. The job must not be refused then, as a refusal states that nothing has started. */
  get mayHaveStarted (): boolean {
    return this.possibleStarts > 0 || this.mayRunElsewhere
  }

  recordSent (): void {
    this.possibleStarts++
  }

  recordNotStarted (): void {
    this.possibleStarts--
  }

  setPhase (task: Task, phase: TaskPhase): void {
    this.count(task, -1)
    task.phase = phase
    this.count(task, 1)
  }

  /** Returns the tasks to be placed. */
  waitingTasks (): Task[] {
    const waiting: Task[] = []
    this.tasks.forEach((tasks, number) => {
      if (this.waitingCounts[number] === 0) return
      for (const task of tasks) {
        if (task.phase === TaskPhase.Waiting) waiting.push(task)
      }
    })
    return waiting
  }

  /** Returns the tasks that wait for free capacity. */
  tasksWithoutRoom (): Task[] {
    return this.waitingTasks().filter(task => !task.isAtLimit)
  }

  /** True while a task is to be placed. */
  get hasWaitingTask (): boolean {
    return this.waitingCounts.some(count => count > 0)
  }

  /** Work of the tasks to be placed by the caller's estimates, in core-milliseconds. */
  get waitingWorkCoreMs (): number {
    let work = 0
    this.spec.steps.forEach(({ size, estimatedMs }, number) => { work += this.waitingCounts[number]! * size.cpuMilli / 1000 * estimatedMs })
    return work
  }

  /** Returns the tasks that agents hold. */
  sentTasks (): Task[] {
    return this.tasks.flat().filter(task => task.phase === TaskPhase.Sent)
  }

  stepOf (task: Task): StepSpec {
    return this.spec.steps[task.ref.step]!
  }

  /** Unblocks the tasks of steps whose earlier steps are done. Returns true when all tasks are done. */
  advance (): boolean {
    this.spec.steps.forEach((step, number) => {
      if (!step.after.every(earlier => this.isStepDone(earlier))) return
      for (const task of this.tasks[number]!) {
        if (task.phase === TaskPhase.Blocked) this.setPhase(task, TaskPhase.Waiting)
      }
    })
    return this.tasks.every((_tasks, number) => this.isStepDone(number))
  }

  /** Returns the estimated time to run the steps that are not done, in milliseconds, by the caller's estimates. */
  remainingEstimateMs (): number {
    const open = this.spec.steps.map((step, number) => ({ ...step, estimatedMs: this.isStepDone(number) ? 0 : step.estimatedMs }))
    return longestChainMs(open)
  }

  /** Calls `waiter` with the outcome, immediately when the job has ended. Returns a function that removes the waiter. */
  onOutcome (waiter: (outcome: JobOutcome) => void): () => void {
    if (this.outcome !== undefined) {
      waiter(this.outcome)
      return () => {}
    }
    this.waiters.add(waiter)
    return () => { this.waiters.delete(waiter) }
  }

  /** True while a caller waits for the outcome. */
  get isAwaited (): boolean {
    return this.waiters.size > 0
  }

  /** Ends the job and notifies all waiters. */
  finish (outcome: JobOutcome, nowMs: number): void {
    this.outcome = outcome
    this.endedAtMs = nowMs
    for (const waiter of this.waiters) waiter(outcome)
    this.waiters.clear()
  }

  private isStepDone (number: number): boolean {
    return this.doneCounts[number] === this.tasks[number]!.length
  }

  private count (task: Task, change: number): void {
    if (task.phase === TaskPhase.Waiting) this.waitingCounts[task.ref.step]! += change
    else if (task.phase === TaskPhase.Done) this.doneCounts[task.ref.step]! += change
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
    isAtLimit: false,
    lastEnd: undefined,
    avoided: new Set<string>()
  }))
}
