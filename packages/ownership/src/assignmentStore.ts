/** Access to the assignment in the platform's store. */
import * as platform from '@egretvalve/platform'
import type * as settings from '@egretvalve/settings'
import * as results from 'ts-results'
import * as uuid from 'uuid'
import { createAssignment, decodeAssignment, encodeAssignment, withVersion } from './assignment.ts'
import type { Assignment } from './assignment.ts'
import { ownershipEvents } from './events.ts'

/** The assignment and the members with a valid store lease, as of one read. */
export interface Snapshot {
  assignment: Assignment
  /** Revision of the assignment's key; 0 before the first change. */
  revision: number
  /** Revision of the store, for the next watch. */
  storeRevision: number
  liveIncarnations: ReadonlySet<string>
}

/** Computes the next assignment from the current one; undefined means no change. */
export type Change = (snapshot: Snapshot) => Assignment | undefined

/** Result of a change. */
export interface ChangeOutcome {
  isApplied: boolean
  snapshot: Snapshot
}

/** Compare-and-swap attempts per change. */
const CHANGE_ATTEMPTS = 8

/** Returns the key of a region's assignment. */
export function assignmentKey (region: string): string {
  return `assignment/${region}`
}

/** Returns the prefix of the members' keys, each of which the store deletes with the member's lease. */
export function memberPrefix (region: string): string {
  return `assignment/${region}/members/`
}

/** The stored assignment of one region. */
export class AssignmentStore {
  constructor (
    private readonly store: platform.Store,
    private readonly region: string,
    private readonly partitionCount: number,
    private readonly log: settings.Log
  ) {}

  /** Reads the assignment and the members' keys in one call. */
  async read (): platform.StoreResult<Snapshot> {
    const listed = await this.store.list(assignmentKey(this.region))
    return listed.map(change => this.createSnapshot(change))
  }

  /** Waits up to `waitMs` for a change of the assignment or of a member's key. */
  async watch (afterRevision: number, waitMs: number, signal: AbortSignal): platform.StoreResult<platform.StoreChange> {
    return await this.store.watch(assignmentKey(this.region), afterRevision, waitMs, signal)
  }

  /**
   * Changes the assignment by compare-and-swap; retries on a conflict. After a lost answer the id of the change in the
   * assignment shows whether the write took effect. Fails with the store's failure, or with the last one when all attempts are used.
   */
  async change (change: Change): platform.StoreResult<ChangeOutcome> {
    const changeId = uuid.v4()
    let failure: platform.StoreProblem | undefined
    for (let attempt = 0; attempt < CHANGE_ATTEMPTS; attempt++) {
      const read = await this.read()
      if (read.err) return read
      const snapshot = read.val
      if (snapshot.assignment.changeIds.includes(changeId)) return results.Ok({ isApplied: true, snapshot })
      const next = change(snapshot)
      if (next === undefined) return results.Ok({ isApplied: false, snapshot })
      const versioned = withVersion(next, snapshot.assignment.version + 1, changeId)
      const written = await this.store.compareAndSwap(assignmentKey(this.region), snapshot.revision, encodeAssignment(versioned))
      if (written.ok) return results.Ok({ isApplied: true, snapshot: { ...snapshot, assignment: versioned, revision: written.val.revision } })
      failure = written.val
      if (failure.failure === platform.StoreFailure.AnswerLost) this.log.event(ownershipEvents.answerLost, { step: 'assignment.change' })
      else if (failure.failure !== platform.StoreFailure.Mismatch) return results.Err(failure)
    }
    return results.Err(failure as platform.StoreProblem)
  }

  private createSnapshot (change: platform.StoreChange): Snapshot {
    const prefix = memberPrefix(this.region)
    const stored = change.values.find(value => value.key === assignmentKey(this.region))
    const liveIncarnations = new Set(change.values.filter(value => value.key.startsWith(prefix)).map(value => value.key.slice(prefix.length)))
    return {
      assignment: stored === undefined ? createAssignment(this.partitionCount) : decodeAssignment(stored.value),
      revision: stored?.revision ?? 0,
      storeRevision: change.revision,
      liveIncarnations
    }
  }
}
