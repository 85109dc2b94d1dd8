/** Keys, revisions and leases of the stand-in store, without rate limits and faults. */
import * as platform from '@egretvalve/platform'
import type * as settings from '@egretvalve/settings'

interface LeaseState {
  ttlMs: number
  keys: Set<string>
  expiry: settings.TimerHandle
}

/** State of one key. A key whose lease has ended is retained with `exists` false, so that watches report its removal. */
interface KeyState {
  value: string
  revision: number
  exists: boolean
}

/** Stores the keys and leases and notifies subscribers of each change. */
export class StoreData {
  revision = 0
  private nextLeaseNumber = 1
  private readonly keys = new Map<string, KeyState>()
  private readonly leases = new Map<string, LeaseState>()
  private readonly subscribers = new Set<() => void>()

  constructor (private readonly timers: settings.Timers) {}

  get (key: string): platform.StoredValue {
    const state = this.keys.get(key)
    if (state === undefined || !state.exists) return { key, value: '', revision: 0 }
    return { key, value: state.value, revision: state.revision }
  }

  list (prefix: string): platform.StoreChange {
    const values = [...this.keys.entries()]
      .filter(([key, state]) => state.exists && key.startsWith(prefix))
      .map(([key]) => this.get(key))
    return { values, revision: this.revision }
  }

  /** Returns the keys changed after a revision. A removed key is reported with an empty value and revision 0. */
  changesAfter (prefix: string, revision: number): platform.StoreChange {
    const values = [...this.keys.entries()]
      .filter(([key, state]) => state.revision > revision && key.startsWith(prefix))
      .map(([key]) => this.get(key))
    return { values, revision: this.revision }
  }

  /** Writes a key. Returns false if the revision differs or the lease does not exist. */
  compareAndSwap (key: string, expectedRevision: number, value: string, leaseId?: string): boolean {
    const lease = leaseId === undefined ? undefined : this.leases.get(leaseId)
    if (leaseId !== undefined && lease === undefined) return false
    if (this.get(key).revision !== expectedRevision) return false
    for (const other of this.leases.values()) other.keys.delete(key)
    lease?.keys.add(key)
    this.write(key, { value, exists: true, revision: 0 })
    return true
  }

  grantLease (ttlMs: number): platform.StoreLease {
    const leaseId = `lease-${this.nextLeaseNumber++}`
    const expiry = this.timers.after(ttlMs, () => { this.revokeLease(leaseId) })
    this.leases.set(leaseId, { ttlMs, keys: new Set(), expiry })
    return { leaseId, ttlMs }
  }

  renewLease (leaseId: string): platform.StoreLease | undefined {
    const lease = this.leases.get(leaseId)
    if (lease === undefined) return undefined
    lease.expiry.cancel()
    lease.expiry = this.timers.after(lease.ttlMs, () => { this.revokeLease(leaseId) })
    return { leaseId, ttlMs: lease.ttlMs }
  }

  revokeLease (leaseId: string): void {
    const lease = this.leases.get(leaseId)
    if (lease === undefined) return
    lease.expiry.cancel()
    this.leases.delete(leaseId)
    for (const key of lease.keys) this.write(key, { value: '', exists: false, revision: 0 })
  }

  /** Calls `callback` after each change. Returns a function that unsubscribes it. */
  subscribe (callback: () => void): () => void {
    this.subscribers.add(callback)
    return () => { this.subscribers.delete(callback) }
  }

  /** Cancels all lease timers. */
  close (): void {
    for (const lease of this.leases.values()) lease.expiry.cancel()
  }

  private write (key: string, state: KeyState): void {
    this.revision += 1
    this.keys.set(key, { ...state, revision: this.revision })
    for (const callback of [...this.subscribers]) callback()
  }
}
