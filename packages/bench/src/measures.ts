/** Measures of a run, as defined in `docs/MEASURES.md`. */
import { resolveCriticalPathMs } from './ideal.ts'
import { isLongJob } from './plan.ts'
import type { LoadPlan, TimeSpan } from './plan.ts'
import { createDistribution } from './percentiles.ts'
import type { Distribution } from './percentiles.ts'
import { TaskResult } from './record.ts'
import type { JobOutcome, PolicyName, RunRecord, TaskStart } from './record.ts'
import { countViolations } from './guarantees.ts'
import type { GuaranteeViolations } from './guarantees.ts'
import { AnswerKind, TraceClass, jobKey } from './trace.ts'

/** Measures of one policy in one run; written to JSON. A measure that does not apply to the plan is undefined. */
export interface Measures extends GuaranteeViolations {
  policy: PolicyName
  slowdownP50?: number
  slowdownP99?: number
  wastedMessagesPerTask?: number
  crestOnTimeRatio?: number
  crestGoodputRatio?: number
  /** Time after the load peak until the slowdown p99 is back to its level before the peak, in milliseconds. */
  crestRecoveryMs?: number
  headOfLineRatio?: number
  tasksPerSecond: number
  completeRatio: number
  refusedRatio: number
  /** Share of repeatable submissions without a complete answer. */
  repeatableFailedRatio?: number
  /** Number of starts per task that was started at least once. */
  startsPerTask: number
  /** Processor time per started task, in milliseconds. */
  cpuMsPerTask: number
  /** Overhead of a direct call to an idle backend server, in milliseconds. */
  networkMs: number
  answers: AnswerCount[]
  /** 99th percentile of the delay of submissions after their time in the trace, in milliseconds. */
  generatorLagP99Ms?: number
}

/** Number of answers of one kind and code. */
export interface AnswerCount {
  /** `none` when no answer arrived; the code then gives the cause. */
  kind: AnswerKind | 'none'
  code: string
  count: number
}

/** Counts the answers of a run by kind and code, in descending order of frequency. */
export function countAnswers (record: RunRecord): AnswerCount[] {
  const counts = new Map<string, AnswerCount>()
  for (const { kind = 'none', code } of record.outcomes) {
    const key = `${kind} ${code}`
    const count = counts.get(key) ?? { kind, code, count: 0 }
    count.count++
    counts.set(key, count)
  }
  return [...counts.values()].sort((a, b) => b.count - a.count)
}

/** Computes the measures of a run. `withoutLong` is the run of the same plan without long jobs. */
export function computeMeasures (record: RunRecord, withoutLong?: RunRecord): Measures {
  const slowdowns = createDistribution(listSlowdowns(record))
  const startedTasks = new Set(record.starts.map(start => `${start.key}#${start.index}`)).size
  const outcomeCount = Math.max(1, record.outcomes.length)
  return {
    policy: record.policy,
    slowdownP50: slowdowns.at(50),
    slowdownP99: slowdowns.at(99),
    wastedMessagesPerTask: resolvePerTask(record.costs.wastedMessages, startedTasks),
    crestOnTimeRatio: computePeakOnTime(record),
    crestGoodputRatio: computePeakGoodput(record),
    crestRecoveryMs: computePeakRecovery(record),
    headOfLineRatio: withoutLong === undefined ? undefined : computeHeadOfLine(record, withoutLong),
    ...countViolations(record),
    tasksPerSecond: countResults(record, TaskResult.Finished) / (record.plan.durationMs / 1_000),
    completeRatio: countKind(record, AnswerKind.Complete) / outcomeCount,
    refusedRatio: countKind(record, AnswerKind.Refused) / outcomeCount,
    repeatableFailedRatio: computeRepeatableFailed(record),
    startsPerTask: record.starts.length / Math.max(1, startedTasks),
    cpuMsPerTask: record.costs.cpuMs / Math.max(1, startedTasks),
    networkMs: record.networkMs,
    answers: countAnswers(record),
    generatorLagP99Ms: createDistribution(record.outcomes.map(outcome => outcome.submittedAtMs - outcome.job.atMs)).at(99)
  }
}

function resolvePerTask (count: number | undefined, tasks: number): number | undefined {
  return count === undefined ? undefined : count / Math.max(1, tasks)
}

function countKind (record: RunRecord, kind: AnswerKind): number {
  return record.outcomes.filter(outcome => outcome.kind === kind).length
}

function countResults (record: RunRecord, result: TaskResult): number {
  const countedKeys = new Set<string>()
  let count = 0
  for (const outcome of record.outcomes) {
    const key = jobKey(outcome.job)
    if (countedKeys.has(key)) continue
    countedKeys.add(key)
    count += outcome.tasks.filter(task => task === result).length
  }
  return count
}

/** Returns the response time of a submission in milliseconds; undefined without an answer. */
export function resolveResponseMs (outcome: JobOutcome): number | undefined {
  return outcome.answeredAtMs === undefined ? undefined : outcome.answeredAtMs - outcome.submittedAtMs
}

