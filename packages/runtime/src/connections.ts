/** Tracks the connections of an HTTP server, so that none is closed while a request on it has been read or waits in its socket. */
import type * as http from 'node:http'
import * as https from 'node:https'
import * as net from 'node:net'
import type * as settings from '@egretvalve/settings'

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

interface Connection {
  /** Requests of which the headers have been read and the response has not been handed to the socket completely. */
  unanswered: number
  /** Bytes read from the socket when its last request was answered. More means that a part of the next request has come. */
  bytesReadWhenIdle: number
  /** Monotonic time at which the connection was accepted or its last request was answered, in milliseconds. */
  idleSinceMs: number
}

/** The open connections of a server. */
export class ServerConnections {
  private readonly connections = new Map<net.Socket, Connection>()
  /** True once the listener takes no further connections: a caller whose connection is closed earlier comes back and waits there again. */
  closesAfterResponses = false
  private acceptedCount = 0
  private answered = 0
  private unanswered = 0

  constructor (private readonly server: http.Server, private readonly timers: settings.Timers) {
    server.on(server instanceof https.Server ? 'secureConnection' : 'connection', (socket: net.Socket) => { this.add(socket) })
    server.prependListener('request', (request: http.IncomingMessage, response: http.ServerResponse) => { this.addRequest(request.socket, response) })
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
      counts.connectionsCut += this.isIdle(socket, connection) ? 0 : 1
      socket.destroy()
    }
    this.server.close()
    return counts
  }

  private add (socket: net.Socket): void {
    this.acceptedCount++
    this.connections.set(socket, { unanswered: 0, bytesReadWhenIdle: 0, idleSinceMs: this.timers.nowMs() })
    socket.once('close', () => { this.connections.delete(socket) })
  }

  private addRequest (socket: net.Socket, response: http.ServerResponse): void {
    const connection = this.connections.get(socket)
    if (connection === undefined) return
    connection.unanswered++
    this.unanswered++
    response.once('close', () => {
      connection.unanswered--
      this.unanswered--
      this.answered += response.writableFinished ? 1 : 0
      if (connection.unanswered > 0) return
      connection.bytesReadWhenIdle = socket.bytesRead
      connection.idleSinceMs = this.timers.nowMs()
    })
  }

  private isIdle (socket: net.Socket, { unanswered, bytesReadWhenIdle }: Connection): boolean {
    return unanswered === 0 && socket.bytesRead === bytesReadWhenIdle
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
      if (nowMs - connection.idleSinceMs >= MIN_IDLE_MS && this.isIdle(socket, connection)) socket.destroy()
    }
  }

  private async closeIfIdle (socket: net.Socket): Promise<void> {
    for (;;) {
      const { startedAtMs } = await this.runTurn()
      const connection = this.connections.get(socket)
      if (connection === undefined || !this.isIdle(socket, connection)) return
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

/** Sets the number of connections that may wait at the listener to the minimum. Those that wait already stay. */
function limitAcceptQueue (server: net.Server): void {
  const { _handle: handle } = server as unknown as { _handle: { listen: (backlog: number) => number } | null }
  handle?.listen(0)
}

/** Resolves after the sockets have been polled. */
async function waitForCheckPhase (): Promise<void> {
  await new Promise<void>(resolve => { setImmediate(resolve) })
}
