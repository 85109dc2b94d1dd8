/** The size that the system has to carry, and the limits that bind it. */

/** Sizes and limits at the target. */
export const TARGET = {
  workers: 800,
  startsPerSecond: 26_000,
  jobTasks: 680,
  teams: 130,
  regions: 2,
  failureDomains: 6,
  changesPerDay: 2_200,
  changeInForceMs: 5_000,
  /** Time for which agents keep their record of starts, in seconds. */
  retentionSeconds: 600
} as const

/** What a node may spend on control, and what the store takes. */
export const LIMITS = {
  /** 2.5% of a core. */
  controlCpuMsPerSecond: 25,
  memoryMb: 256,
  /** Default of the entry's recordMaxBytes. */
  answerMemoryMb: 64,
  controlBytesPerSecond: 3_000,
  storeWritesPerSecond: 300,
  storeReadsPerSecond: 2_000
} as const

/** Share of a core that an entry may use at the peak, so that bursts don't queue. */
export const ENTRY_CORE_SHARE = 0.6
/** Processor time of one core in milliseconds each second. */
export const CORE_MS_PER_SECOND = 1_000
