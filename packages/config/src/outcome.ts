/** Outcomes of an operator's change. */
import type * as protocol from '@egretvalve/protocol'
import type { ConfigProblem } from './checks.ts'
import type { Difference } from './difference.ts'
import type { AcceptedConfig } from './registry.ts'

/** Kinds of outcomes. */
export enum ChangeOutcomeKind {
  /** The change is in the store and is being propagated to all nodes. */
  Accepted = 'accepted',
  /** The document equals the one in force; nothing was written. */
  Unchanged = 'unchanged',
  /** Another change was accepted first; nothing was overwritten. */
  Conflict = 'conflict',
  /** The document or the request is not valid. */
  Invalid = 'invalid',
  /** The store refused the change or can't be reached; the change did not take effect. */
  Unavailable = 'unavailable',
  /** The change may have taken effect; retry it with the same change id to find out. */
  Unknown = 'unknown'
}

/** The change is in the store and in force on the entry that received it. */
export interface AcceptedChange {
  kind: ChangeOutcomeKind.Accepted
  changeId: string
  config: AcceptedConfig
  differences: Difference[]
}

/** The requested document is already in force. */
export interface UnchangedChange {
  kind: ChangeOutcomeKind.Unchanged
  config: AcceptedConfig
}

/** Another change was accepted first. */
export interface ConflictingChange {
  kind: ChangeOutcomeKind.Conflict
  seenVersion: number
  currentVersion: number
  /** Operator of the last accepted change. */
  changedBy: string
  /** Differences from the seen version to the one in force; from an empty document if the history no longer has the seen version. */
  differences: Difference[]
}

/** The request is not valid. */
export interface InvalidChange {
  kind: ChangeOutcomeKind.Invalid
  problems: ConfigProblem[]
}

/** The store refused the change or can't be reached; the change had no effect. */
export interface UnavailableChange {
  kind: ChangeOutcomeKind.Unavailable
  error: protocol.StepError
}

/** The answer to a write was lost, and the record could not be read back in time. */
export interface UnknownChange {
  kind: ChangeOutcomeKind.Unknown
  changeId: string
  error: protocol.StepError
}

/** Outcome of a change. */
export type ChangeOutcome = AcceptedChange | UnchangedChange | ConflictingChange | InvalidChange | UnavailableChange | UnknownChange
