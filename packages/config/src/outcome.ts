/** How an operator's change ended. */
import type * as protocol from '@egretvalve/protocol'
import type { ConfigProblem } from './checks.ts'
import type { Difference } from './difference.ts'
import type { AcceptedConfig } from './registry.ts'

/** Kinds of outcomes. */
export enum ChangeOutcomeKind {
  /** The change is in the store and will come into force everywhere. */
  Accepted = 'accepted',
  /** The document is the one in force already; nothing was written. */
  Unchanged = 'unchanged',
  /** Another change was accepted first; nothing was overwritten. */
  Conflict = 'conflict',
  /** The document or the request is not valid. */
  Invalid = 'invalid',
  /** The store can't be reached; the change did not take effect. */
  Unavailable = 'unavailable',
  /** The change may have taken effect; ask with the same change id. */
  Unknown = 'unknown'
}

/** The change is in force on the entry that took it. */
export interface AcceptedChange {
  kind: ChangeOutcomeKind.Accepted
  changeId: string
  config: AcceptedConfig
  differences: Difference[]
}

/** The document asked for is in force. */
export interface UnchangedChange {
  kind: ChangeOutcomeKind.Unchanged
  config: AcceptedConfig
}

/** Another operator's change came first. */
export interface ConflictingChange {
  kind: ChangeOutcomeKind.Conflict
  seenVersion: number
  currentVersion: number
  /** Who made the change that won. */
  changedBy: string
  /** From the version that the operator saw to the one in force; from nothing when the seen version is no longer kept. */
  differences: Difference[]
}

/** The request is not valid. */
export interface InvalidChange {
  kind: ChangeOutcomeKind.Invalid
  problems: ConfigProblem[]
}

/** The store refused or can't be reached; no effect. */
export interface UnavailableChange {
  kind: ChangeOutcomeKind.Unavailable
  error: protocol.StepError
}

/** A write was sent and its fate could not be read back in time. */
export interface UnknownChange {
  kind: ChangeOutcomeKind.Unknown
  changeId: string
  error: protocol.StepError
}

/** The outcome of a change. */
export type ChangeOutcome = AcceptedChange | UnchangedChange | ConflictingChange | InvalidChange | UnavailableChange | UnknownChange