/** Lists the slowdowns of completed submissions, excluding resubmissions. A slowdown is the response time divided by the critical path plus network overhead. */
export function listSlowdowns (record: RunRecord): number[] {
  const totalSlots = record.plan.fleet.servers * record.plan.fleet.slots
  const seenKeys = new Set<string>()
  const slowdowns: number[] = []
  for (const outcome of record.outcomes) {
    const key = jobKey(outcome.job)
    const responseMs = resolveResponseMs(outcome)
    const isResubmission = seenKeys.has(key)
    seenKeys.add(key)
    if (isResubmission || responseMs === undefined || outcome.kind !== AnswerKind.Complete) continue
    slowdowns.push(responseMs / (resolveCriticalPathMs(outcome.job, totalSlots) + record.networkMs))
  }
  return slowdowns
}

function isWithin (span: TimeSpan, atMs: number): boolean {
  return atMs >= span.fromMs && atMs < span.toMs
}

/** Returns whether a submission got a complete answer within its deadline. */
export function isOnTime (outcome: JobOutcome): boolean {
  const responseMs = resolveResponseMs(outcome)
  return outcome.kind === AnswerKind.Complete && responseMs !== undefined && responseMs <= outcome.job.deadlineMs
}

function computePeakOnTime (record: RunRecord): number | undefined {
  const loadPeak = record.plan.loadPeak
  if (loadPeak === undefined) return undefined
  const offered = record.outcomes.filter(outcome => outcome.job.class === TraceClass.Pressing && isWithin(loadPeak, outcome.job.atMs))
  if (offered.length === 0) return undefined
  return offered.filter(isOnTime).length / offered.length
}

function computePeakGoodput (record: RunRecord): number | undefined {
  const loadPeak = record.plan.loadPeak
  if (loadPeak === undefined) return undefined
  const useful = new Set(record.outcomes.filter(isOnTime).map(outcome => jobKey(outcome.job)))
  const usefulMs = record.starts
    .filter(start => useful.has(start.key))
    .reduce((sum, start) => sum + resolveOverlapMs(loadPeak, start), 0)
  return usefulMs / resolveCapacityMs(record.plan, loadPeak)
}

function resolveOverlapMs (span: TimeSpan, start: TaskStart): number {
  const endMs = Math.min(span.toMs, start.endedAtMs ?? span.toMs)
  return Math.max(0, endMs - Math.max(span.fromMs, start.startedAtMs))
}

function resolveCapacityMs (plan: LoadPlan, span: TimeSpan): number {
  return plan.fleet.servers * plan.fleet.slots * (span.toMs - span.fromMs)
}

const RECOVERY_WINDOW_MS = 250
/** The slowdown p99 counts as recovered up to this factor of its value before the load peak. */
const RECOVERY_TOLERANCE = 1.1

function computePeakRecovery (record: RunRecord): number | undefined {
  const loadPeak = record.plan.loadPeak
  if (loadPeak === undefined) return undefined
  const before = slowdownsOf(record, { fromMs: 0, toMs: loadPeak.fromMs })
  const normal = before.at(99)
  if (normal === undefined) return undefined
  let recoveredAtMs = loadPeak.toMs
  for (let fromMs = loadPeak.toMs; fromMs < record.plan.durationMs; fromMs += RECOVERY_WINDOW_MS) {
    const window = { fromMs, toMs: fromMs + RECOVERY_WINDOW_MS }
    const worst = slowdownsOf(record, window).at(99) ?? 0
    if (worst > normal * RECOVERY_TOLERANCE) recoveredAtMs = window.toMs
  }
  return recoveredAtMs - loadPeak.toMs
}

function slowdownsOf (record: RunRecord, span: TimeSpan): Distribution {
  const outcomes = record.outcomes.filter(outcome => isWithin(span, outcome.job.atMs))
  return createDistribution(listSlowdowns({ ...record, outcomes }))
}

/** Lists the response times of completed submissions without long tasks, in milliseconds. */
export function listShortResponses (record: RunRecord): number[] {
  return record.outcomes
    .filter(outcome => !isLongJob(record.plan, outcome.job) && outcome.kind === AnswerKind.Complete)
    .map(outcome => resolveResponseMs(outcome) ?? 0)
}

function computeHeadOfLine (record: RunRecord, withoutLong: RunRecord): number | undefined {
  const mixed = createDistribution(listShortResponses(record)).at(99)
  const alone = createDistribution(listShortResponses(withoutLong)).at(99)
  if (mixed === undefined || alone === undefined || alone === 0) return undefined
  return mixed / alone
}

function computeRepeatableFailed (record: RunRecord): number | undefined {
  const repeatable = record.outcomes.filter(outcome => outcome.job.repeatable)
  if (repeatable.length === 0) return undefined
  return repeatable.filter(outcome => outcome.kind !== AnswerKind.Complete).length / repeatable.length
}
