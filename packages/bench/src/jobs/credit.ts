/** What the callers of a job load got. */
import type { ArrivingJob } from './workload.ts'

/** Share of the credit for an answer after the objective. */
const LATE_SHARE = 0.2
/** An answer later than this many objectives is of no use any more. */
const LATE_FACTOR = 3

/** How a job of the load ended. */
export interface JobAnswer {
  job: ArrivingJob
  /** Time from the arrival to the answer of a job that succeeded; undefined for others. */
  succeededAfterMs: number | undefined
  /** Time from the arrival to the refusal of a job that was refused. */
  refusedAfterMs?: number
}

/** Totals of one kind of job, or of all. */
export interface CreditTotals {
  asked: number
  inTime: number
  late: number
  refused: number
  /** Neither in time, nor late, nor refused. */
  lost: number
  earned: number
  owed: number
}

/** Credit by the name of the kind of job; all kinds together under an empty name. */
export type CreditTable = Map<string, CreditTotals>

/** Adds up the answers. */
export function countCredit (answers: readonly JobAnswer[]): CreditTable {
  const table: CreditTable = new Map()
  for (const answer of answers) {
    addAnswer(table, '', answer)
    addAnswer(table, answer.job.kind.name, answer)
  }
  return table
}

/** Returns the earned share of what is owed. */
export function creditShare (totals: CreditTotals | undefined): number {
  return totals === undefined || totals.owed === 0 ? 0 : totals.earned / totals.owed
}

function addAnswer (table: CreditTable, name: string, { job, succeededAfterMs, refusedAfterMs }: JobAnswer): void {
  const totals = table.get(name) ?? { asked: 0, inTime: 0, late: 0, refused: 0, lost: 0, earned: 0, owed: 0 }
  table.set(name, totals)
  totals.asked++
  totals.owed += job.kind.worth
  if (succeededAfterMs !== undefined && succeededAfterMs <= job.objectiveMs) {
    totals.inTime++
    totals.earned += job.kind.worth
  } else if (succeededAfterMs !== undefined && succeededAfterMs <= job.objectiveMs * LATE_FACTOR) {
    totals.late++
    totals.earned += job.kind.worth * LATE_SHARE
  } else if (refusedAfterMs !== undefined) totals.refused++
  else totals.lost++
}
