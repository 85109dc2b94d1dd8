/** Holds one entry's store lease and the key that makes it visible to the other members. */
import * as platform from '@egretvalve/platform'
import type * as settings from '@egretvalve/settings'
import * as results from 'ts-results'
import { ownershipEvents } from './events.ts'
import type { OwnershipSettings } from './defaults.ts'

/** Dependencies of `LeaseHolder`. */
export interface LeaseServices {
  store: platform.Store
  timers: settings.Timers
  log: settings.Log
}

/**
 * Acquires and renews a store lease until stopped. The expiry is computed from the monotonic time before the call was
 * sent, less a margin, so that the store never considers the lease expired while its holder considers it valid.
 */
export class LeaseHolder {
  /** Number of leases acquired so far, which is the number of the current one. */
  leaseCount = 0
  /** Monotonic time at which the current lease expires. */
  expiresAtMs = 0
  /** Monotonic time since which store calls succeed; undefined while they fail. */
  reachableSinceMs: number | undefined
  private lease: platform.StoreLease | undefined
  private readonly stopping = new AbortController()
  private loop: Promise<void> = Promise.resolve()

  constructor (
    private readonly key: string,
    private readonly options: OwnershipSettings,
    private readonly services: LeaseServices,
    private readonly onGranted: () => void
  ) {}

  start (): void {
    this.loop = this.run()
  }

  /** Stops renewing and revokes the lease. */
  async stop (): Promise<void> {
    this.stopping.abort()
    await this.loop
    this.expiresAtMs = 0
    if (this.lease !== undefined) await this.services.store.revokeLease(this.lease.leaseId)
  }

  private async run (): Promise<void> {
    while (!this.stopping.signal.aborted) {
      const sentAtMs = this.services.timers.nowMs()
      const hadLease = this.lease !== undefined
      const outcome = await this.renewOrAcquire(sentAtMs)
      if (outcome.err && this.discardIfExpired(outcome.val, hadLease)) continue
      this.recordReachability(outcome.ok)
      const elapsedMs = this.services.timers.nowMs() - sentAtMs
      const pauseMs = outcome.ok ? this.options.renewMs - elapsedMs : this.options.retryMs
      await this.services.timers.sleep(Math.max(this.options.retryMs, pauseMs), this.stopping.signal)
    }
  }

  private async renewOrAcquire (sentAtMs: number): platform.StoreResult<void> {
    if (this.lease === undefined) return await this.acquire(sentAtMs)
    const renewed = await this.services.store.renewLease(this.lease.leaseId)
    if (renewed.ok) this.extend(sentAtMs)
    return renewed.map(() => undefined)
  }

  private async acquire (sentAtMs: number): platform.StoreResult<void> {
    const granted = await this.services.store.grantLease(this.options.leaseMs)
    if (granted.err) return granted
    const current = await this.services.store.get(this.key)
    if (current.err) return current
    const written = await this.services.store.compareAndSwap(this.key, current.val.revision, granted.val.leaseId, granted.val.leaseId)
    if (written.err) {
      const confirmed = await this.isWritten(written.val, granted.val.leaseId)
      if (!confirmed) return written.map(() => undefined)
    }
    this.lease = granted.val
    this.leaseCount += 1
    this.extend(sentAtMs)
    this.services.log.event(ownershipEvents.leaseGranted, { leaseCount: this.leaseCount })
    this.onGranted()
    return results.Ok(undefined)
  }

  /** Reads back whether a write of the member's key took effect whose answer was lost. */
  private async isWritten (problem: platform.StoreProblem, leaseId: string): Promise<boolean> {
    if (problem.failure !== platform.StoreFailure.AnswerLost) return false
    this.services.log.event(ownershipEvents.answerLost, { step: 'lease.acquire' })
    const current = await this.services.store.get(this.key)
    return current.ok && current.val.value === leaseId
  }

  private extend (sentAtMs: number): void {
    this.expiresAtMs = sentAtMs + this.options.leaseMs - this.options.leaseMarginMs
  }

  /** Discards the lease if the store reports that it no longer exists; returns true if so. */
  private discardIfExpired (problem: platform.StoreProblem, hadLease: boolean): boolean {
    if (!hadLease || problem.failure !== platform.StoreFailure.Mismatch) return false
    this.services.log.event(ownershipEvents.leaseExpired, { leaseCount: this.leaseCount })
    this.lease = undefined
    this.expiresAtMs = 0
    return true
  }

  private recordReachability (isReachable: boolean): void {
    const wasReachable = this.reachableSinceMs !== undefined
    if (isReachable === wasReachable) return
    this.reachableSinceMs = isReachable ? this.services.timers.nowMs() : undefined
    this.services.log.event(isReachable ? ownershipEvents.storeReachable : ownershipEvents.storeUnreachable)
  }
}
