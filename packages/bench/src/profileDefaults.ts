/** Constants of the load profiles. */

/** Offered load of steady profiles, as a share of fleet capacity. */
export const STEADY_LOAD = 0.6

/** Offered load of the market profile before and after its load peak, as a share of fleet capacity. */
export const MARKET_BASE_LOAD = 0.5
/** Offered load during the load peak, as a multiple of fleet capacity. */
export const PEAK_LOAD = 3
export const PEAK_DURATION_MS = 3_000
/** Share of pressing requests in the market profile. */
export const MARKET_PRESSING_SHARE = 0.25
/** Time that a pressing request may take beyond its own run time, in milliseconds. */
export const PRESSING_SLACK_MS = 300
/** Time that an ordinary market request may take beyond its own run time, in milliseconds. */
export const ORDINARY_SLACK_MS = 500

/** Deadline of jobs without time pressure, in milliseconds. */
export const RELAXED_DEADLINE_MS = 15_000

export const SHORTEST_RUN_MS = 50
export const LONGEST_COMMON_RUN_MS = 1_000
export const MEDIAN_RUN_MS = 150
/** Standard deviation of the logarithm of run times. */
export const RUN_SIGMA = 0.7

/** Share of jobs of the shop profile with a single task. */
export const SINGLE_TASK_SHARE = 0.6
export const LARGEST_SHOP_JOB_TASKS = 8
/** Share of repeatable requests among those with a single task. */
export const REPEATABLE_SHARE = 0.6

/** Share of long jobs in the mixed-long profile. */
export const LONG_SHARE = 0.05
export const LONG_RUN_FROM_MS = 2_000
export const LONG_RUN_TO_MS = 5_000
export const SHORT_RUN_FROM_MS = 30
export const SHORT_RUN_TO_MS = 119
/** Tasks above this run time count as long in the mixed-long profile. */
export const LONG_RUN_BOUND_MS = 1_000

/** Share of the jobs that are resubmitted. */
export const RESUBMIT_SHARE = 0.3
export const RESUBMIT_FROM_MS = 5
export const RESUBMIT_TO_MS = 800

/** Share of the tasks that run `STRAGGLER_FACTOR` times as long as declared. */
export const STRAGGLER_SHARE = 0.01
export const STRAGGLER_FACTOR = 15

/** Number of backend servers that fail all work in the bad-servers profile. */
export const BAD_SERVER_COUNT = 2
/** Number of backend servers that leave in the drain profile. */
export const DRAINED_SERVER_COUNT = 2

/** Share of the jobs submitted before the cancellation wave that it cancels. */
export const CANCEL_SHARE = 0.5
export const CANCEL_WAVE_LOAD = 1.2
export const CANCEL_WAVE_JOB_TASKS = 40

/** Standard deviation of the logarithm of the ratio between declared and true run times. */
export const WRONG_SIZE_SIGMA = 1.5
/** Share of tasks without a declared run time in the wrong-sizes profile. */
export const UNDECLARED_SHARE = 0.2
