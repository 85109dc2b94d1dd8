/** Credits the answers of a job load by how late they came. */
import type { ArrivingJob } from './workload.ts'

/** Share of the full credit that an answer after the objective earns. */
const LATE_SHARE = 0.2
/** Answers that take longer than this many times the objective earn nothing. */
const LATE_FACTOR = 3

/** How a job of the load ended. */
export interface JobAnswer {
  job: ArrivingJob
  /** Time from the arrival to the answer of a job that succeeded, in milliseconds; undefined for others. */
  succeededAfterMs: number | undefined
  /** Time from the arrival to the refusal of a job that was refused, in milliseconds. */
  refusedAfterMs?: number
  /** Time from the arrival to the answer that the job failed, in milliseconds. */
  failedAfterMs?: number
}

/** Totals of one kind of job, or of all kinds. */
export interface CreditTotals {
  submitted: number
  inTime: number
  late: number
  refused: number
  /** Neither in time, nor late, nor refused. */
  lost: number
  earnedCredit: number
  /** Credit if every job had been answered in time. */
  maxCredit: number
}

/** Totals by the name of the job kind; the empty name holds the totals of all kinds. */
export type CreditTable = Map<string, CreditTotals>

/** Counts the answers and their credit by job kind. */
export function countCredit (answers: readonly JobAnswer[]): CreditTable {
  const table: CreditTable = new Map()
  for (const answer of answers) {
    addAnswer(table, '', answer)
    addAnswer(table, answer.job.kind.name, answer)
  }
  return table
}

/** Returns the earned share of the maximum credit, from 0 to 1; 0 without jobs. */
export function creditShare (totals: CreditTotals | undefined): number {
  return totals === undefined || totals.maxCredit === 0 ? 0 : totals.earnedCredit / totals.maxCredit
}

function addAnswer (table: CreditTable, name: string, { job, succeededAfterMs, refusedAfterMs }: JobAnswer): void {
  const totals = table.get(name) ?? { submitted: 0, inTime: 0, late: 0, refused: 0, lost: 0, earnedCredit: 0, maxCredit: 0 }
  table.set(name, totals)
  totals.submitted++
  totals.maxCredit += job.kind.creditPerJob
  if (succeededAfterMs !== undefined && succeededAfterMs <= job.objectiveMs) {
    totals.inTime++
    totals.earnedCredit += job.kind.creditPerJob
  } else if (succeededAfterMs !== undefined && succeededAfterMs <= job.objectiveMs * LATE_FACTOR) {
    totals.late++
    totals.earnedCredit += job.kind.creditPerJob * LATE_SHARE
  } else if (refusedAfterMs !== undefined) totals.refused++
  else totals.lost++
}
