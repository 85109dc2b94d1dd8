/** Checks a run against the outcomes that its trace states. */
import type { GuaranteeViolations } from './guarantees.ts'
import { countViolations } from './guarantees.ts'
import type { JobOutcome, RunRecord } from './record.ts'

/** An outcome that differs from what the trace states. */
export interface Mismatch {
  /** What the mismatch is about: a submission id, or a promise. */
  subject: string
  expected: string
  actual: string
}

/** Lists the submissions whose answer the trace doesn't allow and the promises that were broken. */
export function listMismatches (record: RunRecord): Mismatch[] {
  return [...record.outcomes.flatMap(checkOutcome), ...checkViolations(countViolations(record))]
}

function checkOutcome (outcome: JobOutcome): Mismatch[] {
  const { expected, submissionId } = outcome.job
  if (expected === undefined) return []
  if (outcome.kind !== undefined && expected.includes(outcome.kind)) return []
  return [{ subject: submissionId, expected: expected.join(' or '), actual: `${outcome.kind ?? 'no answer'} (${outcome.code})` }]
}

function checkViolations (faults: GuaranteeViolations): Mismatch[] {
  return Object.entries(faults)
    .filter(([, count]) => count > 0)
    .map(([promise, count]) => ({ subject: promise, expected: '0', actual: String(count) }))
}
