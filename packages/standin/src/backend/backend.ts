/** A stand-in backend server that announces itself, runs each task for its requested time and echoes the body. */
import * as http from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import type * as settings from '@egretvalve/settings'
import { events } from '../events.ts'
import { Announcer } from './announcer.ts'
import { DEFAULT_LEASE_MS, DEFAULT_SEED, backendFaultsSchema, type BackendFaults, type StandinBackendOptions } from './options.ts'
import type { StartCount } from './startCounter.ts'
import { TaskRunner, type BackendCounters } from './tasks.ts'

/** HTTP headers that an agent sets on each task request. */
export enum TaskHeader {
  SubmissionId = 'x-egretvalve-submission-id',
  Team = 'x-egretvalve-team',
  TaskIndex = 'x-egretvalve-task-index',
  DeadlineMs = 'x-egretvalve-deadline-ms'
}

/** A running stand-in backend server. */
export interface StandinBackend {
  /** Listen address as `ip:port`; empty before `start`. */
  readonly address: string
  readonly counters: Readonly<BackendCounters>
  /** Starts listening and announces the server. Rejects if the listen address cannot be bound. */
  start: () => Promise<void>
  /** Withdraws the announcement, finishes the running tasks, then closes. Tasks that hang are dropped. */
  stop: () => Promise<void>
  /** Withdraws the announcement and continues to serve requests. */
  leave: () => Promise<void>
  /** Closes immediately, drops running tasks and does not notify the agent. */
  crash: () => Promise<void>
  /** Changes the given faults and leaves the others unchanged. */
  setFaults: (faults: Partial<BackendFaults>) => void
  /** Returns the start counts of all tasks, or of the tasks of one submission. */
  starts: (submissionId?: string) => StartCount[]
}

/** Idle connection timeout in milliseconds; longer than that of the agent's HTTP client, so that the client closes first. */
const KEEP_ALIVE_MS = 60_000

/** Creates a stand-in backend server. Call `start` to run it. */
export function createStandinBackend (options: StandinBackendOptions): StandinBackend {
  return new BackendServer(options)
}

class BackendServer implements StandinBackend {
  address = ''
  private readonly runner: TaskRunner
  private readonly server: http.Server
  private readonly sockets = new Set<Socket>()
  private readonly stopping = new AbortController()
  private announcer: Announcer | undefined

  constructor (private readonly options: StandinBackendOptions) {
    const { slots, timers, log, seed = DEFAULT_SEED, faults = {} } = options
    this.runner = new TaskRunner(slots, timers, log, seed, faults)
    this.server = http.createServer({ keepAliveTimeout: KEEP_ALIVE_MS }, (request, response) => { this.serve(request, response).catch(() => response.destroy()) })
    this.server.on('connection', socket => this.accept(socket))
  }

  get counters (): Readonly<BackendCounters> {
    return this.runner.counters
  }

  async start (): Promise<void> {
    this.address = await listen(this.server, this.options.listen)
    this.log.event(events.backendStarted, { address: this.address, service: this.options.service })
    if (this.options.agentAddress === '') return
    this.announcer = new Announcer(this.options.agentAddress, this.createAnnouncement(), this.options.timers, this.log)
    await this.announcer.start()
  }

  async leave (): Promise<void> {
    await this.announcer?.leave()
    this.announcer = undefined
  }

  async stop (): Promise<void> {
    await this.leave()
    await this.close()
    this.log.event(events.backendStopped, { address: this.address, started: this.counters.started })
  }

  async crash (): Promise<void> {
    this.stopping.abort()
    for (const socket of this.sockets) socket.destroy()
    await this.announcer?.stopRenewals()
    await this.close()
  }

  setFaults (faults: Partial<BackendFaults>): void {
    this.runner.faults = { ...this.runner.faults, ...faults }
    this.log.event(events.faultsChanged, { address: this.address, faults: JSON.stringify(this.runner.faults) })
    if (!this.runner.faults.refuseConnections) return
    for (const socket of this.sockets) socket.destroy()
  }

  starts (submissionId?: string): StartCount[] {
    return this.runner.startCounter.list(submissionId)
  }

  private get log (): settings.Log {
    return this.options.log
  }

  private createAnnouncement () {
    const { service, slots, connections, cores, memoryMb, accelerators, rack, leaseMs = DEFAULT_LEASE_MS } = this.options
    return { service, address: this.address, slots, connections, cores, memoryMb, accelerators, rack, leaseMs }
  }

  private async close (): Promise<void> {
    if (this.runner.faults.hang) this.stopping.abort()
    const closed = new Promise(resolve => { this.server.close(resolve) })
    this.server.closeIdleConnections()
    await closed
  }

  private accept (socket: Socket): void {
    if (this.runner.faults.refuseConnections) {
      socket.destroy()
      return
    }
    this.sockets.add(socket)
    socket.on('close', () => { this.sockets.delete(socket) })
  }

  private async serve (request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const body = await readBody(request).catch(() => undefined)
    if (body === undefined) {
      response.destroy()
      return
    }
    const url = new URL(request.url ?? '/', 'http://backend')
    const route = `${request.method} ${url.pathname}`
    if (route === 'GET /starts') sendJson(response, this.starts(url.searchParams.get('submissionId') ?? undefined))
    else if (route === 'GET /counters') sendJson(response, this.counters)
    else if (route === 'PUT /faults') this.changeFaults(body, response)
    else if (route === 'PUT /leave') await this.leave().then(() => { sendJson(response, { leaving: true }) })
    else if (request.method === 'POST') await this.runTask(request, body, response)
    else response.writeHead(404).end()
  }

  private changeFaults (body: Buffer, response: http.ServerResponse): void {
    try {
      this.setFaults(backendFaultsSchema.parse(JSON.parse(body.toString())))
      sendJson(response, this.runner.faults)
    } catch (thrown) {
      response.writeHead(400).end(String(thrown))
    }
  }

  private async runTask (request: http.IncomingMessage, body: Buffer, response: http.ServerResponse): Promise<void> {
    const task = { team: readHeader(request, TaskHeader.Team), submissionId: readHeader(request, TaskHeader.SubmissionId), index: Number(readHeader(request, TaskHeader.TaskIndex)) }
    const result = await this.runner.run(task, body, this.stopping.signal)
    if (result === undefined) {
      response.destroy()
      return
    }
    const contentType = request.headers['content-type'] ?? 'application/octet-stream'
    response.writeHead(result.statusCode, { 'content-type': contentType, 'content-length': result.body.length })
    response.end(result.body)
    if (!this.server.listening) response.once('finish', () => { request.socket.end() })
  }
}

async function listen (server: http.Server, address: string): Promise<string> {
  const [host, port] = address.split(':')
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(Number(port), host, resolve)
  })
  const bound = server.address() as AddressInfo
  return `${bound.address}:${bound.port}`
}

async function readBody (request: http.IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = []
  for await (const chunk of request) chunks.push(chunk as Buffer)
  return chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks)
}

function readHeader (request: http.IncomingMessage, name: TaskHeader): string {
  const value = request.headers[name]
  return typeof value === 'string' ? value : ''
}

function sendJson (response: http.ServerResponse, value: unknown): void {
  response.writeHead(200, { 'content-type': 'application/json' }).end(JSON.stringify(value))
}
