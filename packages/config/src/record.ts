/** Record of a team in the store: document, bounded history and audit trail in one value. */
import * as protocol from '@egretvalve/protocol'
import * as results from 'ts-results'
import * as zod from 'zod'
import { appendAudit, auditTrailSchema, createAuditTrail, type AuditAction, type AuditEntry, type AuditEntryContent } from './audit.ts'
import { compareDocuments } from './difference.ts'
import { teamDocumentSchema, type TeamDocument } from './document.ts'

/** Key prefix of the teams' records. */
export const TEAM_KEY_PREFIX = 'config/team/'
/** Key prefix of archived audit entries. */
export const ARCHIVE_KEY_PREFIX = 'config/audit/'
/** Maximum number of versions in a record's history. */
export const MAX_HISTORY = 50
/** Maximum number of audit entries in a record; above it the older half moves to an archive. */
export const MAX_AUDIT_ENTRIES = 400
/** Maximum size of a record in bytes; the store accepts values of up to 1 MB. */
export const MAX_RECORD_BYTES = 900_000
/** Maximum number of differences in one audit entry. */
const MAX_DIFFERENCES = 100

const historyEntrySchema = zod.object({ version: zod.number().int().positive(), changeId: zod.string(), document: teamDocumentSchema })

const teamRecordSchema = zod.object({
  team: zod.string(),
  /** 0 until the first document is accepted. */
  version: zod.number().int().min(0),
  /** Accepted versions, oldest first; the last is in force. */
  history: zod.array(historyEntrySchema),
  audit: auditTrailSchema
})

/** Stored record of a team. */
export type TeamRecord = zod.infer<typeof teamRecordSchema>

/** A change requested by an operator. */
export interface ChangeRequest {
  team: string
  /** Idempotency key chosen by the client; a change id takes effect at most once. */
  changeId: string
  /** Version on which the operator based the change; 0 for a new team. */
  seenVersion: number
  document: TeamDocument
  action: AuditAction
  operator: string
}

/** Entry that received a change, and its wall-clock time in Unix milliseconds. */
export interface ChangeContext {
  entryId: string
  atMs: number
}

/** Returns the store key of a team's record. */
export function teamKey (team: string): string {
  return TEAM_KEY_PREFIX + team
}

/** Returns the store key of an archive, which ends with the sequence number of its first entry. */
export function archiveKey (team: string, firstSequence: number): string {
  return `${ARCHIVE_KEY_PREFIX}${team}/${String(firstSequence).padStart(9, '0')}`
}

/** Creates the record of a team without a document. */
export function createTeamRecord (team: string): TeamRecord {
  return { team, version: 0, history: [], audit: createAuditTrail() }
}

/** Parses a stored record; an empty text stands for an absent key and gives an empty record. Fails with `InvalidInput`. */
export function parseTeamRecord (team: string, text: string): results.Result<TeamRecord, protocol.StepError> {
  if (text === '') return results.Ok(createTeamRecord(team))
  try {
    return results.Ok(teamRecordSchema.parse(JSON.parse(text)))
  } catch (thrown) {
    return results.Err(new protocol.StepError(protocol.ErrorCode.InvalidInput, 'config.parseRecord', teamKey(team), String(thrown)))
  }
}

/** Returns the document in force, or undefined if none was accepted. */
export function currentDocument (record: TeamRecord): TeamDocument | undefined {
  return record.history.at(-1)?.document
}

/** Returns a version of the document, or undefined if the history no longer has it. */
export function findVersion (record: TeamRecord, version: number): TeamDocument | undefined {
  return record.history.find(entry => entry.version === version)?.document
}

/** Finds the audit entry of an accepted change among the entries that are not archived. */
export function findAcceptedChange (record: TeamRecord, changeId: string): AuditEntry | undefined {
  return record.audit.entries.find(entry => entry.changeId === changeId && entry.accepted)
}

/** Returns the record with the change accepted as the next version. */
export function acceptChange (record: TeamRecord, request: ChangeRequest, context: ChangeContext): TeamRecord {
  const version = record.version + 1
  const history = [...record.history, { version, changeId: request.changeId, document: request.document }].slice(-MAX_HISTORY)
  const content = createAuditContent(record, request, context, { toVersion: version, accepted: true, reason: '' })
  return { team: record.team, version, history, audit: appendAudit(record.audit, content) }
}

/** Returns the record with the refusal of a change added to its audit trail; the version stays the same. */
export function refuseChange (record: TeamRecord, request: ChangeRequest, context: ChangeContext, reason: string): TeamRecord {
  const content = createAuditContent(record, request, context, { toVersion: record.version, accepted: false, reason })
  return { ...record, audit: appendAudit(record.audit, content) }
}

type ChangeDecision = Pick<AuditEntryContent, 'toVersion' | 'accepted' | 'reason'>

function createAuditContent (record: TeamRecord, request: ChangeRequest, context: ChangeContext, decision: ChangeDecision): AuditEntryContent {
  const differences = compareDocuments(currentDocument(record), request.document)
  return {
    changeId: request.changeId,
    operator: request.operator,
    atMs: context.atMs,
    entryId: context.entryId,
    action: request.action,
    fromVersion: request.seenVersion,
    ...decision,
    differences: differences.slice(0, MAX_DIFFERENCES),
    omittedDifferences: Math.max(0, differences.length - MAX_DIFFERENCES)
  }
}

/** A record within `MAX_RECORD_BYTES`, and the audit entries that must be archived before it is written. */
export interface FittedRecord {
  record: TeamRecord
  text: string
  archived: AuditEntry[]
}

/**
 * Reduces a record to `MAX_AUDIT_ENTRIES` and `MAX_RECORD_BYTES`. For the size it drops the older half of the history until
 * one version is left, then moves out the older half of the audit entries, until the record fits or nothing can be removed.
 */
export function fitRecord (record: TeamRecord): FittedRecord {
  const archived: AuditEntry[] = []
  let fitted = record
  if (fitted.audit.entries.length > MAX_AUDIT_ENTRIES) fitted = archiveHalf(fitted, archived)
  let text = JSON.stringify(fitted)
  while (Buffer.byteLength(text) > MAX_RECORD_BYTES) {
    if (fitted.history.length > 1) fitted = { ...fitted, history: fitted.history.slice(Math.ceil(fitted.history.length / 2)) }
    else if (fitted.audit.entries.length > 1) fitted = archiveHalf(fitted, archived)
    else break
    text = JSON.stringify(fitted)
  }
  return { record: fitted, text, archived }
}

function archiveHalf (record: TeamRecord, archived: AuditEntry[]): TeamRecord {
  const cut = Math.floor(record.audit.entries.length / 2)
  const moved = record.audit.entries.slice(0, cut)
  const base = moved.at(-1)
  if (base === undefined) return record
  archived.push(...moved)
  return { ...record, audit: { baseSequence: base.sequence, baseHash: base.hash, entries: record.audit.entries.slice(cut) } }
}
