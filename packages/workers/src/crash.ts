/** Crashes of a worker: which runs were active when it went down. */
import type { TaskRef } from './driver.ts'
import { type ActiveRun, StartProof } from './runRegistry.ts'

/** How the crash showed. */
export enum CrashKind {
  /** Nothing listens at the worker's address any more. */
  Down = 'down',
  /** Another incarnation of the worker has taken its place. */
  Replaced = 'replaced',
  /** The worker stopped answering, and the lease of its runs has expired. */
  Unresponsive = 'unresponsive'
}

/** A run that was lost with its worker. */
export interface LostRun {
  task: TaskRef
  /** Name of the queue to which the job was submitted. */
  queue: string
  attempt: number
  /** Crashes of workers that ran the task earlier, as far as its entry knew when it ordered the run. */
  earlierCrashes: number
  /** True when the run was observed because its task was suspected of an earlier crash, and no start of another job was under way. */
  isObserved: boolean
  /** Time from the start of the run to the crash, or to the last answer of a worker that fell silent, in milliseconds. */
  runMs: number
}

/** A crash of a worker that had runs. */
export interface WorkerCrash {
  /** Unique among the crashes of all workers. */
  crashId: string
  kind: CrashKind
  /** Time of the crash, or of the last answer of a worker that fell silent, by the timer service of this process. */
  crashedAtMs: number
  /** Runs that were aboard: the worker had confirmed their start, or a start had provably reached it. */
  runs: readonly LostRun[]
  /** Lost runs whose start may not have reached the worker. No evidence against their tasks. */
  unconfirmed?: readonly LostRun[]
}

/** Returns true while a run of a task that is suspected of a crash may still show whether it caused it. */
export function isObserved ({ order, startedAtMs }: ActiveRun, nowMs: number): boolean {
  return nowMs - startedAtMs < order.observationMs
}

/** Returns true for a run that has reached the worker and, by its answers, has not ended there. */
export function isAboard ({ startProof, isUnlisted }: ActiveRun): boolean {
  return !isUnlisted && (startProof === StartProof.Confirmed || startProof === StartProof.SentToResponsive)
}

/** Describes the runs that were lost in a crash at `crashedAtMs`. Later starts have an age of 0. */
export function describeLostRuns (runs: readonly ActiveRun[], crashedAtMs: number): Required<Pick<WorkerCrash, 'runs' | 'unconfirmed'>> {
  const unconfirmed = runs.filter(({ startProof }) => startProof === StartProof.Sent)
  const describe = (run: ActiveRun): LostRun => ({
    task: run.order.task,
    queue: run.order.queue,
    attempt: run.order.attempt,
    earlierCrashes: run.order.crashes,
    isObserved: isObserved(run, crashedAtMs) && isNamedByCrash(run, unconfirmed),
    runMs: Math.max(0, Math.round(crashedAtMs - run.startedAtMs))
  })
  return { runs: runs.filter(isAboard).map(describe), unconfirmed: unconfirmed.map(describe) }
}

/**
 * Returns whether a crash names the job of an observed run: an earlier crash made it a suspect, not just a start that was unconfirmed, and no
 * start of another job was under way, which may have caused this one.
 */
function isNamedByCrash ({ order }: ActiveRun, unconfirmed: readonly ActiveRun[]): boolean {
  return order.crashes > 0 && unconfirmed.every(other => other.order.task.jobId === order.task.jobId)
}

/** Formats the runs of a crash for a log line, the latest start first: job, step, index, attempt, run time in milliseconds and earlier crashes. */
export function formatLostRuns (runs: readonly LostRun[]): string {
  return [...runs].sort((left, right) => left.runMs - right.runMs).map(({ task, attempt, runMs, earlierCrashes }) => `${task.jobId}/${task.step}.${task.index}#${attempt}@${runMs},crashes=${earlierCrashes}`).join(' ')
}
