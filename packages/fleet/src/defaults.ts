/** Time-outs, periods and sizes of links and membership. */

/** Heartbeat period on a link with tasks, in milliseconds. */
export const BUSY_HEARTBEAT_MS = 250
/** Heartbeat period on a link without tasks, in milliseconds. */
export const IDLE_HEARTBEAT_MS = 400
/** Time without a message after which a link with tasks is redialled, in milliseconds. Heartbeats on it arrive every 250 to 350 ms, and the new link must open before the owner lease expires. */
export const BUSY_LINK_TIMEOUT_MS = 650
/** Time without a message after which a link without tasks is redialled, in milliseconds. */
export const IDLE_LINK_TIMEOUT_MS = 1_300
/** Time for which an agent may run the tasks of an entry, from the agent's last message that the entry is known to have read, in milliseconds. Runs end before a caller resubmits its job, 1,300 ms after it lost its answer. */
export const OWNER_LEASE_MS = 1_150
/** Remaining owner lease at which the agent stops the entry's runs, in milliseconds. Covers a liveness check and the stop itself. */
export const OWNER_LEASE_STOP_MARGIN_MS = 150
/** Period of liveness checks, in milliseconds. */
export const LIVENESS_CHECK_PERIOD_MS = 100
/** Interval between two liveness checks from which this process counts as stalled, in milliseconds. The check is then skipped so that messages that have arrived are read first. */
export const STALL_MS = 200
/** Shortest and longest delay before a failed link is redialled, in milliseconds. */
export const MIN_REDIAL_MS = 50
export const MAX_REDIAL_MS = 1_000
/** Delay before a redial, as a share of the time since the link closed. An entry that starts again after a power loss needs 1 to 2 s, and is then linked within a sixth of that. A delay that doubles with each failure is as long as the outage. */
export const REDIAL_SHARE = 0.15
/** Time for which ends are retained so that they can be sent again on a reopened link, in milliseconds. */
export const END_RETENTION_MS = 3_000
/** Time for which crashes of the worker are retained, in milliseconds, and how many at most. A new link carries them, so that an entry that has just started knows them. */
export const CRASH_RETENTION_MS = 30_000
export const MAX_RETAINED_CRASHES = 16
/** Period of load reports to entries whose tasks did not change, in milliseconds, on a worker that is not lightly loaded. */
export const LOAD_REPORT_PERIOD_MS = 40
/** Period of load reports of a lightly loaded worker, in milliseconds. Outdated reports do no harm there. */
export const LOW_LOAD_REPORT_PERIOD_MS = 120
/** Number of links up to which the load report periods apply. They grow in proportion above it, to bound the reports that an entry receives from all agents. */
export const LOAD_REPORT_BASE_LINKS = 4
/** Free share of the processors from which a worker counts as lightly loaded. */
export const LOW_LOAD_FREE_SHARE = 0.4
/** Change of the free processors of a lightly loaded worker, as a share of all, from which it is reported before the next heartbeat. */
export const LOW_LOAD_REPORT_STEP_SHARE = 0.15
/** Longest time between two heartbeats of an entry, in milliseconds, even if it sends other messages, because heartbeats carry its configuration version. */
export const VERSION_HEARTBEAT_MS = 1_000
/** Time that an entry has to read a new configuration from the store before an agent sends it a copy, in milliseconds. */
export const CONFIG_COPY_DELAY_MS = 600
/** Period of reports on slow runs, in milliseconds. */
export const SLOW_RUN_REPORT_PERIOD_MS = 100
/** Lease time of an entry's key in the store, in milliseconds. */
export const MEMBER_LEASE_MS = 6_000
/** Renewal period of that lease, in milliseconds. Two renewals may be lost. */
export const MEMBER_RENEW_MS = 2_000
/** Period in which an entry reads the list of entries and the jobs that were cancelled at others, in milliseconds. */
export const MEMBER_READ_MS = 2_000
/** Period in which it reads the list while the list is incomplete: it can't be read, lacks the entry itself, or has just changed, as when several entries start. In milliseconds. */
export const INCOMPLETE_READ_MS = 250
/** Period in which an agent reads the list of entries, in milliseconds, while no link is open and while at least one is. */
export const UNLINKED_DISCOVERY_PERIOD_MS = 250
export const LINKED_DISCOVERY_PERIOD_MS = 5_000
/** Time after which a loop whose step failed with an exception repeats it, in milliseconds. As short as that after a failed store call, since a program that starts may depend on the step. */
export const FAILED_STEP_PAUSE_MS = 250
/** Number of entries to which an agent keeps links open. With fewer, an agent that loses several entries together gets too little work for a while; with more, each node sends more messages. */
export const LINKS_PER_AGENT = 6
/** Share of the links that go to entries of the agent's own failure domain, because messages between domains are slower and charged for. The other links keep the agent in use when the entries of the domain are lost or its callers move. */
export const OWN_DOMAIN_SHARE = 0.5
/** Time after which a substitute replaces an entry whose link is closed, in milliseconds. Longer than a reset link takes to reopen, shorter than the restart of a process. */
export const SUBSTITUTE_AFTER_MS = 400
/** Time for which an unreachable substitute is not dialled again, in milliseconds, so that an agent finds a live entry sooner when a whole failure domain is unreachable. */
export const UNREACHABLE_BACKOFF_MS = 3_000
/** The same for an agent without any link, in milliseconds. All entries are then starting, and each may be the first to listen. */
export const UNLINKED_BACKOFF_MS = 300
/** Time between the notice that a link will close and its close, in milliseconds. Orders in flight arrive in this time. */
export const LINK_CLOSE_NOTICE_MS = 1_000
/** Time after which an address that is neither in newer lists nor linked is removed, in milliseconds. */
export const ENTRY_RETENTION_MS = 10_000
/** Longest id or failure domain of an entry, in characters. */
export const MAX_NAME_CHARS = 200
/** Largest number of failure domains in an evacuation message. A deployment has a handful. */
export const MAX_EVACUATED_DOMAINS = 64
/** Common prefix of the keys below, which an entry reads in one call. */
export const REGISTRY_PREFIX = 'egretvalve/'
/** Prefix of the keys of entries in the store. */
export const ENTRY_PREFIX = `${REGISTRY_PREFIX}entries/`
/** Prefix of the keys of cancelled jobs in the store, one for each entry. */
export const CANCELLATION_PREFIX = `${REGISTRY_PREFIX}cancelled/`
/** Time for which a cancellation is published, in milliseconds. Every entry reads the store several times in it. */
export const CANCELLATION_RETENTION_MS = 15_000
/** Time after which a failed write of a cancellation is repeated, in milliseconds. */
export const CANCELLATION_RETRY_MS = 50
/** Number of cancellations that an entry publishes at most, and the longest id of a job in one. */
export const MAX_PUBLISHED_CANCELLATIONS = 5_000
export const MAX_JOB_ID_CHARS = 64
/** Time that the link to another entry may take to open before claims no longer wait for it, in milliseconds. */
export const CLAIM_LINK_OPEN_MS = 300
/** Time after which a link to another entry that has not opened is dialled again, in milliseconds. */
export const CLAIM_LINK_DIAL_TIMEOUT_MS = 2_000
/** Time after which an entry that is not in the list counts as gone if its link does not open again, in milliseconds. An entry that has just registered is in the next list. */
export const UNLISTED_RETENTION_MS = 2_000
/** Time from the start of a process after which claims no longer wait for the list of entries, in milliseconds. */
export const CLAIM_LIST_WAIT_MS = 2_000
/** Period in which an entry reports its processor time left to entries that may hand jobs over, in milliseconds. */
export const PROCESSOR_REPORT_PERIOD_MS = 250
/** Time without a lack of processor time after which an entry closes its links for handing jobs over, in milliseconds. */
export const HAND_OVER_IDLE_MS = 30_000
/** Longest delay before such a link is redialled, in milliseconds. An entry of an earlier version accepts none. */
export const MAX_HAND_OVER_REDIAL_MS = 5_000
/** Period in which the numbers of jobs handed over are logged, in milliseconds. */
export const HAND_OVER_LOG_PERIOD_MS = 1_000
/** Largest number of bytes of bodies in one message. Below the size limit of a message, with one more body. */
export const MAX_BATCH_BYTES = 1_048_576
/** Largest body of a request, and of an answer, in bytes. Bodies of callers have at most 262,144, answers some hundred. */
export const MAX_HANDED_BODY_BYTES = 1_048_576
export const MAX_HANDED_ANSWER_BYTES = 65_536
/** Longest path and host of a request, and content type of an answer, in characters. */
export const MAX_HANDED_TEXT_CHARS = 2_048
/** Longest deadline, wait and Retry-After of a request handed over. */
export const MAX_HANDED_WAIT_MS = 24 * 3_600_000
export const MAX_HANDED_RETRY_S = 3_600
/** Largest number of requests of one link that are open at a time. */
export const MAX_HANDED_OPEN = 1_000
/** Largest number of cores that an entry may report as left. */
export const MAX_CORES_LEFT = 1_024
