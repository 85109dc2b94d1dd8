/** Settings of an agent's start record and their defaults. */
import * as protocol from '@egretvalve/protocol'

/** Settings of a start record. */
export interface StartRecordSettings {
  /** Time for which the record of a finished task is retained, in milliseconds. */
  retentionMs: number
  /** Maximum number of recorded tasks; further tasks are refused. */
  maxTasks: number
  /** Maximum size of all stored results in bytes. The oldest are dropped first; the records of their starts are retained. */
  maxResultBytes: number
  /** Tasks on one page of the answer to a fence; a job is not split. */
  pageTasks: number
  /** Maximum difference between the wall clocks of two nodes, in milliseconds. */
  clockBoundMs: number
}

/** Merges the given settings into the defaults. */
export function resolveStartRecordDefaults (overrides: Partial<StartRecordSettings> = {}): StartRecordSettings {
  return {
    retentionMs: protocol.RETENTION_MS,
    maxTasks: 100_000,
    maxResultBytes: 64 * 1024 * 1024,
    pageTasks: 1_000,
    clockBoundMs: protocol.MAX_CLOCK_SKEW_MS,
    ...overrides
  }
}
