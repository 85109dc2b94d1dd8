/** Target size of the system and its resource limits. */

/** Target size of the system. */
export const TARGET = {
  workers: 800,
  startsPerSecond: 26_000,
  jobTasks: 680,
  teams: 130,
  regions: 2,
  failureDomains: 6,
  changesPerDay: 2_200,
  changeInForceMs: 5_000,
  /** Retention of the record of starts on agents, and of answers on entries, in seconds. */
  retentionSeconds: 600
} as const

/** Limits per node, and call rates that the store sustains. */
export const LIMITS = {
  /** 2.5% of a core. */
  controlCpuMsPerSecond: 25,
  memoryMb: 256,
  /** Default of the `recordMaxBytes` setting of entries. */
  answerMemoryMb: 64,
  controlBytesPerSecond: 3_000,
  storeWritesPerSecond: 300,
  storeReadsPerSecond: 2_000
} as const

/** Maximum share of a core that an entry may use at the peak; the rest is headroom so that bursts do not queue. */
export const ENTRY_CORE_SHARE = 0.6
/** Processor time of one core, in milliseconds per second. */
export const CORE_MS_PER_SECOND = 1_000
