/** Audit trail of a team's configuration; each entry contains the hash of the entry before it. */
import * as zod from 'zod'
import { canonicalJson, digestText } from './canonical.ts'

/** Kind of change that an operator requested. */
export enum AuditAction {
  Apply = 'apply',
  Rollback = 'rollback'
}

/** Previous hash of the first entry of a trail. */
export const GENESIS_HASH = '0'.repeat(64)

/** Schema of one field that differs. */
export const differenceSchema = zod.object({ path: zod.string(), from: zod.string().optional(), to: zod.string().optional() })

/** Schema of one audit entry. */
export const auditEntrySchema = zod.object({
  sequence: zod.number().int().positive(),
  changeId: zod.string(),
  operator: zod.string(),
  /** Wall-clock time on the entry that wrote it, in Unix milliseconds. */
  atMs: zod.number(),
  /** Entry that received the request. */
  entryId: zod.string(),
  action: zod.enum(AuditAction),
  fromVersion: zod.number().int(),
  /** The version that came into force; the current version when the change was refused. */
  toVersion: zod.number().int(),
  accepted: zod.boolean(),
  /** Why the change was refused; empty when it was accepted. */
  reason: zod.string(),
  differences: zod.array(differenceSchema),
  /** Number of differences left out because of the limit for one audit entry. */
  omittedDifferences: zod.number().int(),
  previousHash: zod.string(),
  hash: zod.string()
})

/** Schema of an audit trail. Entries up to and including the base were moved to archives. */
export const auditTrailSchema = zod.object({
  baseSequence: zod.number().int(),
  baseHash: zod.string(),
  entries: zod.array(auditEntrySchema)
})

/** One audit entry. */
export type AuditEntry = zod.infer<typeof auditEntrySchema>
/** Audit entries of a team that are not archived. */
export type AuditTrail = zod.infer<typeof auditTrailSchema>
/** Content of an audit entry, without its place in the chain. */
export type AuditEntryContent = Omit<AuditEntry, 'sequence' | 'previousHash' | 'hash'>

/** Creates a trail without entries. */
export function createAuditTrail (): AuditTrail {
  return { baseSequence: 0, baseHash: GENESIS_HASH, entries: [] }
}

/** Returns the trail with an entry appended. */
export function appendAudit (trail: AuditTrail, content: AuditEntryContent): AuditTrail {
  const last = trail.entries.at(-1)
  const sequence = (last?.sequence ?? trail.baseSequence) + 1
  const previousHash = last?.hash ?? trail.baseHash
  const unsigned = { ...content, sequence, previousHash }
  const entry: AuditEntry = { ...unsigned, hash: hashEntry(unsigned) }
  return { ...trail, entries: [...trail.entries, entry] }
}

/** First entry at which the hash chain is broken. */
export interface AuditBreak {
  sequence: number
  message: string
}

/** Finds the first missing or altered entry. Returns undefined if the chain is intact. */
export function findAuditBreak (trail: AuditTrail): AuditBreak | undefined {
  let sequence = trail.baseSequence
  let previousHash = trail.baseHash
  for (const entry of trail.entries) {
    sequence++
    if (entry.sequence !== sequence) return { sequence, message: `entry ${sequence} is missing` }
    if (entry.previousHash !== previousHash) return { sequence, message: `entry ${sequence} does not follow the entry before it` }
    if (entry.hash !== rehash(entry)) return { sequence, message: `entry ${sequence} was altered` }
    previousHash = entry.hash
  }
  return undefined
}

function rehash (entry: AuditEntry): string {
  const { hash, ...unsigned } = entry
  return hashEntry(unsigned)
}

function hashEntry (entry: Omit<AuditEntry, 'hash'>): string {
  return digestText(canonicalJson(entry))
}
