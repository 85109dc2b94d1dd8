/** Times of links and membership. */

/** Period of beats on a link over which tasks are held, in milliseconds. */
export const BUSY_BEAT_MS = 250
/** Period of beats on a link without tasks, in milliseconds. */
export const IDLE_BEAT_MS = 400
/** Silence after which a link is dialled anew, in milliseconds: the beats of a busy link come 250 to 350 ms apart. A new link must open before the owner's timeout. */
export const BUSY_SILENCE_MS = 650
/** The same for a link without tasks. */
export const IDLE_SILENCE_MS = 1_300
/** Silence of an entry after which its runs are stopped. A caller sends its job again 1,300 ms after it lost its answer. */
export const OWNER_TIMEOUT_MS = 900
/** Period in which silence is looked at, in milliseconds. */
export const WATCH_PERIOD_MS = 100
/** A longer pause between two looks means that this process itself stood still; what has arrived is read first. */
export const STALL_MS = 200
/** Pause before a link that failed is dialled again, in milliseconds; doubles up to the longest. */
export const MIN_REDIAL_MS = 50
export const MAX_REDIAL_MS = 1_000
/** Time for which ends are kept for a link that comes back, in milliseconds. */
export const END_MEMORY_MS = 3_000
/** Period of reports of a changed load to entries whose tasks did not change, in milliseconds, on a worker that fills up. */
export const LOAD_PERIOD_MS = 40
/** The same on a worker with much room, where an old report does no harm. */
export const CALM_LOAD_PERIOD_MS = 120
/** Links up to which the two periods above hold; with more they grow in proportion, so that the reports of all agents to an entry stay bounded. */
export const LOAD_PERIOD_LINKS = 4
/** Free share of the processors from which a worker has much room. */
export const CALM_FREE_SHARE = 0.4
/** Change of the free share of a worker with much room from which entries are told before the next beat. */
export const CALM_STEP_SHARE = 0.15
/** Longest time between two beats of an entry, whatever else it sends, in milliseconds: they carry the version of its configuration. */
export const VERSION_BEAT_MS = 1_000
/** Time in which an entry reads a new configuration for itself before an agent sends it a copy, in milliseconds. */
export const CONFIG_PATIENCE_MS = 600
/** Period in which slow runs are looked for, in milliseconds. */
export const SLOW_PERIOD_MS = 100
/** Lifetime of an entry's key in the store, in milliseconds. */
export const MEMBER_LEASE_MS = 6_000
/** Period of renewals of the key; two may be lost. */
export const MEMBER_RENEW_MS = 2_000
/** Period in which entries read the list of entries. */
export const MEMBER_READ_MS = 2_000
/** Period in which agents without a list of entries read it, and with one. */
export const SEARCH_PERIOD_MS = 500
export const AGENT_READ_MS = 5_000
/** Entries to which an agent keeps links. With fewer, an agent that loses several entries at once has too little work for a while; with more, each node's messages grow. */
export const LINKS_PER_AGENT = 6
/** Share of the links that go to entries of the agent's own failure domain: messages between domains take longer and are priced. The rest keeps the agent in use when a domain's entries are lost or its callers move. */
export const OWN_DOMAIN_SHARE = 0.5
/** Time without a link after which another entry takes the place of one that was chosen, in milliseconds. A restart of a process takes longer, a reset link is back sooner. */
export const SUBSTITUTE_AFTER_MS = 400
/** Time for which a substitute that could not be reached is not dialled again, in milliseconds: with a whole failure domain away, the agent meets one that lives sooner. */
export const AVOID_UNREACHABLE_MS = 3_000
/** Time between the notice to an entry that the agent gives up its link and the end of the link, in milliseconds: orders on their way arrive. */
export const LEAVE_AFTER_MS = 1_000
/** Time after which an address that is neither listed nor linked is given up, in milliseconds. */
export const FORGET_ENTRY_MS = 10_000
/** Prefix of the keys of entries in the store. */
export const ENTRY_PREFIX = 'egretvalve/entries/'
