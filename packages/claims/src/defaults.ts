/** Times and counts of claims. */

/** Number of registrars of a job. One of them may be lost or unreachable without another entry getting the job. */
export const REGISTRARS_PER_JOB = 2
/** Time for which a process counts as young, in milliseconds. Claims on its jobs also stand at older registrars, as not all entries are linked to it yet. */
export const YOUNG_MS = 3_000
/** Time without an answer to a claim after which another registrar takes the place of a silent one, in milliseconds. */
export const ANSWER_TIMEOUT_MS = 75
/** Time without an answer after which the link to a silent registrar is opened anew, in milliseconds. */
export const REOPEN_AFTER_MS = 1_300
/** Period of the checks for registrars that have not answered, in milliseconds. */
export const CHECK_PERIOD_MS = 40
/** Time after which a claim on a job that another entry holds is repeated, in milliseconds. */
export const HELD_RETRY_MS = 25
/** Longest time for which releases wait for a claim that they can travel with, in milliseconds. */
export const RELEASE_DELAY_MS = 100
/** The same for releases of jobs that have succeeded: their callers have been answered, and few submit them again. */
export const SUCCESS_RELEASE_DELAY_MS = 300
/** Time without another entry that answers after which claims count as not confirmable, in milliseconds. A link that was reset reopens sooner. */
export const UNCONFIRMED_LIMIT_MS = 1_000
/** Time from the end of a claimant's process until its runs have certainly ended, in milliseconds: the owner lease of its agents and the stop of the runs. */
export const CLAIMANT_GONE_MS = 1_250
/** Time in which the entries claim their jobs again at a registrar that has restarted, in milliseconds. */
export const RECLAIM_MS = 1_500
/** Time for which a registrar remembers that a job has succeeded, in milliseconds. */
export const SUCCESS_RETENTION_MS = 5_000
/** Period in which a registrar removes expired claims, in milliseconds. */
export const SWEEP_PERIOD_MS = 1_000
/** Remaining time at which a claim is extended while runs of its job go on, and the time by which it is extended, in milliseconds. */
export const RENEW_BEFORE_MS = 500
export const RENEWAL_MS = 1_500
/** Longest validity of a claim, in milliseconds. Claims on longer jobs are extended. */
export const MAX_CLAIM_VALIDITY_MS = 3_600_000
/** Largest ratio between the rates of the monotonic clocks of two VMs. */
export const CLOCK_DRIFT = 1.03
/** Number from which the sequences of claims begin again. They are 32 bits wide. */
export const MAX_SEQUENCE = 2 ** 32
