/** Reads and changes the teams' records in the platform's store. */
import * as platform from '@egretvalve/platform'
import * as protocol from '@egretvalve/protocol'
import type * as settings from '@egretvalve/settings'
import * as results from 'ts-results'
import { canonicalJson } from './canonical.ts'
import { compareDocuments } from './difference.ts'
import { events } from './events.ts'
import { HEAD_KEY, parseHead, raiseHead, type ConfigHead } from './head.ts'
import { ChangeOutcomeKind, type AcceptedChange, type ChangeOutcome, type ConflictingChange } from './outcome.ts'
import {
  acceptChange, archiveKey, currentDocument, findAcceptedChange, findVersion, fitRecord, parseTeamRecord, refuseChange, teamKey,
  type ChangeContext, type ChangeRequest, type FittedRecord, type TeamRecord
} from './record.ts'

/** Time after which a change that is not settled is reported as unavailable or unknown, in milliseconds. */
export const CHANGE_TIMEOUT_MS = 5_000
/** First wait before a store call is retried, in milliseconds; it doubles with each retry. */
const FIRST_RETRY_MS = 20
/** Longest wait before a store call is retried, in milliseconds. */
const LONGEST_RETRY_MS = 500

/** A record with the revision at which it was read. */
export interface StoredRecord {
  record: TeamRecord
  revision: number
}

/** The head with the revision at which it was read. */
export interface StoredHead {
  head: ConfigHead
  revision: number
}

/** Dependencies of the repository. */
export interface RepositoryServices {
  store: platform.Store
  timers: settings.Timers
  log: settings.Log
  entryId: string
}

/** State of a change while it is being settled. */
interface Attempt {
  request: ChangeRequest
  deadlineMs: number
  retryMs: number
  /** True once the answer to a write was lost, so that the write may have taken effect. */
  isAmbiguous: boolean
}

/** Reads teams' records and changes them by compare-and-swap. */
export class ConfigRepository {
  constructor (private readonly services: RepositoryServices) {}

  /** Reads a team's record; a team without one gets an empty record with version 0. */
  async read (team: string): Promise<results.Result<StoredRecord, protocol.StepError>> {
    const stored = await this.services.store.get(teamKey(team))
    if (stored.err) return results.Err(stored.val.error)
    const record = parseTeamRecord(team, stored.val.revision === 0 ? '' : stored.val.value)
    if (record.err) return record
    return results.Ok({ record: record.val, revision: stored.val.revision })
  }

  /** Reads the head: the upper bound of each team's version. */
  async readHead (): Promise<results.Result<StoredHead, protocol.StepError>> {
    const stored = await this.services.store.get(HEAD_KEY)
    if (stored.err) return results.Err(stored.val.error)
    const head = parseHead(stored.val.revision === 0 ? '' : stored.val.value)
    if (head.err) return head
    return results.Ok({ head: head.val, revision: stored.val.revision })
  }

  /**
   * Settles a change as accepted, unchanged or in conflict. If the store does not settle it within `CHANGE_TIMEOUT_MS`, the
   * outcome is unavailable when no write can have taken effect and unknown otherwise. A change id never takes effect twice,
   * so a client may retry an unknown change with the same id through any entry.
   */
  async change (request: ChangeRequest): Promise<ChangeOutcome> {
    const deadlineMs = this.services.timers.nowMs() + CHANGE_TIMEOUT_MS
    const attempt: Attempt = { request, deadlineMs, retryMs: FIRST_RETRY_MS, isAmbiguous: false }
    const outcome = await this.raiseBound(attempt) ?? await this.settle(attempt)
    this.logOutcome(request, outcome)
    return outcome
  }

  /** Raises the team's bound in the head, which must precede the write of its record. Returns an outcome only on failure. */
  private async raiseBound (attempt: Attempt): Promise<ChangeOutcome | undefined> {
    const { team, seenVersion } = attempt.request
    for (;;) {
      const stored = await this.readHead()
      if (stored.err) {
        if (await this.waitBeforeRetry(attempt)) continue
        return this.createFailure(attempt, stored.val)
      }
      if ((stored.val.head.versions[team] ?? 0) > seenVersion) return undefined
      const head = raiseHead(stored.val.head, team, seenVersion + 1)
      const written = await this.services.store.compareAndSwap(HEAD_KEY, stored.val.revision, JSON.stringify(head))
      if (written.ok) return undefined
      if (!await this.waitBeforeRetry(attempt)) return this.createFailure(attempt, written.val.error)
    }
  }

  /** Reads the record, evaluates the change against it and writes it, until the change is settled or its time is up. */
  private async settle (attempt: Attempt): Promise<ChangeOutcome> {
    for (;;) {
      const stored = await this.read(attempt.request.team)
      if (stored.err) {
        if (await this.waitBeforeRetry(attempt)) continue
        return this.createFailure(attempt, stored.val)
      }
      const settled = this.evaluate(attempt.request, stored.val.record)
      if (settled?.kind === ChangeOutcomeKind.Conflict) await this.recordRefusal(attempt.request, stored.val, settled)
      if (settled !== undefined) return settled
      const problem = await this.write(attempt, stored.val)
      if (problem === undefined) return this.createAccepted(attempt.request, stored.val.record)
      if (!await this.waitBeforeRetry(attempt)) return this.createFailure(attempt, problem)
    }
  }

