/** HTTP client of the platform's key-value service. */
import * as protocol from '@egretvalve/protocol'
import * as runtime from '@egretvalve/runtime'
import type * as settings from '@egretvalve/settings'
import * as results from 'ts-results'
import type * as zod from 'zod'
import { errorCodeOf } from '../failures.ts'
import { StoreFailure } from '../store.ts'
import type { Store, StoreCallCounts, StoreChange, StoredValue, StoreLease, StoreProblem, StoreResult } from '../store.ts'
import { STORE_PATH, StoreOperation, StoreStatus, storeAnswerSchemas, storeFailureSchema } from './calls.ts'

/** Options of the store client. */
export interface StoreClientOptions {
  /** IP address and port of the store. */
  address: string
  /** Time-out of a call, in milliseconds. The waiting time of a watch is added to it. */
  timeoutMs: number
  timers: settings.Timers
}

/** A store client with the number of its calls. */
export interface StoreClient extends Store {
  readonly counts: StoreCallCounts
  close: () => Promise<void>
}

/** Number of connections to the store. A waiting watch occupies one. */
const CONNECTIONS = 8
const STATUS_OK = 200

interface CallOptions {
  waitMs?: number
  signal?: AbortSignal
}

/** Creates a store client over HTTP. It never retries a call. */
export function createStoreClient (options: StoreClientOptions): StoreClient {
  return new HttpStore(options)
}

class HttpStore implements StoreClient {
  readonly counts: StoreCallCounts = { reads: 0, writes: 0 }
  private readonly caller: runtime.HttpCaller

  constructor (private readonly options: StoreClientOptions) {
    this.caller = new runtime.HttpCaller({ address: options.address, connections: CONNECTIONS, connectTimeoutMs: options.timeoutMs, timers: options.timers })
  }

  async get (key: string): StoreResult<StoredValue> {
    return await this.read(StoreOperation.Get, { key })
  }

  async list (prefix: string): StoreResult<StoreChange> {
    return await this.read(StoreOperation.List, { prefix })
  }

  async watch (prefix: string, afterRevision: number, waitMs: number, signal?: AbortSignal): StoreResult<StoreChange> {
    return await this.read(StoreOperation.Watch, { prefix, afterRevision, waitMs }, { waitMs, signal })
  }

  async compareAndSwap (key: string, expectedRevision: number, value: string, leaseId?: string): StoreResult<StoredValue> {
    return await this.write(StoreOperation.CompareAndSwap, { key, expectedRevision, value, leaseId })
  }

  async grantLease (ttlMs: number): StoreResult<StoreLease> {
    return await this.write(StoreOperation.GrantLease, { ttlMs })
  }

  async renewLease (leaseId: string): StoreResult<StoreLease> {
    return await this.write(StoreOperation.RenewLease, { leaseId })
  }

  async revokeLease (leaseId: string): StoreResult<void> {
    return await this.write(StoreOperation.RevokeLease, { leaseId })
  }

  async close (): Promise<void> {
    await this.caller.close()
  }

  private async read<O extends StoreOperation> (operation: O, body: object, call: CallOptions = {}): StoreResult<zod.infer<typeof storeAnswerSchemas[O]>> {
    this.counts.reads += 1
    return await this.call(operation, body, StoreFailure.Unavailable, call)
  }

  private async write<O extends StoreOperation> (operation: O, body: object): StoreResult<zod.infer<typeof storeAnswerSchemas[O]>> {
    this.counts.writes += 1
    return await this.call(operation, body, StoreFailure.AnswerLost, {})
  }

  /** Sends one call. `failureAfterSend` is the failure of a call without a valid answer: a read has no effect, a write may have taken effect. */
  private async call<O extends StoreOperation> (operation: O, body: object, failureAfterSend: StoreFailure, call: CallOptions): StoreResult<zod.infer<typeof storeAnswerSchemas[O]>> {
    const outcome = await this.caller.call({ method: 'POST', path: STORE_PATH + operation, body, timeoutMs: this.options.timeoutMs + (call.waitMs ?? 0), signal: call.signal })
    if (outcome.kind !== 'answered') {
      const failure = outcome.kind === 'unsent' ? StoreFailure.Unavailable : failureAfterSend
      return results.Err(this.createProblem(operation, failure, outcome.reason))
    }
    if (outcome.status !== STATUS_OK) return results.Err(this.resolveFailure(operation, outcome.status, outcome.body, failureAfterSend))
    const answer = storeAnswerSchemas[operation].safeParse(outcome.body)
    if (!answer.success) return results.Err(this.createProblem(operation, failureAfterSend, answer.error.message))
    return results.Ok(answer.data as zod.infer<typeof storeAnswerSchemas[O]>)
  }

  private resolveFailure (operation: StoreOperation, statusCode: number, answer: unknown, failureAfterSend: StoreFailure): StoreProblem {
    const parsed = storeFailureSchema.safeParse(answer)
    const message = parsed.success ? parsed.data.message : `status ${statusCode}`
    const current = parsed.success ? parsed.data.current : undefined
    switch (statusCode) {
      case StoreStatus.Mismatch: return { ...this.createProblem(operation, StoreFailure.Mismatch, message), current }
      case StoreStatus.RateLimited: return this.createProblem(operation, StoreFailure.RateLimited, message)
      case StoreStatus.Unavailable: return this.createProblem(operation, StoreFailure.Unavailable, message)
      default: return this.createProblem(operation, failureAfterSend, message)
    }
  }

  private createProblem (operation: StoreOperation, failure: StoreFailure, message: string): StoreProblem {
    return { failure, error: new protocol.StepError(errorCodeOf(failure), `store.${operation}`, this.options.address, message) }
  }
}
