/** Limits that all processes share. */

/** Largest number of tasks in one job. */
export const MAX_JOB_TASKS = 680

/** Largest HTTP request body in bytes. */
export const MAX_BODY_BYTES = 8 * 1024 * 1024

/** Time for which results and records of starts are kept, in milliseconds. */
export const RETENTION_MS = 600_000

/** Largest difference between two nodes' wall clocks that the protocols allow, in milliseconds. */
export const CLOCK_BOUND_MS = 250

/** Run time from which a task counts as long, in milliseconds. */
export const LONG_RUN_MS = 1_500
