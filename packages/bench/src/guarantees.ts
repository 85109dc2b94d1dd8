/** Checks the delivery guarantees of a run. */
import { TaskResult } from './record.ts'
import type { JobOutcome, RunRecord, TaskStart } from './record.ts'
import { AnswerKind, jobKey } from './trace.ts'
import type { TraceJob } from './trace.ts'

/** Time after its announcement within which a leaving backend server may still receive new tasks, in milliseconds. */
export const LEAVE_GRACE_MS = 2_000

/** Counts of violated guarantees; each must be 0. */
export interface GuaranteeViolations {
  /** Tasks that started more than once, in jobs of several tasks and in non-repeatable requests. */
  startedTwice: number
  /** Complete answers that lack the result of a task or carry a wrong one, and other answers that carry results. */
  partialAnswers: number
  /** Tasks that were reported as not run, or refused, although a backend server started them. */
  falseNotRun: number
  /** Submissions without an answer. */
  lostAnswers: number
  /** Starts on a leaving backend server after the grace period `LEAVE_GRACE_MS`. */
  startsOnLeaving: number
}

/** Counts the violated guarantees in a run. */
export function countViolations (record: RunRecord): GuaranteeViolations {
  const startsByTask = countStarts(record.starts)
  return {
    startedTwice: countStartedTwice(record, startsByTask),
    partialAnswers: record.outcomes.filter(isPartial).length,
    falseNotRun: record.outcomes.reduce((sum, outcome) => sum + countFalseNotRun(outcome, startsByTask), 0),
    lostAnswers: record.outcomes.filter(outcome => outcome.kind === undefined).length,
    startsOnLeaving: countStartsOnLeaving(record)
  }
}

function taskKey (key: string, index: number): string {
  return `${key}#${index}`
}

function countStarts (starts: readonly TaskStart[]): Map<string, number> {
  const counts = new Map<string, number>()
  for (const start of starts) {
    const key = taskKey(start.key, start.index)
    counts.set(key, (counts.get(key) ?? 0) + 1)
  }
  return counts
}

/** Returns whether the tasks of this submission may start at most once. */
function isStartedOnce (job: TraceJob): boolean {
  return !job.repeatable || job.tasks.length > 1
}

function countStartedTwice (record: RunRecord, startsByTask: ReadonlyMap<string, number>): number {
  const jobs = new Map(record.plan.jobs.map(job => [jobKey(job), job]))
  let count = 0
  for (const job of jobs.values()) {
    if (!isStartedOnce(job)) continue
    count += job.tasks.filter((_, index) => (startsByTask.get(taskKey(jobKey(job), index)) ?? 0) > 1).length
  }
  return count
}

function isPartial (outcome: JobOutcome): boolean {
  if (outcome.kind === AnswerKind.Complete) {
    return outcome.tasks.length !== outcome.job.tasks.length || outcome.tasks.some(task => task !== TaskResult.Finished)
  }
  return outcome.tasks.some(task => task === TaskResult.Finished || task === TaskResult.Wrong)
}

function countFalseNotRun (outcome: JobOutcome, startsByTask: ReadonlyMap<string, number>): number {
  const isRefused = outcome.kind === AnswerKind.Refused
  const indexes = outcome.job.tasks.map((_, index) => index)
  return indexes.filter(index => {
    const isNotRun = isRefused || outcome.tasks[index] === TaskResult.NotRun
    return isNotRun && startsByTask.has(taskKey(jobKey(outcome.job), index))
  }).length
}

function countStartsOnLeaving (record: RunRecord): number {
  const spans = listLeavingSpans(record)
  return record.starts.filter(start => spans.some(span =>
    span.server === start.server && start.startedAtMs > span.fromMs + LEAVE_GRACE_MS && start.startedAtMs < span.toMs)).length
}

interface LeavingSpan {
  server: number
  fromMs: number
  toMs: number
}

function listLeavingSpans (record: RunRecord): LeavingSpan[] {
  const { events } = record.plan
  return events.filter(event => event.change === 'leave').map(event => {
    const returnEvent = events.find(other => other.change === 'return' && other.server === event.server && other.atMs > event.atMs)
    return { server: event.server, fromMs: event.atMs, toMs: returnEvent?.atMs ?? Infinity }
  })
}
