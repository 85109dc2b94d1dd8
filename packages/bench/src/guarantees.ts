/** Counts the broken promises in a run. */
import { TaskResult } from './record.ts'
import type { JobOutcome, RunRecord, TaskStart } from './record.ts'
import { AnswerKind, jobKey } from './trace.ts'
import type { TraceJob } from './trace.ts'

/** Time after which a leaving backend server must get no new work, in milliseconds. */
export const LEAVE_GRACE_MS = 2_000

/** Broken promises; all of them should be 0. */
export interface GuaranteeViolations {
  /** Tasks of jobs and of requests that aren't repeatable that started more than once. */
  startedTwice: number
  /** Complete answers that lack a task's own result, and failed answers that carry results. */
  partialAnswers: number
  /** Tasks that an answer calls not run and that a backend server started. */
  falseNotRun: number
  /** Submissions without an answer. */
  lostAnswers: number
  /** Starts on a backend server later than the grace after it announced that it leaves. */
  startsOnLeaving: number
}

/** Counts the broken promises in a run. */
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

/** Tells whether a task of this submission may start at most once. */
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
    const back = events.find(other => other.change === 'return' && other.server === event.server && other.atMs > event.atMs)
    return { server: event.server, fromMs: event.atMs, toMs: back?.atMs ?? Infinity }
  })
}
