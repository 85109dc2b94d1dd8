/** Counts the bytes on the TCP sockets of this process by server address. */
import * as diagnostics from 'node:diagnostics_channel'
import type { Socket } from 'node:net'

/** Bytes on the sockets of one server address. */
export interface SocketBytes {
  written: number
  read: number
}

const CLIENT_SOCKET_CHANNEL = 'net.client.socket'
const SERVER_SOCKET_CHANNEL = 'net.server.socket'

interface TrackedSocket {
  socket: Socket
  address: string
  closed: SocketBytes | undefined
}

/** Selects whether client or server sockets of this process are counted. */
export enum SocketSide {
  Client = 'client',
  Server = 'server'
}

/** Counts the bytes on sockets opened between `start` and `stop`. */
export class SocketByteCounter {
  private readonly sockets: TrackedSocket[] = []
  private readonly channel: string
  private readonly onSocket = (message: unknown): void => { this.track((message as { socket: Socket }).socket) }

  constructor (private readonly side: SocketSide) {
    this.channel = side === SocketSide.Client ? CLIENT_SOCKET_CHANNEL : SERVER_SOCKET_CHANNEL
  }

  /** Starts tracking newly opened sockets. */
  start (): void {
    diagnostics.subscribe(this.channel, this.onSocket)
  }

  /** Stops tracking newly opened sockets; those already tracked stay counted. */
  stop (): void {
    diagnostics.unsubscribe(this.channel, this.onSocket)
  }

  /** Returns the total bytes on tracked connections to a server address, closed ones included. */
  read (address: string): SocketBytes {
    const total = { written: 0, read: 0 }
    for (const tracked of this.sockets) {
      if (tracked.address !== address) continue
      const bytes = tracked.closed ?? readBytes(tracked.socket)
      total.written += bytes.written
      total.read += bytes.read
    }
    return total
  }

  private track (socket: Socket): void {
    const tracked: TrackedSocket = { socket, address: '', closed: undefined }
    this.sockets.push(tracked)
    if (this.side === SocketSide.Server) tracked.address = `${socket.localAddress ?? ''}:${socket.localPort ?? 0}`
    else socket.once('connect', () => { tracked.address = `${socket.remoteAddress ?? ''}:${socket.remotePort ?? 0}` })
    socket.once('close', () => { tracked.closed = readBytes(socket) })
  }
}

function readBytes (socket: Socket): SocketBytes {
  return { written: socket.bytesWritten, read: socket.bytesRead }
}
