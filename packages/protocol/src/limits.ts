/** Limits shared by all processes. */

/** Largest number of tasks per job. */
export const MAX_JOB_TASKS = 680

/** Largest HTTP request body. */
export const MAX_BODY_BYTES = 8 * 1024 * 1024

/** Retention period of results and of records of task starts. */
export const RETENTION_MS = 600_000

/** Largest wall clock difference between two nodes that the protocols tolerate. */
export const MAX_CLOCK_SKEW_MS = 250

/** Run time from which a task is classified as long. */
export const LONG_RUN_MS = 1_500
