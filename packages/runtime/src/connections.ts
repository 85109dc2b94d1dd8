/** Tracks the connections of an HTTP server, so that none is closed while a request on it has been read or waits in its socket. */
import type * as http from 'node:http'
import * as https from 'node:https'
import * as net from 'node:net'
import type * as settings from '@egretvalve/settings'
import { type BudgetHolder, CONNECTION_BYTES, DropCause, HolderState, type RequestBudget } from './requestBudget.ts'

/**
 * Maximum time since the sockets were last polled at which an idle connection is closed, in milliseconds. Bytes that came since
 * then are lost, so this is well below the time after which a caller expects its request to have been read.
 */
const MAX_UNREAD_MS = 100
/** Time for which a connection is idle before a stop closes it, in milliseconds. A caller that sends again sooner gets a whole answer. */
const MIN_IDLE_MS = 400
/** Period of the search for idle connections during a stop, in milliseconds. */
const CHECK_PERIOD_MS = 20
/** Time limit for accepting the connections that wait at the listener during a stop, in milliseconds. */
const ACCEPT_LIMIT_MS = 2_000
/** Time after which no further connections may queue at the listener meanwhile, in milliseconds. */
const QUEUE_LIMIT_MS = 200

/** What was cut when the connections were closed before all requests had been answered. */
export interface CutCounts {
  /** Requests that had been read and not been answered completely. */
  requestsCut: number
  /** Connections with such a request, or with a request of which only a part had been received. */
  connectionsCut: number
}

const STALLED_HEADERS_RESPONSE = 'HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n'

/** Answers a request that is dropped before it has been read completely, or closes its connection. */
export type DropRequest = (request: http.IncomingMessage, response: http.ServerResponse, cause: DropCause) => void

class Connection implements BudgetHolder {
  /** Requests of which the headers have been read and the response has not been handed to the socket completely. */
  unanswered = 0
  /** Bytes read from the socket when its last request was answered. More means that a part of the next request has come. */
  bytesReadWhenIdle = 0
  /** Request whose headers were read last, and its response. */
  last: { request: http.IncomingMessage, response: http.ServerResponse } | undefined
  readonly peer: string
  heldBytes = 0
  progressBytes = 0
  isPaused = false
  wasReceiving = false
  progressAtMs: number

  /** `idleSinceMs` is the monotonic time at which the connection was accepted or its last request was answered, in milliseconds. */
  constructor (readonly socket: net.Socket, public idleSinceMs: number, private readonly dropRequest: DropRequest) {
    this.peer = socket.remoteAddress ?? ''
    this.progressAtMs = idleSinceMs
  }

  get bytesRead (): number {
    return this.socket.bytesRead
  }

  get isIdle (): boolean {
    return this.unanswered === 0 && this.socket.bytesRead === this.bytesReadWhenIdle
  }

  get state (): HolderState {
    if (this.isIdle) return HolderState.Idle
    // Of several unanswered requests, the earlier ones have been read completely.
    const isReceiving = this.unanswered === 0 || (this.unanswered === 1 && this.last?.request.complete !== true)
    return isReceiving ? HolderState.Receiving : HolderState.Answering
  }

  /** Stops reads of the socket. The request goes on delivering what has been read, so that its body is counted and nothing stays in its own buffer. */
  pause (): void {
    this.socket.pause()
    stopReading(this.socket)
  }

  resume (): void {
    this.socket.resume()
  }

  drop (cause: DropCause): void {
    if (this.unanswered > 0 && this.last !== undefined) {
      // The socket is not read while the answer is written: what came would be kept and not be counted.
      this.isPaused = true
      this.pause()
      this.dropRequest(this.last.request, this.last.response, cause)
    } else if (cause === DropCause.Stalled) {
      this.socket.end(STALLED_HEADERS_RESPONSE)
      this.socket.destroySoon()
    } else {
      this.socket.destroy()
    }
  }
}

/** The open connections of a server. */
export class ServerConnections {
  private readonly connections = new Map<net.Socket, Connection>()
  /** True once the listener takes no further connections: a caller whose connection is closed earlier comes back and waits there again. */
  closesAfterResponses = false
  private acceptedCount = 0
  private answered = 0
  private unanswered = 0

  constructor (private readonly server: http.Server, private readonly timers: settings.Timers, private readonly budget: RequestBudget, private readonly dropRequest: DropRequest) {
    server.on(server instanceof https.Server ? 'secureConnection' : 'connection', (socket: net.Socket) => { this.add(socket) })
    server.prependListener('request', (request: http.IncomingMessage, response: http.ServerResponse) => { this.addRequest(request, response) })
    // Without a listener the server closes an idle connection when its timer fires, with the request that may wait in its socket.
    server.on('timeout', socket => { this.closeIfIdle(socket) })
  }

  /** Number of open connections. */
  get count (): number {
    return this.connections.size
  }

  /** Number of requests whose response has not been handed to the connection completely. */
  get unansweredCount (): number {
    return this.unanswered
  }

  /** Number of requests answered since the server started. */
  get answeredCount (): number {
    return this.answered
  }

  /**
   * Closes the listener after accepting the connections that wait there, then each connection once it is idle. Resolves when none
   * is left, and cuts the remaining ones when the signal aborts.
   */
  async close (signal: AbortSignal): Promise<CutCounts> {
    await this.closeListener(signal)
    while (this.connections.size > 0 && !signal.aborted) {
      await this.closeIdle()
      if (this.connections.size > 0) await this.timers.sleep(CHECK_PERIOD_MS, signal)
    }
    const counts = { requestsCut: 0, connectionsCut: 0 }
    for (const [socket, connection] of this.connections) {
      counts.requestsCut += connection.unanswered
      counts.connectionsCut += connection.isIdle ? 0 : 1
      socket.destroy()
    }
    this.server.close()
    return counts
  }

