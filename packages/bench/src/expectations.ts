/** Checks a run against the answers that its trace expects. */
import type { GuaranteeViolations } from './guarantees.ts'
import { countViolations } from './guarantees.ts'
import type { JobOutcome, RunRecord } from './record.ts'

/** A difference between an expected and an actual outcome. */
export interface Mismatch {
  /** A submission id, or the name of a violated guarantee. */
  subject: string
  expected: string
  actual: string
}

/** Lists the submissions whose answer differs from the expected ones, and the violated guarantees. */
export function listMismatches (record: RunRecord): Mismatch[] {
  return [...record.outcomes.flatMap(checkOutcome), ...checkViolations(countViolations(record))]
}

function checkOutcome (outcome: JobOutcome): Mismatch[] {
  const { expected, submissionId } = outcome.job
  if (expected === undefined) return []
  if (outcome.kind !== undefined && expected.includes(outcome.kind)) return []
  return [{ subject: submissionId, expected: expected.join(' or '), actual: `${outcome.kind ?? 'no answer'} (${outcome.code})` }]
}

function checkViolations (violations: GuaranteeViolations): Mismatch[] {
  return Object.entries(violations)
    .filter(([, count]) => count > 0)
    .map(([guarantee, count]) => ({ subject: guarantee, expected: '0', actual: String(count) }))
}
