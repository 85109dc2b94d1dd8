/**
 * Judges a submission that the owner of its partition does not know.
 *
 * A dated id bounds from below the time of its first possible start, by an interval as TrueTime's `now` gives (L. Tang,
 * "Tick or Tock? Keeping Time and Order in Distributed Databases", after Google Spanner): an id dated after the end of
 * everything that might be forgotten, plus the clocks' bound, can't have been started before.
 */
import * as protocol from '@egretvalve/protocol'

/** Number of clock bounds between the end of an earlier owner's starts and the first date that must be newer. */
const FRESH_DATE_BOUNDS = 3

/** What may be done with a submission that is not known here. */
export enum FirstSight {
  /** No task of it can have started before. */
  Fresh = 'fresh',
  /** A task of it may have started before: it must not start now. */
  MayHaveStarted = 'may-have-started',
  /** Its date lies ahead of the clocks: it must not start, as a later owner could not bound its first start. */
  DatedAhead = 'dated-ahead',
  /** Records of its time are no longer kept: it must not start now. */
  TooOld = 'too-old'
}

/** Bounds against which a submission is judged. Wall-clock times. */
export interface FirstSightBounds {
  nowMs: number
  /** Starts before this time may be unknown here; 0 when all are known. */
  unknownBeforeMs: number
  clockBoundMs: number
  retentionMs: number
}

/** Judges an id that is not known to the owner of its partition. */
export function judgeFirstSight (submissionId: string, bounds: FirstSightBounds): FirstSight {
  const datedMs = protocol.submissionTimeMs(submissionId)
  if (datedMs === undefined) return judgeUndated(bounds)
  if (datedMs > bounds.nowMs + bounds.clockBoundMs) return FirstSight.DatedAhead
  if (datedMs < bounds.nowMs - bounds.retentionMs + 2 * bounds.clockBoundMs) return FirstSight.TooOld
  return datedMs < bounds.unknownBeforeMs ? FirstSight.MayHaveStarted : FirstSight.Fresh
}

function judgeUndated (bounds: FirstSightBounds): FirstSight {
  return bounds.nowMs < bounds.unknownBeforeMs + bounds.retentionMs ? FirstSight.MayHaveStarted : FirstSight.Fresh
}

/**
 * Returns the date from which ids can't belong to starts made until a wall-clock time. The bound counts three times:
 * for the clock of the entry that took the id ahead of its date, for the same clock against true time, and for the
 * clock that read the time given.
 */
export function resolveFreshDateMs (startsEndedAtMs: number, clockBoundMs: number): number {
  return startsEndedAtMs + FRESH_DATE_BOUNDS * clockBoundMs
}
