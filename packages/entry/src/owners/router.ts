/** Decides which entry owns a partition and whether this entry may start tasks of it. */

/** What an owner proves with each start. */
export interface StartGrant {
  epoch: number
  /** Wall-clock time at which the owner's lease ends, in Unix milliseconds. */
  leaseExpiresAtMs: number
}

/** Checked immediately before each start. */
export interface StartGuard {
  /** Returns the grant, or undefined when this entry may not start tasks of the partition now. */
  checkStart: (partition: number) => StartGrant | undefined
}

/** Where a submission goes. */
export type OwnerRoute =
  | { kind: 'self' }
  | { kind: 'peer', entryId: string }
  | { kind: 'unavailable', message: string, retryAfterMs: number }

/** Resolves owners. */
export interface OwnerRouter extends StartGuard {
  route: (partition: number) => OwnerRoute
}

const SOLE_EPOCH = 1

/** The router of an entry that runs alone, without a store: it owns every partition. */
export function createSoleOwner (): OwnerRouter {
  return {
    route: () => ({ kind: 'self' }),
    checkStart: () => ({ epoch: SOLE_EPOCH, leaseExpiresAtMs: Number.MAX_SAFE_INTEGER })
  }
}
