/** Publishes the jobs that callers have cancelled at an entry, so that the other entries end them and run no resubmission of them. */
import * as platform from '@egretvalve/platform'
import type * as settings from '@egretvalve/settings'
import * as zod from 'zod'
import { CANCELLATION_PREFIX, CANCELLATION_RETENTION_MS, CANCELLATION_RETRY_MS, MAX_JOB_ID_CHARS, MAX_PUBLISHED_CANCELLATIONS } from './defaults.ts'
import { events } from './events.ts'

/** Value of the key that holds an entry's cancellations: job ids, oldest first. */
export const cancellationsSchema = zod.array(zod.string().max(MAX_JOB_ID_CHARS)).max(MAX_PUBLISHED_CANCELLATIONS)

/** Dependencies of a publisher. */
export interface CancellationServices {
  timers: settings.Timers
  log: settings.Log
  store: platform.Store
}

/** Keeps the recent cancellations of one entry under a key of the store. The key outlives the entry by its lease. */
export class CancellationPublisher {
  private readonly key: string
  /** Time of the cancellation by job id, oldest first. */
  private readonly recent = new Map<string, number>()
  private lease: { leaseId: string, grantedAtMs: number } | undefined
  /** Revision of the key; undefined while unknown. */
  private revision: number | undefined
  private lastWrite: Promise<boolean> = Promise.resolve(true)
  private nextWrite: Promise<boolean> | undefined

  constructor (entryId: string, private readonly services: CancellationServices) {
    this.key = CANCELLATION_PREFIX + entryId
  }

  /** Publishes a cancellation. Resolves with true once the store holds it, or with false when it doesn't after `limitMs` milliseconds. */
  async publish (jobId: string, limitMs: number): Promise<boolean> {
    const { timers, log } = this.services
    this.recent.delete(jobId)
    this.recent.set(jobId, timers.nowMs())
    const abort = new AbortController()
    const isPublished = await Promise.race([this.writeRepeatedly(timers.nowMs() + limitMs), timers.sleep(limitMs, abort.signal).then(() => false)])
    abort.abort()
    if (!isPublished) log.event(events.CancellationUnpublished, { jobId })
    return isPublished
  }

  /** Returns true if this publisher has published the cancellation within its retention. */
  has (jobId: string): boolean {
    return this.recent.has(jobId)
  }

  /** Writes the key once more if the last write has failed. Called periodically. */
  async retry (): Promise<void> {
    if (!await this.lastWrite) await this.write()
  }

  private async writeRepeatedly (untilMs: number): Promise<boolean> {
    const { timers } = this.services
    while (!await this.write()) {
      if (timers.nowMs() >= untilMs) return false
      await timers.sleep(CANCELLATION_RETRY_MS)
    }
    return true
  }

  /** Writes the key after the write that is under way. Cancellations that come meanwhile share the next write. */
  private async write (): Promise<boolean> {
    if (this.nextWrite === undefined) {
      const write = this.lastWrite.then(async () => {
        this.nextWrite = undefined
        return await this.writeKey()
      })
      this.nextWrite = write
      this.lastWrite = write
    }
    return await this.nextWrite
  }

  private async writeKey (): Promise<boolean> {
    this.evict()
    const leaseId = await this.resolveLease()
    const revision = this.revision ?? await this.readRevision()
    if (leaseId === undefined || revision === undefined) return false
    const written = await this.services.store.compareAndSwap(this.key, revision, JSON.stringify([...this.recent.keys()]), leaseId)
    this.revision = written.ok ? written.val.revision : undefined
    // The key, the lease or the answer may be gone; both are read anew before the next write.
    if (written.err) this.lease = undefined
    return written.ok
  }

  /** Returns a lease that outlives the retention of a cancellation written now. */
  private async resolveLease (): Promise<string | undefined> {
    const nowMs = this.services.timers.nowMs()
    if (this.lease !== undefined && nowMs - this.lease.grantedAtMs < CANCELLATION_RETENTION_MS) return this.lease.leaseId
    const granted = await this.services.store.grantLease(2 * CANCELLATION_RETENTION_MS)
    this.lease = granted.ok ? { leaseId: granted.val.leaseId, grantedAtMs: nowMs } : undefined
    return this.lease?.leaseId
  }

  private async readRevision (): Promise<number | undefined> {
    const read = await this.services.store.get(this.key)
    return read.ok ? read.val.revision : undefined
  }

  private evict (): void {
    const limitMs = this.services.timers.nowMs() - CANCELLATION_RETENTION_MS
    for (const [jobId, atMs] of this.recent) {
      if (atMs > limitMs && this.recent.size <= MAX_PUBLISHED_CANCELLATIONS) return
      this.recent.delete(jobId)
    }
  }
}
