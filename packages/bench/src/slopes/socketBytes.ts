/** Counts the bytes on this process's sockets by the server's address. */
import * as diagnostics from 'node:diagnostics_channel'
import type { Socket } from 'node:net'

/** Bytes that went over the sockets to one address. */
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

/** Which end of its connections this process counts. */
export enum SocketSide {
  Client = 'client',
  Server = 'server'
}

/** Tracks the sockets that are opened after `start`. */
export class SocketByteCounter {
  private readonly sockets: TrackedSocket[] = []
  private readonly channel: string
  private readonly onSocket = (message: unknown): void => { this.track((message as { socket: Socket }).socket) }

  constructor (private readonly side: SocketSide) {
    this.channel = side === SocketSide.Client ? CLIENT_SOCKET_CHANNEL : SERVER_SOCKET_CHANNEL
  }

  /** Tracks all sockets from now on. */
  start (): void {
    diagnostics.subscribe(this.channel, this.onSocket)
  }

  /** Tracks no further sockets. */
  stop (): void {
    diagnostics.unsubscribe(this.channel, this.onSocket)
  }

  /** Returns the bytes on the connections to a server's address since the start. */
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
