/** Interface to the platform's key-value service. */
import type * as protocol from '@egretvalve/protocol'
import type * as results from 'ts-results'

/** A value with the revision at which it was written. */
export interface StoredValue {
  key: string
  value: string
  /** Revision of the store at the write; every write to the store increments it. 0 if the key does not exist. */
  revision: number
}

/** Reason why a store call failed. */
export enum StoreFailure {
  /** The store was unreachable before the call was sent, or refused it; no effect. A read whose answer was lost also counts as this. */
  Unavailable = 'unavailable',
  /** The answer of a write was lost; it may or may not have taken effect. */
  AnswerLost = 'answer-lost',
  /** The call exceeded the store's rate limit; no effect. */
  RateLimited = 'rate-limited',
  /** The revision or lease did not match; no effect. */
  Mismatch = 'mismatch'
}

/** A failed store call. `current` is the stored value, if the store reports it on a mismatch. */
export interface StoreProblem {
  failure: StoreFailure
  error: protocol.StepError
  current?: StoredValue
}

/** A lease granted by the store. */
export interface StoreLease {
  leaseId: string
  ttlMs: number
}

/** A key that no longer exists, with the revision at which it was removed. */
export interface RemovedKey {
  key: string
  revision: number
}

/** Values read by `list`, or changed since the revision given to `watch`. */
export interface StoreChange {
  values: StoredValue[]
  /** Keys removed since the revision given to `watch`; undefined from `list`, and from stores that report them as values with revision 0. */
  removed?: RemovedKey[]
  /** Revision to pass to the next `watch` call. */
  revision: number
}

export type StoreResult<T> = Promise<results.Result<T, StoreProblem>>

/** The platform's key-value service. Every call counts against its rate limits, a waiting watch as one read. */
export interface Store {
  /** Reads one key. A key that does not exist has revision 0. */
  get: (key: string) => StoreResult<StoredValue>
  /** Reads all keys with a prefix. */
  list: (prefix: string) => StoreResult<StoreChange>
  /** Writes a key if it has the expected revision; 0 expects that it does not exist. With `leaseId`, the key is removed when the lease ends. */
  compareAndSwap: (key: string, expectedRevision: number, value: string, leaseId?: string) => StoreResult<StoredValue>
  /** Waits up to `waitMs` milliseconds for a change of a key with the prefix after the revision. Returns no values and no removed keys if none occurs. */
  watch: (prefix: string, afterRevision: number, waitMs: number, signal?: AbortSignal) => StoreResult<StoreChange>
  /** Grants a lease that ends `ttlMs` milliseconds after its last renewal. */
  grantLease: (ttlMs: number) => StoreResult<StoreLease>
  renewLease: (leaseId: string) => StoreResult<StoreLease>
  /** Ends a lease and removes its keys. */
  revokeLease: (leaseId: string) => StoreResult<void>
}

/** Number of calls made, by kind. */
export interface StoreCallCounts {
  reads: number
  writes: number
}
