/** Client of the platform's key-value service over HTTP. */
import * as protocol from '@egretvalve/protocol'
import type * as settings from '@egretvalve/settings'
import * as results from 'ts-results'
import * as undici from 'undici'
import type * as zod from 'zod'
import { errorCodeOf } from '../failures.ts'
import { StoreFailure } from '../store.ts'
import type { Store, StoreCallCounts, StoreChange, StoredValue, StoreLease, StoreProblem, StoreResult } from '../store.ts'
import { STORE_PATH, StoreOperation, StoreStatus, storeAnswerSchemas, storeFailureSchema } from './calls.ts'

/** How the client reaches the store. */
export interface StoreClientOptions {
  /** IP number and port. */
  address: string
  /** Time after which a call counts as failed. A watch may take its waiting time longer. */
  timeoutMs: number
  timers: settings.Timers
}

/** A store client that counts its calls. */
export interface StoreClient extends Store {
  readonly counts: StoreCallCounts
  close: () => Promise<void>
}

/** Connections to the store; a waiting watch holds one. */
const CONNECTIONS = 8
const STATUS_OK = 200
/** Failures that arise before a request is sent. */
const UNSENT_ERROR_CODES: ReadonlySet<string> = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT', 'UND_ERR_DESTROYED', 'UND_ERR_CLOSED'])

interface CallOptions {
  waitMs?: number
  signal?: AbortSignal
}

/** Creates a client of the store. */
export function createStoreClient (options: StoreClientOptions): StoreClient {
  return new HttpStore(options)
}

class HttpStore implements StoreClient {
  readonly counts: StoreCallCounts = { reads: 0, writes: 0 }
  private readonly pool: undici.Pool

  constructor (private readonly options: StoreClientOptions) {
    this.pool = new undici.Pool(`http://${options.address}`, {
      connections: CONNECTIONS,
      connect: { timeout: options.timeoutMs },
      headersTimeout: 0,
      bodyTimeout: 0
    })
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
    await this.pool.destroy()
  }

  private async read<O extends StoreOperation> (operation: O, body: object, call: CallOptions = {}): StoreResult<zod.infer<typeof storeAnswerSchemas[O]>> {
    this.counts.reads += 1
    return await this.call(operation, body, StoreFailure.Unavailable, call)
  }

  private async write<O extends StoreOperation> (operation: O, body: object): StoreResult<zod.infer<typeof storeAnswerSchemas[O]>> {
    this.counts.writes += 1
    return await this.call(operation, body, StoreFailure.AnswerLost, {})
  }

  /** Sends one call. `failureAfterSend` tells what an unanswered call means: a lost read has no effect, a lost write may have. */
  private async call<O extends StoreOperation> (operation: O, body: object, failureAfterSend: StoreFailure, call: CallOptions): StoreResult<zod.infer<typeof storeAnswerSchemas[O]>> {
    const stop = new AbortController()
    const timeout = this.options.timers.after(this.options.timeoutMs + (call.waitMs ?? 0), () => { stop.abort() })
    const abort = (): void => { stop.abort() }
    call.signal?.addEventListener('abort', abort, { once: true })
    if (call.signal?.aborted === true) stop.abort()
    try {
      const response = await this.pool.request({
        path: STORE_PATH + operation,
        method: 'POST',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(body),
        signal: stop.signal
      })
      const answer = await response.body.json()
      if (response.statusCode !== STATUS_OK) return results.Err(this.resolveFailure(operation, response.statusCode, answer, failureAfterSend))
      return results.Ok(storeAnswerSchemas[operation].parse(answer) as zod.infer<typeof storeAnswerSchemas[O]>)
    } catch (thrown) {
      const failure = isUnsent(thrown) ? StoreFailure.Unavailable : failureAfterSend
      return results.Err(this.createProblem(operation, failure, describe(thrown, stop.signal.aborted)))
    } finally {
      timeout.cancel()
      call.signal?.removeEventListener('abort', abort)
    }
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

function isUnsent (thrown: unknown): boolean {
  const code = (thrown as { code?: unknown } | undefined)?.code
  return typeof code === 'string' && UNSENT_ERROR_CODES.has(code)
}

function describe (thrown: unknown, isAborted: boolean): string {
  if (isAborted) return 'no answer in time'
  return thrown instanceof Error ? thrown.message : String(thrown)
}
