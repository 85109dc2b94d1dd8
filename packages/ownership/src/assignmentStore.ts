/** Reads and changes the assignment in the platform's store. */
import * as platform from '@egretvalve/platform'
import type * as settings from '@egretvalve/settings'
import * as results from 'ts-results'
import * as uuid from 'uuid'
import { createAssignment, decodeAssignment, encodeAssignment, stampChange } from './assignment.ts'
import type { Assignment } from './assignment.ts'
import { ownershipEvents } from './events.ts'

/** The assignment and the members whose leases the store holds, as of one read. */
export interface Snapshot {
  assignment: Assignment
  /** Revision of the assignment's key; 0 before the first change. */
  revision: number
  /** Revision of the store, for the next watch. */
  storeRevision: number
  liveIncarnations: ReadonlySet<string>
}

/** Computes the next assignment from the current one; undefined leaves it as it is. */
export type Change = (snapshot: Snapshot) => Assignment | undefined

/** How a change ended. */
export interface ChangeOutcome {
  isApplied: boolean
  snapshot: Snapshot
}

/** Attempts of one change before the caller has to look again. */
const CHANGE_ATTEMPTS = 8

/** Returns the key of a region's assignment. */
export function assignmentKey (region: string): string {
  return `assignment/${region}`
}

/** Returns the prefix of the keys that members keep under their leases. */
export function memberPrefix (region: string): string {
  return `assignment/${region}/members/`
}

/** The assignment of one region in the store. */
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

  /** Waits for a change of the assignment or of a member's key. */
  async watch (afterRevision: number, waitMs: number, signal: AbortSignal): platform.StoreResult<platform.StoreChange> {
    return await this.store.watch(assignmentKey(this.region), afterRevision, waitMs, signal)
  }

  /** Changes the assignment by compare-and-swap. A lost answer is settled by reading back. */
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
      const stamped = stampChange(next, snapshot.assignment.version + 1, changeId)
      const written = await this.store.compareAndSwap(assignmentKey(this.region), snapshot.revision, encodeAssignment(stamped))
      if (written.ok) return results.Ok({ isApplied: true, snapshot: { ...snapshot, assignment: stamped, revision: written.val.revision } })
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