  /** Evaluates a change against the record as read. Returns undefined if the change may be written. */
  private evaluate (request: ChangeRequest, record: TeamRecord): ChangeOutcome | undefined {
    const earlier = findAcceptedChange(record, request.changeId)
    if (earlier !== undefined) return this.createEarlierOutcome(request, record, earlier.toVersion)
    if (record.version !== request.seenVersion) return createConflict(request, record)
    const document = currentDocument(record)
    if (document === undefined || canonicalJson(document) !== canonicalJson(request.document)) return undefined
    return { kind: ChangeOutcomeKind.Unchanged, config: { team: request.team, version: record.version, document } }
  }

  /** Creates the outcome of a change id that was accepted before. */
  private createEarlierOutcome (request: ChangeRequest, record: TeamRecord, version: number): AcceptedChange {
    const document = findVersion(record, version) ?? request.document
    const differences = compareDocuments(findVersion(record, version - 1), document)
    return { kind: ChangeOutcomeKind.Accepted, changeId: request.changeId, config: { team: request.team, version, document }, differences }
  }

  private createAccepted (request: ChangeRequest, before: TeamRecord): AcceptedChange {
    const config = { team: request.team, version: before.version + 1, document: request.document }
    const differences = compareDocuments(currentDocument(before), request.document)
    return { kind: ChangeOutcomeKind.Accepted, changeId: request.changeId, config, differences }
  }

  /** Writes the change. Returns the error unless the store confirmed the write. */
  private async write (attempt: Attempt, stored: StoredRecord): Promise<protocol.StepError | undefined> {
    const fitted = fitRecord(acceptChange(stored.record, attempt.request, this.createContext()))
    const archiveError = await this.archive(fitted)
    if (archiveError !== undefined) return archiveError
    const written = await this.services.store.compareAndSwap(teamKey(attempt.request.team), stored.revision, fitted.text)
    if (written.ok) return undefined
    if (written.val.failure === platform.StoreFailure.AnswerLost) attempt.isAmbiguous = true
    return written.val.error
  }

  /** Writes the audit entries that leave the record to an archive. The key depends only on the entries, so the write is idempotent. */
  private async archive (fitted: FittedRecord): Promise<protocol.StepError | undefined> {
    const first = fitted.archived[0]
    if (first === undefined) return undefined
    const key = archiveKey(fitted.record.team, first.sequence)
    const text = JSON.stringify(fitted.archived)
    const written = await this.services.store.compareAndSwap(key, 0, text)
    if (written.ok) return undefined
    const existing = await this.services.store.get(key)
    return existing.ok && existing.val.value === text ? undefined : written.val.error
  }

  /** Adds a refused change to the audit trail. A failed write is logged and not retried. */
  private async recordRefusal (request: ChangeRequest, stored: StoredRecord, conflict: ConflictingChange): Promise<void> {
    const reason = `version ${conflict.seenVersion} was seen, version ${conflict.currentVersion} is in force`
    const fitted = fitRecord(refuseChange(stored.record, request, this.createContext(), reason))
    const archiveError = await this.archive(fitted)
    const written = archiveError === undefined && await this.services.store.compareAndSwap(teamKey(request.team), stored.revision, fitted.text)
    if (written !== false && written.ok) return
    this.services.log.event(events.refusalNotAudited, { team: request.team, operator: request.operator, changeId: request.changeId })
  }

  private createContext (): ChangeContext {
    return { entryId: this.services.entryId, atMs: this.services.timers.wallClockMs() }
  }

  /** Waits before the next attempt. Returns false, without waiting, if the wait would exceed the deadline. */
  private async waitBeforeRetry (attempt: Attempt): Promise<boolean> {
    const { timers } = this.services
    if (timers.nowMs() + attempt.retryMs > attempt.deadlineMs) return false
    await timers.sleep(attempt.retryMs)
    attempt.retryMs = Math.min(LONGEST_RETRY_MS, attempt.retryMs * 2)
    return true
  }

  /** Creates the outcome of a change that was not settled in time. */
  private createFailure (attempt: Attempt, error: protocol.StepError): ChangeOutcome {
    if (!attempt.isAmbiguous) return { kind: ChangeOutcomeKind.Unavailable, error }
    return { kind: ChangeOutcomeKind.Unknown, changeId: attempt.request.changeId, error }
  }

  private logOutcome (request: ChangeRequest, outcome: ChangeOutcome): void {
    const fields = { team: request.team, operator: request.operator, changeId: request.changeId, seenVersion: request.seenVersion, outcome: outcome.kind }
    this.services.log.event(selectEvent(outcome.kind), fields)
  }
}

function selectEvent (kind: ChangeOutcomeKind): settings.LogEvent {
  switch (kind) {
    case ChangeOutcomeKind.Accepted:
    case ChangeOutcomeKind.Unchanged:
      return events.changeAccepted
    case ChangeOutcomeKind.Conflict:
    case ChangeOutcomeKind.Invalid:
    case ChangeOutcomeKind.Unavailable:
      return events.changeRefused
    case ChangeOutcomeKind.Unknown:
      return events.changeUnknown
    default:
      return protocol.assertNever(kind)
  }
}

function createConflict (request: ChangeRequest, record: TeamRecord): ConflictingChange {
  const accepted = record.audit.entries.filter(entry => entry.accepted)
  return {
    kind: ChangeOutcomeKind.Conflict,
    seenVersion: request.seenVersion,
    currentVersion: record.version,
    changedBy: accepted.at(-1)?.operator ?? '',
    differences: compareDocuments(findVersion(record, request.seenVersion), currentDocument(record))
  }
}
