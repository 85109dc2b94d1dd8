/** Bounds of an agent's record of starts. */
import * as protocol from '@egretvalve/protocol'

/** Settings of a record of starts. */
export interface StartRecordSettings {
  /** Time for which a finished task is remembered. */
  retentionMs: number
  /** Memory of all remembered tasks, without their results. */
  maxTasks: number
  /** Memory of all kept results. The oldest results go first; the fact of the start stays. */
  maxResultBytes: number
  /** Tasks on one page of the answer to a fence. */
  pageTasks: number
  /** Largest difference between two nodes' wall clocks. */
  clockBoundMs: number
}

/** Returns the standard settings with the given ones over them. */
export function resolveStartRecordDefaults (given: Partial<StartRecordSettings> = {}): StartRecordSettings {
  return {
    retentionMs: protocol.RETENTION_MS,
    maxTasks: 100_000,
    maxResultBytes: 64 * 1024 * 1024,
    pageTasks: 1_000,
    clockBoundMs: protocol.CLOCK_BOUND_MS,
    ...given
  }
}
