/** The narrow interface to the platform's key-value service. */
import type * as protocol from '@egretvalve/protocol'
import type * as results from 'ts-results'

/** A value with the revision at which it was written. */
export interface StoredValue {
  key: string
  value: string
  /** Raised by every write of the store; 0 means that the key does not exist. */
  revision: number
}

/** How a store call ended when it did not succeed. */
export enum StoreFailure {
  /** The call had no effect: the store was unreachable before the call was sent or refused it. */
  Unavailable = 'unavailable',
  /** The call may or may not have taken effect: its answer was lost. */
  AnswerLost = 'answer-lost',
  /** The store refused the call because its rate was exceeded; no effect. */
  RateLimited = 'rate-limited',
  /** The revision or the lease did not match; no effect. */
  Mismatch = 'mismatch'
}

/** A failed store call. `current` is set on a mismatch. */
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

/** A change that a watch reports. */
export interface StoreChange {
  values: StoredValue[]
  /** Pass to the next `watch` call. */
  revision: number
}

export type StoreResult<T> = Promise<results.Result<T, StoreProblem>>

/** The platform's key-value service. Every call counts against its rates, a waiting watch as one. */
export interface Store {
  /** Reads one key; a key that does not exist has revision 0. */
  get: (key: string) => StoreResult<StoredValue>
  /** Reads all keys with a prefix. */
  list: (prefix: string) => StoreResult<StoreChange>
  /** Writes a key if its revision is the one expected; 0 expects that it does not exist. The key goes with its lease, if one is named. */
  compareAndSwap: (key: string, expectedRevision: number, value: string, leaseId?: string) => StoreResult<StoredValue>
  /** Waits until a key with the prefix changes after the revision, or until the time is up (then no values). */
  watch: (prefix: string, afterRevision: number, waitMs: number, signal?: AbortSignal) => StoreResult<StoreChange>
  grantLease: (ttlMs: number) => StoreResult<StoreLease>
  renewLease: (leaseId: string) => StoreResult<StoreLease>
  revokeLease: (leaseId: string) => StoreResult<void>
}

/** Calls made so far, by kind. */
export interface StoreCallCounts {
  reads: number
  writes: number
}
