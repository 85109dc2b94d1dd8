/** Serves the stand-in store over HTTP, with endpoints for its faults and call counts. */
import * as http from 'node:http'
import type * as net from 'node:net'
import * as platform from '@egretvalve/platform'
import * as protocol from '@egretvalve/protocol'
import type * as settings from '@egretvalve/settings'
import type * as results from 'ts-results'
import { storeEvents } from './events.ts'
import { storeFaultsSchema } from './faults.ts'
import { MemoryStore } from './memoryStore.ts'

/** Options of a stand-in store server. */
export interface StandinStoreOptions {
  /** Listen address as `ip:port`; port 0 selects a free port. */
  listen: string
  timers: settings.Timers
  log: settings.Log
}

/** A running stand-in store. */
export interface StandinStore {
  /** Starts listening. Rejects if the listen address cannot be bound. */
  start: () => Promise<void>
  /** Closes the store, all connections and the server. */
  stop: () => Promise<void>
  /** Listen address as `ip:port`; empty before `start`. */
  readonly address: string
  readonly store: MemoryStore
}

/** Path of the faults: `GET` returns and `PUT` replaces them; the body follows `storeFaultsSchema`. */
export const STORE_FAULTS_PATH = '/v1/faults'
/** Path of the call counts since the store was created. */
export const STORE_COUNTS_PATH = '/v1/counts'

const STATUS_OK = 200
const STATUS_BAD_REQUEST = 400
const STATUS_NOT_FOUND = 404

/** Creates a stand-in store. Call `start` to run it. */
export function createStandinStore (options: StandinStoreOptions): StandinStore {
  return new StoreServer(options)
}

class StoreServer implements StandinStore {
  address = ''
  readonly store: MemoryStore
  private readonly server: http.Server

  constructor (private readonly options: StandinStoreOptions) {
    this.store = new MemoryStore(options.timers)
    this.server = http.createServer((request, response) => {
      this.serve(request, response).catch(thrown => { this.reportFailure(thrown, response) })
    })
  }

  async start (): Promise<void> {
    const [host, port] = this.options.listen.split(':')
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen(Number(port), host, resolve)
    })
    const bound = this.server.address() as net.AddressInfo
    this.address = `${bound.address}:${bound.port}`
    this.options.log.event(storeEvents.listening, { address: this.address })
  }

  async stop (): Promise<void> {
    this.store.close()
    this.server.closeAllConnections()
    await new Promise<void>(resolve => { this.server.close(() => resolve()) })
  }

  private async serve (request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const body = await readJson(request)
    const path = request.url ?? ''
    if (path === STORE_FAULTS_PATH) this.serveFaults(request, response, body)
    else if (path === STORE_COUNTS_PATH) sendJson(response, STATUS_OK, { ...this.store.counts, refusedCalls: this.store.refusedCalls })
    else if (path.startsWith(platform.STORE_PATH)) await this.serveOperation(path.slice(platform.STORE_PATH.length), body, response)
    else sendJson(response, STATUS_NOT_FOUND, { message: `no such path: ${path}` })
  }

  private reportFailure (thrown: unknown, response: http.ServerResponse): void {
    const error = protocol.toStepError(thrown, 'store.serve', 'local')
    this.options.log.event(storeEvents.callFailed, { error: error.describe() })
    sendJson(response, STATUS_BAD_REQUEST, { message: error.message })
  }

  private serveFaults (request: http.IncomingMessage, response: http.ServerResponse, body: unknown): void {
    if (request.method === 'PUT') {
      this.store.faults = storeFaultsSchema.parse(body)
      this.options.log.event(storeEvents.faultsChanged, { ...this.store.faults })
    }
    sendJson(response, STATUS_OK, this.store.faults)
  }

  private async serveOperation (name: string, body: unknown, response: http.ServerResponse): Promise<void> {
    const outcome = await this.perform(name as platform.StoreOperation, body, response)
    if (outcome.ok) sendJson(response, STATUS_OK, outcome.val ?? {})
    else this.sendProblem(response, outcome.val)
  }

  private async perform (operation: platform.StoreOperation, body: unknown, response: http.ServerResponse): Promise<results.Result<unknown, platform.StoreProblem>> {
    const schemas = platform.storeRequestSchemas
    switch (operation) {
      case platform.StoreOperation.Get:
        return await this.store.get(schemas[operation].parse(body).key)
      case platform.StoreOperation.List:
        return await this.store.list(schemas[operation].parse(body).prefix)
      case platform.StoreOperation.Watch: {
        const call = schemas[operation].parse(body)
        const closed = new AbortController()
        response.once('close', () => { closed.abort() })
        return await this.store.watch(call.prefix, call.afterRevision, call.waitMs, closed.signal)
      }
      case platform.StoreOperation.CompareAndSwap: {
        const call = schemas[operation].parse(body)
        return await this.store.compareAndSwap(call.key, call.expectedRevision, call.value, call.leaseId)
      }
      case platform.StoreOperation.GrantLease:
        return await this.store.grantLease(schemas[operation].parse(body).ttlMs)
      case platform.StoreOperation.RenewLease:
        return await this.store.renewLease(schemas[operation].parse(body).leaseId)
      case platform.StoreOperation.RevokeLease:
        return await this.store.revokeLease(schemas[operation].parse(body).leaseId)
      default:
        return protocol.assertNever(operation)
    }
  }

  /** An outage and a lost answer both close the connection, as a failing service does: the client cannot distinguish them. */
  private sendProblem (response: http.ServerResponse, problem: platform.StoreProblem): void {
    switch (problem.failure) {
      case platform.StoreFailure.Unavailable:
      case platform.StoreFailure.AnswerLost:
        response.destroy()
        return
      case platform.StoreFailure.RateLimited:
        sendJson(response, platform.StoreStatus.RateLimited, { message: problem.error.message })
        return
      case platform.StoreFailure.Mismatch:
        sendJson(response, platform.StoreStatus.Mismatch, { message: problem.error.message, current: problem.current })
        return
      default:
        protocol.assertNever(problem.failure)
    }
  }
}

async function readJson (request: http.IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = []
  for await (const chunk of request) chunks.push(chunk as Buffer)
  if (chunks.length === 0) return {}
  return JSON.parse(Buffer.concat(chunks).toString('utf8'))
}

function sendJson (response: http.ServerResponse, statusCode: number, body: unknown): void {
  if (response.destroyed) return
  response.writeHead(statusCode, { 'content-type': 'application/json' })
  response.end(JSON.stringify(body))
}
