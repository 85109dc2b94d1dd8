/** Totals over the schedules of a range of seeds. */
import type { AnswerCounts, Violation } from './simOracle.ts'
import type { ScheduleOutcome } from './simSchedule.ts'

/** Consecutive seeds. */
export interface SeedRange {
  firstSeed: number
  count: number
}

/** A seed whose schedule violated a guarantee. */
export interface Finding {
  seed: number
  violations: Violation[]
}

/** Totals of a range of seeds. */
export interface Totals {
  schedules: number
  calls: number
  starts: number
  answers: AnswerCounts
  findings: Finding[]
}

export function createTotals (): Totals {
  return { schedules: 0, calls: 0, starts: 0, answers: { complete: 0, failed: 0, refused: 0, unknown: 0 }, findings: [] }
}

export function addOutcome (totals: Totals, outcome: ScheduleOutcome): void {
  totals.schedules += 1
  totals.calls += outcome.calls
  totals.starts += outcome.starts
  addAnswers(totals.answers, outcome.answers)
  if (outcome.violations.length > 0) totals.findings.push({ seed: outcome.seed, violations: outcome.violations })
}

export function addTotals (totals: Totals, other: Totals): void {
  totals.schedules += other.schedules
  totals.calls += other.calls
  totals.starts += other.starts
  addAnswers(totals.answers, other.answers)
  totals.findings.push(...other.findings)
}

function addAnswers (answers: AnswerCounts, other: AnswerCounts): void {
  answers.complete += other.complete
  answers.failed += other.failed
  answers.refused += other.refused
  answers.unknown += other.unknown
}
