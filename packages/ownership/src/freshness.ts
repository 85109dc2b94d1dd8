/**
 * Freshness check of submissions that the owner of their partition has no record of.
 *
 * The date of a dated id is a lower bound of its first possible start, up to the clock bound, like the interval of
 * TrueTime's `now` (L. Tang, "Tick or Tock? Keeping Time and Order in Distributed Databases", after Google Spanner). An id
 * dated later than every start that may be unknown here, plus the clock bounds, can't have been started before.
 */
import * as protocol from '@egretvalve/protocol'

/** Number of clock bounds from the end of an earlier owner's starts to the first date that is fresh. See `resolveFreshDateMs`. */
const FRESH_DATE_CLOCK_BOUNDS = 3

/** Whether a submission without a record may be started. */
export enum Freshness {
  /** No task of it can have started before; it may be started. */
  Fresh = 'fresh',
  /** A task of it may have started before; it must not be started. */
  MayHaveStarted = 'may-have-started',
  /** Its date is further ahead than the clock bound allows; it must not be started, as later owners could not bound its first start. */
  DatedAhead = 'dated-ahead',
  /** Its date is outside the retention window, so records of its starts may have been evicted; it must not be started. */
  TooOld = 'too-old'
}

/** Bounds of the check; times of day are by the wall clock. */
export interface FreshnessBounds {
  nowMs: number
  /** Starts before this time may be unknown; 0 when all are known. */
  unknownBeforeMs: number
  clockBoundMs: number
  retentionMs: number
}

/** Checks an id that the owner of its partition has no record of. */
export function checkFreshness (submissionId: string, bounds: FreshnessBounds): Freshness {
  const datedMs = protocol.submissionTimeMs(submissionId)
  if (datedMs === undefined) return checkUndated(bounds)
  if (datedMs > bounds.nowMs + bounds.clockBoundMs) return Freshness.DatedAhead
  if (datedMs < bounds.nowMs - bounds.retentionMs + 2 * bounds.clockBoundMs) return Freshness.TooOld
  return datedMs < bounds.unknownBeforeMs ? Freshness.MayHaveStarted : Freshness.Fresh
}

function checkUndated (bounds: FreshnessBounds): Freshness {
  return bounds.nowMs < bounds.unknownBeforeMs + bounds.retentionMs ? Freshness.MayHaveStarted : Freshness.Fresh
}

/**
 * Returns the date from which ids can't belong to starts made until a wall-clock time. The clock bound counts three
 * times: an entry accepts ids dated ahead of its clock by one bound, that clock differs from true time, and so does the
 * clock that read `startsEndedAtMs`.
 */
export function resolveFreshDateMs (startsEndedAtMs: number, clockBoundMs: number): number {
  return startsEndedAtMs + FRESH_DATE_CLOCK_BOUNDS * clockBoundMs
}
