/** The value that the store keeps for a team: document, bounded history and audit trail. */
import * as protocol from '@egretvalve/protocol'
import * as results from 'ts-results'
import * as zod from 'zod'
import { appendAudit, auditTrailSchema, createAuditTrail, type AuditAction, type AuditEntry, type AuditFacts } from './audit.ts'
import { compareDocuments } from './difference.ts'
import { teamDocumentSchema, type TeamDocument } from './document.ts'

/** Prefix of the keys that hold the teams' records. */
export const TEAM_KEY_PREFIX = 'config/team/'
/** Prefix of the keys that hold archived audit entries. */
export const ARCHIVE_KEY_PREFIX = 'config/audit/'
/** Most versions that a record keeps. */
export const MAX_HISTORY = 50
/** Most audit entries that a record keeps before the older half moves to an archive. */
export const MAX_AUDIT_ENTRIES = 400
/** Largest record in bytes; the store's limit is 1 MB. */
export const MAX_RECORD_BYTES = 900_000
/** Most differences that one audit entry lists. */
const MAX_DIFFERENCES = 100

const historyEntrySchema = zod.object({ version: zod.number().int().positive(), changeId: zod.string(), document: teamDocumentSchema })

const teamRecordSchema = zod.object({
  team: zod.string(),
  /** 0 while no document was ever accepted. */
  version: zod.number().int().min(0),
  /** Accepted versions, oldest first; the last is in force. */
  history: zod.array(historyEntrySchema),
  audit: auditTrailSchema
})

/** The stored value of a team. */
export type TeamRecord = zod.infer<typeof teamRecordSchema>

/** A change as an operator asks for it. */
export interface ChangeRequest {
  team: string
  /** Chosen by the client; the same id never takes effect twice. */
  changeId: string
  /** The version that the operator saw; 0 for a new team. */
  seenVersion: number
  document: TeamDocument
  action: AuditAction
  operator: string
}

/** Where and when a change was asked for. */
export interface ChangeContext {
  entryId: string
  atMs: number
}

/** Returns the store key of a team. */
export function teamKey (team: string): string {
  return TEAM_KEY_PREFIX + team
}

/** Returns the store key of an archive, named by the sequence of its first entry. */
export function archiveKey (team: string, firstSequence: number): string {
  return `${ARCHIVE_KEY_PREFIX}${team}/${String(firstSequence).padStart(9, '0')}`
}

/** Creates the record of a team without a document. */
export function createTeamRecord (team: string): TeamRecord {
  return { team, version: 0, history: [], audit: createAuditTrail() }
}

/** Reads a stored record; an absent key gives an empty record. */
export function parseTeamRecord (team: string, text: string): results.Result<TeamRecord, protocol.StepError> {
  if (text === '') return results.Ok(createTeamRecord(team))
  try {
    return results.Ok(teamRecordSchema.parse(JSON.parse(text)))
  } catch (thrown) {
    return results.Err(new protocol.StepError(protocol.ErrorCode.InvalidInput, 'config.parseRecord', teamKey(team), String(thrown)))
  }
}

/** Returns the document in force. */
export function currentDocument (record: TeamRecord): TeamDocument | undefined {
  return record.history.at(-1)?.document
}

/** Returns a kept version of the document. */
export function findVersion (record: TeamRecord, version: number): TeamDocument | undefined {
  return record.history.find(entry => entry.version === version)?.document
}

/** Finds the audit entry of an accepted change. */
export function findAcceptedChange (record: TeamRecord, changeId: string): AuditEntry | undefined {
  return record.audit.entries.find(entry => entry.changeId === changeId && entry.accepted)
}

/** Returns the record with the change accepted as the next version. */
export function acceptChange (record: TeamRecord, request: ChangeRequest, context: ChangeContext): TeamRecord {
  const version = record.version + 1
  const history = [...record.history, { version, changeId: request.changeId, document: request.document }].slice(-MAX_HISTORY)
  const facts = createFacts(record, request, context, { toVersion: version, accepted: true, reason: '' })
  return { team: record.team, version, history, audit: appendAudit(record.audit, facts) }
}

/** Returns the record with the refusal of a change in its audit trail; the version stays. */
export function refuseChange (record: TeamRecord, request: ChangeRequest, context: ChangeContext, reason: string): TeamRecord {
  const facts = createFacts(record, request, context, { toVersion: record.version, accepted: false, reason })
  return { ...record, audit: appendAudit(record.audit, facts) }
}

type Verdict = Pick<AuditFacts, 'toVersion' | 'accepted' | 'reason'>

function createFacts (record: TeamRecord, request: ChangeRequest, context: ChangeContext, verdict: Verdict): AuditFacts {
  const differences = compareDocuments(currentDocument(record), request.document)
  return {
    changeId: request.changeId,
    operator: request.operator,
    atMs: context.atMs,
    entryId: context.entryId,
    action: request.action,
    fromVersion: request.seenVersion,
    ...verdict,
    differences: differences.slice(0, MAX_DIFFERENCES),
    omittedDifferences: Math.max(0, differences.length - MAX_DIFFERENCES)
  }
}

/** A record that fits the store, and the audit entries that must be archived before it is written. */
export interface FittedRecord {
  record: TeamRecord
  text: string
  archived: AuditEntry[]
}

/** Drops old versions and moves old audit entries until the record fits the store. */
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
