/** Resolves the owner of a partition and whether this entry may start its tasks. */

/** Permission to start tasks of a partition; sent with each start. */
export interface StartGrant {
  epoch: number
  /** Wall-clock time at which the owner's lease ends, in Unix milliseconds. */
  leaseExpiresAtMs: number
}

/** Check for permission to start tasks, made immediately before each start. */
export interface StartGuard {
  /** Returns the grant, or undefined if this entry may not start tasks of the partition now. */
  checkStart: (partition: number) => StartGrant | undefined
}

/** Destination of a submission. */
export type OwnerRoute =
  | { kind: 'self' }
  | { kind: 'peer', entryId: string }
  | { kind: 'unavailable', message: string, retryAfterMs: number }

/** Resolves the owner of a partition. */
export interface OwnerRouter extends StartGuard {
  route: (partition: number) => OwnerRoute
}

/** Epoch of all partitions of an entry that runs without a store. */
const STANDALONE_EPOCH = 1

/** Creates the router of an entry that runs without a store: it owns every partition, under a lease that doesn't expire. */
export function createStandaloneRouter (): OwnerRouter {
  return {
    route: () => ({ kind: 'self' }),
    checkStart: () => ({ epoch: STANDALONE_EPOCH, leaseExpiresAtMs: Number.MAX_SAFE_INTEGER })
  }
}
