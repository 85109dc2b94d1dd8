/** A store wrapper that counts the calls of one component. */
import type { Store, StoreCallCounts } from '../store.ts'

/** A store with the number of calls made through it. */
export interface CountingStore extends Store {
  readonly counts: StoreCallCounts
}

/** Wraps a store and counts every call, a watch as one read. */
export function createCountingStore (store: Store): CountingStore {
  const counts: StoreCallCounts = { reads: 0, writes: 0 }
  const read = <T>(call: T): T => { counts.reads += 1; return call }
  const write = <T>(call: T): T => { counts.writes += 1; return call }
  return {
    counts,
    get: async key => await read(store.get(key)),
    list: async prefix => await read(store.list(prefix)),
    watch: async (prefix, afterRevision, waitMs, signal) => await read(store.watch(prefix, afterRevision, waitMs, signal)),
    compareAndSwap: async (key, expectedRevision, value, leaseId) => await write(store.compareAndSwap(key, expectedRevision, value, leaseId)),
    grantLease: async ttlMs => await write(store.grantLease(ttlMs)),
    renewLease: async leaseId => await write(store.renewLease(leaseId)),
    revokeLease: async leaseId => await write(store.revokeLease(leaseId))
  }
}
