/** Leases of entries on the tasks that they have ordered at an agent. */

/** Tells for how long an agent may still run the tasks of an entry. */
export interface OwnerLeases {
  /** Returns the remaining time of an entry incarnation's lease, in milliseconds; 0 or less once it has expired. */
  remainingMs: (owner: string) => number
}

/** Leases without end, for agents whose tasks have a single owner. */
export const UNLIMITED_OWNER_LEASES: OwnerLeases = { remainingMs: () => Number.POSITIVE_INFINITY }
