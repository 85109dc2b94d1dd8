/** Analysis of the logs of a fleet: what callers got, and why not more. */
import { type AnalyzedSubmission, analyzeSubmission, Cause, Verdict } from './causes.ts'
import { FleetUse } from './fleetUse.ts'
import { type LogRecord, parseLogLine } from './logLines.ts'
import { Phase } from './phases.ts'
import { collectSubmissions } from './submissions.ts'

/** Counts of one group of submissions. */
export interface GroupTotals {
  /** Name of the group: a priority, a service, an entry or a time. */
  name: string
  submissions: number
  verdicts: Record<Verdict, number>
  causes: Record<Cause, number>
}

/** Mean time by phase of the submissions with one cause, in milliseconds. */
export interface CausePhases {
  cause: Cause
  submissions: number
  meanMs: Record<Phase, number>
}

/** Result of an analysis. Times are in seconds after the first submission. */
export interface Analysis {
  total: GroupTotals
  byPriority: GroupTotals[]
  byService: GroupTotals[]
  byEntry: GroupTotals[]
  byTime: GroupTotals[]
  phases: CausePhases[]
  submissions: AnalyzedSubmission[]
}

/** Analyzes log lines of any number of nodes, in any order. `windowMs` is the length of the groups by time. */
export function analyzeLogs (lines: Iterable<string>, windowMs: number): Analysis {
  const records: LogRecord[] = []
  for (const line of lines) {
    const record = parseLogLine(line)
    if (record !== undefined) records.push(record)
  }
  records.sort((left, right) => left.atMs - right.atMs)
  const submissions = collectSubmissions(records)
  const use = new FleetUse(records)
  const analyzed = submissions.map(submission => analyzeSubmission(submission, use))
  const startMs = submissions[0]?.acceptedAtMs ?? 0
  const windowOf = (atMs: number): string => String(Math.floor((atMs - startMs) / windowMs) * windowMs / 1_000)
  return {
    total: countGroup('all', analyzed),
    byPriority: group(analyzed, ({ submission }) => String(submission.priority)),
    byService: group(analyzed, ({ submission }) => submission.service),
    byEntry: group(analyzed, ({ submission }) => submission.entryId),
    byTime: group(analyzed, ({ submission }) => windowOf(submission.acceptedAtMs)),
    phases: Object.values(Cause).map(cause => averagePhases(cause, analyzed)).filter(({ submissions: count }) => count > 0),
    submissions: analyzed
  }
}

function group (analyzed: readonly AnalyzedSubmission[], nameOf: (each: AnalyzedSubmission) => string): GroupTotals[] {
  const members = new Map<string, AnalyzedSubmission[]>()
  for (const each of analyzed) {
    const name = nameOf(each)
    const known = members.get(name)
    if (known === undefined) members.set(name, [each])
    else known.push(each)
  }
  const compareNames = new Intl.Collator('en', { numeric: true }).compare
  return [...members].sort(([left], [right]) => compareNames(left, right)).map(([name, group]) => countGroup(name, group))
}

function countGroup (name: string, members: readonly AnalyzedSubmission[]): GroupTotals {
  const verdicts = Object.fromEntries(Object.values(Verdict).map(verdict => [verdict, 0])) as Record<Verdict, number>
  const causes = Object.fromEntries(Object.values(Cause).map(cause => [cause, 0])) as Record<Cause, number>
  for (const { verdict, cause } of members) {
    verdicts[verdict]++
    causes[cause]++
  }
  return { name, submissions: members.length, verdicts, causes }
}

function averagePhases (cause: Cause, analyzed: readonly AnalyzedSubmission[]): CausePhases {
  const members = analyzed.filter(each => each.cause === cause)
  const meanMs = Object.fromEntries(Object.values(Phase).map(phase => [phase, members.reduce((sum, { phases }) => sum + phases[phase], 0) / Math.max(1, members.length)])) as Record<Phase, number>
  return { cause, submissions: members.length, meanMs }
}
