/** A stand-in backend server that occupies a slot for the run time given in the request body. */
import * as http from 'node:http'
import type { AddressInfo } from 'node:net'
import type * as settings from '@egretvalve/settings'

/** Headers with which an agent identifies the task to a backend server. */
export enum TaskHeader {
  SubmissionId = 'x-egretvalve-submission-id',
  Team = 'x-egretvalve-team',
  TaskIndex = 'x-egretvalve-task-index'
}

/** Request body of a task. */
export interface BackendTask {
  runMs: number
}

/** Result of a task. It identifies the task, so that a result assigned to the wrong task is detected. */
export interface BackendResult {
  submissionId: string
  index: number
}

/** A recorded start of a task. Times are in milliseconds on the monotonic clock of the timers. */
export interface BackendStart {
  team: string
  submissionId: string
  index: number
  startedAtMs: number
  endedAtMs: number | undefined
  isFailed: boolean
}

interface WaitingCall {
  request: http.IncomingMessage
  response: http.ServerResponse
  task: BackendTask
}

const LOOPBACK = '127.0.0.1'
const KEEP_ALIVE_MS = 60_000

/** A stand-in backend server. Requests beyond its slots wait in arrival order. */
export class BackendServer {
  readonly starts: BackendStart[] = []
  /** While set, fails each task immediately. */
  isFailing = false
  private readonly waiting: WaitingCall[] = []
  private running = 0
  private readonly server: http.Server

  constructor (private readonly slots: number, private readonly timers: settings.Timers) {
    this.server = http.createServer((request, response) => { this.receive(request, response) })
    this.server.keepAliveTimeout = KEEP_ALIVE_MS
  }

  /** IP address and port; valid after `start`. */
  get address (): string {
    const { port } = this.server.address() as AddressInfo
    return `${LOOPBACK}:${port}`
  }

  /** Starts listening on a free port of the loopback interface. */
  async start (): Promise<void> {
    await new Promise<void>(resolve => { this.server.listen(0, LOOPBACK, resolve) })
  }

  /** Closes the server and all its connections. */
  async stop (): Promise<void> {
    const closed = new Promise<void>(resolve => { this.server.close(() => resolve()) })
    this.server.closeAllConnections()
    await closed
  }

  private receive (request: http.IncomingMessage, response: http.ServerResponse): void {
    const chunks: Buffer[] = []
    request.on('data', chunk => chunks.push(chunk as Buffer))
    request.on('end', () => {
      this.waiting.push({ request, response, task: parseTask(Buffer.concat(chunks)) })
      this.startWaiting()
    })
  }

  private startWaiting (): void {
    while (this.running < this.slots) {
      const call = this.waiting.shift()
      if (call === undefined) return
      if (!call.response.destroyed) this.run(call)
    }
  }

  private run (call: WaitingCall): void {
    const start = createStart(call.request, this.timers.nowMs(), this.isFailing)
    this.starts.push(start)
    if (this.isFailing) {
      start.endedAtMs = start.startedAtMs
      respond(call.response, 500, start)
      return
    }
    this.running++
    this.timers.after(call.task.runMs, () => {
      this.running--
      start.endedAtMs = this.timers.nowMs()
      respond(call.response, 200, start)
      this.startWaiting()
    })
  }
}

function parseTask (body: Buffer): BackendTask {
  if (body.length === 0) return { runMs: 0 }
  return JSON.parse(body.toString()) as BackendTask
}

function readHeader (request: http.IncomingMessage, name: string): string {
  return String(request.headers[name] ?? '')
}

function createStart (request: http.IncomingMessage, nowMs: number, isFailed: boolean): BackendStart {
  return {
    team: readHeader(request, TaskHeader.Team),
    submissionId: readHeader(request, TaskHeader.SubmissionId),
    index: Number(readHeader(request, TaskHeader.TaskIndex)),
    startedAtMs: nowMs,
    endedAtMs: undefined,
    isFailed
  }
}

function respond (response: http.ServerResponse, statusCode: number, start: BackendStart): void {
  const result: BackendResult = { submissionId: start.submissionId, index: start.index }
  const body = JSON.stringify(result)
  response.writeHead(statusCode, { 'content-type': 'application/json', 'content-length': body.length })
  response.end(body)
}
