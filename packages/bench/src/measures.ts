/** The measures of a run. `docs/MEASURES.md` defines each. */
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

/** The measures of one policy in one run. A measure that the plan doesn't exercise is missing. */
export interface Measures extends GuaranteeViolations {
  policy: PolicyName
  slowdownP50?: number
  slowdownP99?: number
  wastedMessagesPerTask?: number
  crestOnTimeRatio?: number
  crestGoodputRatio?: number
  /** Time after the crest until the p99 of response times is normal again, in milliseconds. */
  crestRecoveryMs?: number
  headOfLineRatio?: number
  tasksPerSecond: number
  completeRatio: number
  refusedRatio: number
  /** Share of repeatable requests that ended without their result. */
  repeatableFailedRatio?: number
  /** Starts for each task that was started at all. */
  startsPerTask: number
  /** Processor time for each started task in milliseconds. */
  cpuMsPerTask: number
  networkMs: number
  answers: AnswerCount[]
  /** How late the generator handed over submissions at the 99th percentile, in milliseconds. */
  generatorLagP99Ms?: number
}

/** How often answers of one kind and code came. */
export interface AnswerCount {
  /** `none` when no answer came; the code then says why. */
  kind: AnswerKind | 'none'
  code: string
  count: number
}

/** Counts the answers of a run by kind and code, the most frequent first. */
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

/** Computes the measures of a run; `withoutLong` is the same run without its long work. */
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
  const isCounted = new Set<string>()
  let count = 0
  for (const outcome of record.outcomes) {
    const key = jobKey(outcome.job)
    if (isCounted.has(key)) continue
    isCounted.add(key)
    count += outcome.tasks.filter(task => task === result).length
  }
  return count
}

/** Returns the response time of an answered submission in milliseconds. */
export function resolveResponseMs (outcome: JobOutcome): number | undefined {
  return outcome.answeredAtMs === undefined ? undefined : outcome.answeredAtMs - outcome.submittedAtMs
}

/** Lists the slowdowns of the completed submissions, resubmissions left out. */
export function listSlowdowns (record: RunRecord): number[] {
  const totalSlots = record.plan.fleet.servers * record.plan.fleet.slots
  const isSeen = new Set<string>()
  const slowdowns: number[] = []
  for (const outcome of record.outcomes) {
    const key = jobKey(outcome.job)
    const responseMs = resolveResponseMs(outcome)
    const isResubmission = isSeen.has(key)
    isSeen.add(key)
    if (isResubmission || responseMs === undefined || outcome.kind !== AnswerKind.Complete) continue
    slowdowns.push(responseMs / (resolveCriticalPathMs(outcome.job, totalSlots) + record.networkMs))
  }
  return slowdowns
}

function isWithin (span: TimeSpan, atMs: number): boolean {
  return atMs >= span.fromMs && atMs < span.toMs
}

/** Tells whether a submission was answered completely before its deadline. */
export function isOnTime (outcome: JobOutcome): boolean {
  const responseMs = resolveResponseMs(outcome)
  return outcome.kind === AnswerKind.Complete && responseMs !== undefined && responseMs <= outcome.job.deadlineMs
}

function computePeakOnTime (record: RunRecord): number | undefined {
  const crest = record.plan.loadPeak
  if (crest === undefined) return undefined
  const offered = record.outcomes.filter(outcome => outcome.job.class === TraceClass.Pressing && isWithin(crest, outcome.job.atMs))
  if (offered.length === 0) return undefined
  return offered.filter(isOnTime).length / offered.length
}

function computePeakGoodput (record: RunRecord): number | undefined {
  const crest = record.plan.loadPeak
  if (crest === undefined) return undefined
  const useful = new Set(record.outcomes.filter(isOnTime).map(outcome => jobKey(outcome.job)))
  const usefulMs = record.starts
    .filter(start => useful.has(start.key))
    .reduce((sum, start) => sum + resolveOverlapMs(crest, start), 0)
  return usefulMs / resolveCapacityMs(record.plan, crest)
}

function resolveOverlapMs (span: TimeSpan, start: TaskStart): number {
  const endMs = Math.min(span.toMs, start.endedAtMs ?? span.toMs)
  return Math.max(0, endMs - Math.max(span.fromMs, start.startedAtMs))
}

function resolveCapacityMs (plan: LoadPlan, span: TimeSpan): number {
  return plan.fleet.servers * plan.fleet.slots * (span.toMs - span.fromMs)
}

const RECOVERY_WINDOW_MS = 250
/** Factor over the slowdown p99 before the crest that still counts as normal. */
const RECOVERY_TOLERANCE = 1.1

function computePeakRecovery (record: RunRecord): number | undefined {
  const crest = record.plan.loadPeak
  if (crest === undefined) return undefined
  const before = slowdownsOf(record, { fromMs: 0, toMs: crest.fromMs })
  const normal = before.at(99)
  if (normal === undefined) return undefined
  let recoveredAtMs = crest.toMs
  for (let fromMs = crest.toMs; fromMs < record.plan.durationMs; fromMs += RECOVERY_WINDOW_MS) {
    const window = { fromMs, toMs: fromMs + RECOVERY_WINDOW_MS }
    const worst = slowdownsOf(record, window).at(99) ?? 0
    if (worst > normal * RECOVERY_TOLERANCE) recoveredAtMs = window.toMs
  }
  return recoveredAtMs - crest.toMs
}

function slowdownsOf (record: RunRecord, span: TimeSpan): Distribution {
  const outcomes = record.outcomes.filter(outcome => isWithin(span, outcome.job.atMs))
  return createDistribution(listSlowdowns({ ...record, outcomes }))
}

/** Lists the response times of the submissions without long tasks in milliseconds. */
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
