/** In-memory stand-in for the platform's key-value service, with its rate limits and injectable faults. */
import * as platform from '@egretvalve/platform'
import * as protocol from '@egretvalve/protocol'
import type * as settings from '@egretvalve/settings'
import * as results from 'ts-results'
import { createNoFaults } from './faults.ts'
import type { StoreFaults } from './faults.ts'
import { RateLimit } from './rateLimit.ts'
import { StoreData } from './storeData.ts'

/** Writes per second that the platform's service accepts. */
export const STORE_WRITES_PER_SECOND = 300
/** Reads per second that the platform's service accepts; a watch counts as one read, however long it waits. */
export const STORE_READS_PER_SECOND = 2_000
/** Maximum size of a value in bytes, UTF-8 encoded. */
export const STORE_VALUE_LIMIT_BYTES = 1024 * 1024

const PEER = 'stand-in store'

enum CallKind {
  Read,
  Write
}

/** An in-memory `platform.Store`. Every call is subject to `faults` and the rate limits. */
export class MemoryStore implements platform.Store {
  readonly counts: platform.StoreCallCounts = { reads: 0, writes: 0 }
  /** Calls refused by the rate limits. */
  refusedCalls = 0
  faults: StoreFaults = createNoFaults()
  private readonly data: StoreData
  private readonly reads: RateLimit
  private readonly writes: RateLimit

  constructor (private readonly timers: settings.Timers, writesPerSecond = STORE_WRITES_PER_SECOND, readsPerSecond = STORE_READS_PER_SECOND) {
    this.data = new StoreData(timers)
    this.reads = new RateLimit(readsPerSecond, timers)
    this.writes = new RateLimit(writesPerSecond, timers)
  }

  async get (key: string): platform.StoreResult<platform.StoredValue> {
    return await this.call(CallKind.Read, 'get', () => results.Ok(this.data.get(key)))
  }

  async list (prefix: string): platform.StoreResult<platform.StoreChange> {
    return await this.call(CallKind.Read, 'list', () => results.Ok(this.data.list(prefix)))
  }

  async compareAndSwap (key: string, expectedRevision: number, value: string, leaseId?: string): platform.StoreResult<platform.StoredValue> {
    if (Buffer.byteLength(value) > STORE_VALUE_LIMIT_BYTES) {
      return results.Err(createProblem(platform.StoreFailure.Unavailable, 'compareAndSwap', `the value of ${key} exceeds ${STORE_VALUE_LIMIT_BYTES} bytes`))
    }
    return await this.call(CallKind.Write, 'compareAndSwap', () => {
      if (this.data.compareAndSwap(key, expectedRevision, value, leaseId)) return results.Ok(this.data.get(key))
      const problem = createProblem(platform.StoreFailure.Mismatch, 'compareAndSwap', `${key} is not at revision ${expectedRevision} or its lease has gone`)
      return results.Err({ ...problem, current: this.data.get(key) })
    })
  }

  async watch (prefix: string, afterRevision: number, waitMs: number, signal?: AbortSignal): platform.StoreResult<platform.StoreChange> {
    const admitted = await this.call(CallKind.Read, 'watch', () => results.Ok(undefined))
    if (admitted.err) return admitted
    const changes = await this.waitForChange(prefix, afterRevision, waitMs, signal)
    if (this.faults.down) return results.Err(createProblem(platform.StoreFailure.Unavailable, 'watch', 'the store is down'))
    return results.Ok(changes)
  }

  async grantLease (ttlMs: number): platform.StoreResult<platform.StoreLease> {
    return await this.call(CallKind.Write, 'grantLease', () => results.Ok(this.data.grantLease(ttlMs)))
  }

  async renewLease (leaseId: string): platform.StoreResult<platform.StoreLease> {
    return await this.call(CallKind.Write, 'renewLease', () => {
      const lease = this.data.renewLease(leaseId)
      if (lease !== undefined) return results.Ok(lease)
      return results.Err(createProblem(platform.StoreFailure.Mismatch, 'renewLease', `the lease ${leaseId} has expired`))
    })
  }

  async revokeLease (leaseId: string): platform.StoreResult<void> {
    return await this.call(CallKind.Write, 'revokeLease', () => {
      this.data.revokeLease(leaseId)
      return results.Ok(undefined)
    })
  }

  /** Cancels all lease timers. */
  close (): void {
    this.data.close()
  }

  private async call<T> (kind: CallKind, step: string, perform: () => results.Result<T, platform.StoreProblem>): platform.StoreResult<T> {
    this.count(kind)
    if (this.faults.slowMs > 0) await this.timers.sleep(this.faults.slowMs)
    if (this.faults.down) return results.Err(createProblem(platform.StoreFailure.Unavailable, step, 'the store is down'))
    if (!this.limitOf(kind).tryTake()) {
      this.refusedCalls += 1
      return results.Err(createProblem(platform.StoreFailure.RateLimited, step, 'the rate of the store is exceeded'))
    }
    const outcome = perform()
    if (kind === CallKind.Write && this.faults.loseAnswers) {
      return results.Err(createProblem(platform.StoreFailure.AnswerLost, step, 'the answer was lost'))
    }
    return outcome
  }

  private count (kind: CallKind): void {
    if (kind === CallKind.Read) this.counts.reads += 1
    else this.counts.writes += 1
  }

  private limitOf (kind: CallKind): RateLimit {
    return kind === CallKind.Read ? this.reads : this.writes
  }

  private async waitForChange (prefix: string, afterRevision: number, waitMs: number, signal?: AbortSignal): Promise<platform.StoreChange> {
    const stop = new AbortController()
    const abort = (): void => { stop.abort() }
    signal?.addEventListener('abort', abort, { once: true })
    const unsubscribe = this.data.subscribe(() => {
      if (this.data.changesAfter(prefix, afterRevision).values.length > 0) stop.abort()
    })
    const hasChanged = this.data.changesAfter(prefix, afterRevision).values.length > 0
    if (!hasChanged && signal?.aborted !== true) await this.timers.sleep(waitMs, stop.signal)
    unsubscribe()
    signal?.removeEventListener('abort', abort)
    return this.data.changesAfter(prefix, afterRevision)
  }
}

function createProblem (failure: platform.StoreFailure, step: string, message: string): platform.StoreProblem {
  return { failure, error: new protocol.StepError(platform.errorCodeOf(failure), `store.${step}`, PEER, message) }
}
