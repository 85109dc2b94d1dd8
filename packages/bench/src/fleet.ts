/** What the load tool needs of a fleet, wherever it runs. */

/** Addresses of entries, and of one agent for each stand-in backend server. */
export interface FleetAddresses {
  entryAddresses: string[]
  announceAddresses: string[]
}

/** Entries and agents under test. */
export interface Fleet {
  start: () => Promise<FleetAddresses>
  stop: () => Promise<void>
}

/** Creates a fleet that already runs and goes on running. */
export function createRunningFleet (addresses: FleetAddresses): Fleet {
  return { start: async () => addresses, stop: async () => {} }
}
