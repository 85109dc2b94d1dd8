/** Interface between the load tool and a fleet, wherever the fleet runs. */

/** Addresses of the entries, and the announcement address of one agent per stand-in backend server. */
export interface FleetAddresses {
  entryAddresses: string[]
  announceAddresses: string[]
}

/** Entries and agents under test. */
export interface Fleet {
  start: () => Promise<FleetAddresses>
  stop: () => Promise<void>
}

/** Wraps a fleet that is already running; starting and stopping have no effect. */
export function createRunningFleet (addresses: FleetAddresses): Fleet {
  return { start: async () => addresses, stop: async () => {} }
}