  /** Counts memory that the body of a request holds, and keeps the connection from being read if that is too much. */
  countHeld (request: http.IncomingMessage, bytes: number): void {
    const connection = this.connections.get(request.socket)
    if (connection === undefined) return
    if (bytes < 0) this.budget.release(connection, -bytes)
    else if (!this.budget.hold(connection, bytes)) connection.pause()
  }

  private add (socket: net.Socket): void {
    this.acceptedCount++
    const connection = new Connection(socket, this.timers.nowMs(), this.dropRequest)
    this.connections.set(socket, connection)
    // A request that is consumed lets its socket be read again, although it is paused.
    socket.on('resume', () => { if (connection.isPaused) connection.pause() })
    this.budget.add(connection)
    socket.once('close', () => {
      this.connections.delete(socket)
      this.budget.remove(connection)
    })
  }

  private addRequest (request: http.IncomingMessage, response: http.ServerResponse): void {
    const { socket } = request
    const connection = this.connections.get(socket)
    if (connection === undefined) return
    connection.unanswered++
    connection.last = { request, response }
    connection.progressAtMs = this.timers.nowMs()
    connection.progressBytes = socket.bytesRead
    this.unanswered++
    response.once('close', () => {
      connection.unanswered--
      this.unanswered--
      this.answered += response.writableFinished ? 1 : 0
      if (connection.unanswered > 0) return
      this.budget.release(connection, connection.heldBytes - CONNECTION_BYTES)
      connection.last = undefined
      connection.bytesReadWhenIdle = socket.bytesRead
      connection.idleSinceMs = this.timers.nowMs()
      connection.progressAtMs = connection.idleSinceMs
      connection.progressBytes = socket.bytesRead
    })
  }

  /**
   * Accepts the connections that wait at the listener, which may carry requests, and closes it. One connection is accepted in each turn
   * of the event loop, so none waits after a turn without one. If they come too fast, the system turns further ones away meanwhile.
   */
  private async closeListener (signal: AbortSignal): Promise<void> {
    const startedAtMs = this.timers.nowMs()
    let waitedMs = 0
    let isDrained = false
    while (!isDrained && !signal.aborted && waitedMs < ACCEPT_LIMIT_MS) {
      const turn = await this.runTurn()
      isDrained = turn.accepted === 0 && this.timers.nowMs() - turn.startedAtMs <= MAX_UNREAD_MS
      waitedMs = this.timers.nowMs() - startedAtMs
      if (this.closesAfterResponses || waitedMs < QUEUE_LIMIT_MS) continue
      limitAcceptQueue(this.server)
      this.closesAfterResponses = true
    }
    this.closesAfterResponses = true
    // The method of `http.Server` would also close idle connections, with the requests that wait in their sockets.
    net.Server.prototype.close.call(this.server)
  }

  /** Closes idle connections for as long as nothing can have waited long in their sockets. */
  private async closeIdle (): Promise<void> {
    const { startedAtMs } = await this.runTurn()
    for (const [socket, connection] of this.connections) {
      const nowMs = this.timers.nowMs()
      if (nowMs - startedAtMs > MAX_UNREAD_MS) return
      if (nowMs - connection.idleSinceMs >= MIN_IDLE_MS && connection.isIdle && !connection.isPaused) socket.destroy()
    }
  }

  private async closeIfIdle (socket: net.Socket): Promise<void> {
    for (;;) {
      const { startedAtMs } = await this.runTurn()
      const connection = this.connections.get(socket)
      if (connection === undefined || !connection.isIdle) return
      if (connection.isPaused) {
        // Its socket was not polled and may hold a request.
        await this.timers.sleep(MIN_IDLE_MS)
        continue
      }
      if (this.timers.nowMs() - startedAtMs > MAX_UNREAD_MS) continue
      socket.destroy()
      return
    }
  }

  /**
   * Waits for a whole turn of the event loop, from one check phase to the next, which reads all sockets that had bytes at its start.
   * Returns the time of its start and the number of connections accepted in it.
   */
  private async runTurn (): Promise<{ startedAtMs: number, accepted: number }> {
    await waitForCheckPhase()
    const startedAtMs = this.timers.nowMs()
    const acceptedBefore = this.acceptedCount
    await waitForCheckPhase()
    return { startedAtMs, accepted: this.acceptedCount - acceptedBefore }
  }
}

/** Stops reading a socket at once. `pause` alone does nothing for a socket that counts as paused, although it may have been read again since. */
function stopReading (socket: net.Socket): void {
  const { _handle: handle } = socket as unknown as { _handle: { reading: boolean, readStop: () => number } | null }
  if (handle == null) return
  handle.reading = false
  handle.readStop()
}

/** Sets the number of connections that may wait at the listener to the minimum. Those that wait already stay. */
function limitAcceptQueue (server: net.Server): void {
  const { _handle: handle } = server as unknown as { _handle: { listen: (backlog: number) => number } | null }
  handle?.listen(0)
}

/** Resolves after the sockets have been polled. */
async function waitForCheckPhase (): Promise<void> {
  await new Promise<void>(resolve => { setImmediate(resolve) })
}
