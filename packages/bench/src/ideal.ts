/** Discrete-event simulation of the ideal dispatcher: one queue for the whole fleet, with perfect knowledge of run times. */
import { Heap } from './heap.ts'
import { ServerChange } from './plan.ts'
import type { LoadPlan } from './plan.ts'
import { PolicyName, TaskResult, createZeroCosts } from './record.ts'
import type { JobOutcome, RunRecord, TaskStart } from './record.ts'
import { AnswerKind, TraceClass, jobKey } from './trace.ts'
import type { TraceJob } from './trace.ts'

/** Server index of all starts: the ideal dispatcher pools the slots of all backend servers. */
const IDEAL_SERVER = -1

interface IdealJob {
  job: TraceJob
  key: string
  deadlineAtMs: number
  results: TaskResult[]
  pendingTasks: number
  isAbandoned: boolean
  answeredAtMs: number | undefined
}

interface WaitingTask {
  owner: IdealJob
  index: number
}

enum EventKind {
  TaskEnd = 0,
  Fleet = 1,
  Cancel = 2,
  Arrival = 3
}

interface IdealEvent {
  atMs: number
  kind: EventKind
  run: () => void
}

function isBeforeEvent (a: IdealEvent, b: IdealEvent): boolean {
  return a.atMs === b.atMs ? a.kind < b.kind : a.atMs < b.atMs
}

/** Orders tasks by class, then deadline, then arrival. */
function isBeforeTask (a: WaitingTask, b: WaitingTask): boolean {
  const first = a.owner
  const second = b.owner
  if (first.job.class !== second.job.class) return first.job.class === TraceClass.Pressing
  if (first.deadlineAtMs !== second.deadlineAtMs) return first.deadlineAtMs < second.deadlineAtMs
  return first.job.atMs < second.job.atMs
}

class IdealRun {
  readonly starts: TaskStart[] = []
  readonly jobs = new Map<string, IdealJob>()
  private readonly events = new Heap<IdealEvent>(isBeforeEvent)
  private readonly waiting = new Heap<WaitingTask>(isBeforeTask)
  private freeSlots: number

  constructor (private readonly plan: LoadPlan) {
    this.freeSlots = plan.fleet.servers * plan.fleet.slots
    for (const job of plan.jobs) this.events.push({ atMs: job.atMs, kind: EventKind.Arrival, run: () => this.handleArrival(job) })
    for (const event of plan.events) this.events.push({ atMs: event.atMs, kind: EventKind.Fleet, run: () => this.changeFleet(event.change) })
  }

  run (): void {
    for (let event = this.events.pop(); event !== undefined; event = this.events.pop()) {
      event.run()
      this.startWaiting(event.atMs)
    }
  }

  private handleArrival (job: TraceJob): void {
    const key = jobKey(job)
    if (this.jobs.has(key)) return
    const owner: IdealJob = {
      job,
      key,
      deadlineAtMs: job.atMs + job.deadlineMs,
      results: job.tasks.map(() => TaskResult.NotRun),
      pendingTasks: job.tasks.length,
      isAbandoned: false,
      answeredAtMs: undefined
    }
    this.jobs.set(key, owner)
    job.tasks.forEach((_, index) => { this.waiting.push({ owner, index }) })
    if (job.cancelAfterMs === undefined) return
    const cancelAtMs = job.atMs + job.cancelAfterMs
    this.events.push({ atMs: cancelAtMs, kind: EventKind.Cancel, run: () => this.abandon(owner, cancelAtMs) })
  }

  private changeFleet (change: ServerChange): void {
    const slots = this.plan.fleet.slots
    this.freeSlots += change === ServerChange.Return ? slots : -slots
  }

  private abandon (owner: IdealJob, nowMs: number): void {
    if (owner.answeredAtMs !== undefined) return
    owner.isAbandoned = true
    owner.answeredAtMs = nowMs
  }

  private startWaiting (nowMs: number): void {
    while (this.freeSlots > 0) {
      const next = this.waiting.pop()
      if (next === undefined) return
      if (!next.owner.isAbandoned) this.start(next, nowMs)
    }
  }

  private start (next: WaitingTask, nowMs: number): void {
    const { owner, index } = next
    const endMs = nowMs + owner.job.tasks[index]!.runMs
    if (endMs > owner.deadlineAtMs) {
      this.abandon(owner, nowMs)
      return
    }
    this.freeSlots--
    owner.results[index] = TaskResult.Unknown
    this.starts.push({ server: IDEAL_SERVER, key: owner.key, index, startedAtMs: nowMs, endedAtMs: endMs, isFailed: false })
    this.events.push({ atMs: endMs, kind: EventKind.TaskEnd, run: () => this.finish(owner, index, endMs) })
  }

  private finish (owner: IdealJob, index: number, nowMs: number): void {
    this.freeSlots++
    owner.results[index] = TaskResult.Finished
    owner.pendingTasks--
    if (owner.pendingTasks === 0 && owner.answeredAtMs === undefined) owner.answeredAtMs = nowMs
  }
}

function createOutcome (job: TraceJob, owner: IdealJob): JobOutcome {
  const answeredAtMs = owner.answeredAtMs === undefined ? undefined : Math.max(job.atMs, owner.answeredAtMs)
  if (!owner.isAbandoned) return { job, submittedAtMs: job.atMs, answeredAtMs, kind: AnswerKind.Complete, code: '', tasks: owner.results }
  const isStarted = owner.results.some(result => result !== TaskResult.NotRun)
  const tasks = owner.results.map(result => result === TaskResult.Finished ? TaskResult.FinishedWithoutResult : result)
  return { job, submittedAtMs: job.atMs, answeredAtMs, kind: isStarted ? AnswerKind.Failed : AnswerKind.Refused, code: '', tasks }
}

/** Computes the run of a plan under the ideal dispatcher, without message delay. */
export function computeIdeal (plan: LoadPlan): RunRecord {
  const run = new IdealRun(plan)
  run.run()
  const outcomes = plan.jobs.map(job => createOutcome(job, run.jobs.get(jobKey(job))!))
  return { policy: PolicyName.Ideal, plan, outcomes, starts: run.starts, costs: createZeroCosts(), networkMs: 0 }
}

/** Returns the response time of a job that has the whole fleet to itself, without network delay, in milliseconds. */
export function resolveCriticalPathMs (job: TraceJob, totalSlots: number): number {
  const longestFirst = job.tasks.map(task => task.runMs).sort((a, b) => b - a)
  if (longestFirst.length <= totalSlots) return longestFirst[0] ?? 0
  const ends = new Heap<number>((a, b) => a < b)
  let lastMs = 0
  for (const runMs of longestFirst) {
    const startMs = ends.size < totalSlots ? 0 : ends.pop()!
    ends.push(startMs + runMs)
    lastMs = Math.max(lastMs, startMs + runMs)
  }
  return lastMs
}
