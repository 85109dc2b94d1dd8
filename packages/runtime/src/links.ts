/** gRPC servers and clients for the streams between egretvalve processes. */
import * as net from 'node:net'
import * as grpc from '@grpc/grpc-js'
import * as protocol from '@egretvalve/protocol'
import * as settings from '@egretvalve/settings'
import { type BudgetHolder, HolderState, processBudget } from './requestBudget.ts'
import { TlsSource } from './tlsSource.ts'
import { formatAddress, parseAddress } from './addresses.ts'

/** PEM key material for mutual TLS on links. Links without it are plain text. */
export interface LinkTls {
  key: Buffer
  cert: Buffer
  ca: Buffer
}

/** Largest message: twice the largest request body, since one that is passed on to another entry can share its message with others of the same turn. */
const MAX_MESSAGE_BYTES = 2 * protocol.MAX_BODY_BYTES
/** Streams that one connection may open. A link uses one. */
const MAX_STREAMS = 16
/** Time and bytes within which a connection has to deliver its first complete message. */
const FIRST_MESSAGE_MS = 5_000
const FIRST_MESSAGE_BYTES = 64 * 1024
/** Period of the check of connections without a message, in milliseconds. There are such connections only while links open. */
const FIRST_MESSAGE_CHECK_MS = 20
/** A connection with a message counts as receiving while it holds more than this of the next one, in bytes. Smaller amounts include the frames of flow control. */
const MIN_PENDING_BYTES = 1024 * 1024
/** Interval of keepalive pings on an idle connection, which detect an unresponsive peer. */
const KEEPALIVE_PERIOD_MS = 30_000
const KEEPALIVE_TIMEOUT_MS = 5_000

/** Channel options of servers and clients. Clients of one process do not share connections. */
export const LINK_OPTIONS: grpc.ChannelOptions = {
  'grpc.max_receive_message_length': MAX_MESSAGE_BYTES,
  'grpc.max_send_message_length': MAX_MESSAGE_BYTES,
  'grpc.keepalive_time_ms': KEEPALIVE_PERIOD_MS,
  'grpc.keepalive_timeout_ms': KEEPALIVE_TIMEOUT_MS,
  'grpc.keepalive_permit_without_calls': 0,
  'grpc.use_local_subchannel_pool': 1,
  'grpc.enable_retries': 0,
  'grpc.initial_reconnect_backoff_ms': 100,
  'grpc.max_reconnect_backoff_ms': 1_000
}

/** Either end of a bidirectional stream. */
export interface LinkStream<In, Out> extends AsyncIterable<In> {
  write: (message: Out) => boolean
  once: (event: 'drain' | 'close', listener: () => void) => unknown
  on: (event: 'error', listener: (error: Error) => void) => unknown
  end: () => unknown
  destroy: (error?: Error) => unknown
}

/** Handles one accepted stream. The stream is ended when the promise settles. */
export type LinkHandler<In, Out> = (stream: LinkStream<In, Out>, peer: string) => Promise<void>

function createServerCredentials (tls: LinkTls | undefined): grpc.ServerCredentials {
  if (tls === undefined) return grpc.ServerCredentials.createInsecure()
  if (tls instanceof TlsSource) return grpc.experimental.createCertificateProviderServerCredentials(tls, tls, true)
  return grpc.ServerCredentials.createSsl(tls.ca, [{ private_key: tls.key, cert_chain: tls.cert }], true)
}

/** Uses the key material that is current when the client dials. */
function createChannelCredentials (tls: LinkTls | undefined): grpc.ChannelCredentials {
  if (tls === undefined) return grpc.credentials.createInsecure()
  return grpc.credentials.createSsl(tls.ca, tls.key, tls.cert)
}

/** A connection to a link server. */
class LinkConnection implements BudgetHolder {
  readonly peer: string
  heldBytes = 0
  progressBytes = 0
  isPaused = false
  wasReceiving = false
  hasDelivered = false
  /** Bytes read from the socket when the last message was delivered. */
  private deliveredBytes = 0

  constructor (private readonly socket: net.Socket, readonly acceptedAtMs: number, public progressAtMs = acceptedAtMs) {
    this.peer = socket.remoteAddress ?? ''
  }

  get bytesRead (): number {
    return this.socket.bytesRead
  }

  get measuredBytes (): number {
    return this.socket.bytesRead - this.deliveredBytes
  }

  get state (): HolderState {
    return this.hasDelivered && this.measuredBytes < MIN_PENDING_BYTES ? HolderState.Answering : HolderState.Receiving
  }

  recordDelivered (): void {
    this.hasDelivered = true
    this.deliveredBytes = this.socket.bytesRead
  }

  resume (): void {}

  drop (): void {
    this.socket.destroy()
  }
}

/** Counts the connections to a link server and closes those that deliver no message. */
class LinkConnections {
  private readonly connections = new Map<string, LinkConnection>()
  private readonly unproven = new Set<LinkConnection>()
  private check: settings.TimerHandle | undefined

  constructor (private readonly timers: settings.Timers) {}

  add (socket: net.Socket): void {
    const key = `${socket.remoteAddress}:${socket.remotePort}`
    const connection = new LinkConnection(socket, this.timers.nowMs())
    this.connections.set(key, connection)
    this.unproven.add(connection)
    this.check ??= this.timers.every(FIRST_MESSAGE_CHECK_MS, () => {
      // What waits in the sockets is read first: after a pause of the process, a timer fires before them.
      setImmediate(() => { setImmediate(() => { this.closeUnproven() }) })
    })
    processBudget.add(connection)
    socket.once('close', () => {
      this.connections.delete(key)
      this.unproven.delete(connection)
      processBudget.remove(connection)
    })
  }

  /** Records the messages of a stream as its handler reads them. */
  observe<T> (peer: string, source: AsyncIterator<T>): AsyncIterator<T> {
    const connection = this.connections.get(peer)
    if (connection === undefined) return source
    const recordFirst = (result: IteratorResult<T>): IteratorResult<T> => {
      if (result.done !== true) this.recordDelivered(connection)
      return result
    }
    return {
      next: async () => {
        if (!connection.hasDelivered) return recordFirst(await source.next())
        // The handler has taken the previous message.
        this.recordDelivered(connection)
        return await source.next()
      },
      return: async value => await (source.return?.(value) ?? { done: true, value })
    }
  }

  private recordDelivered (connection: LinkConnection): void {
    connection.recordDelivered()
    this.unproven.delete(connection)
  }

  private closeUnproven (): void {
    const nowMs = this.timers.nowMs()
    for (const connection of this.unproven) {
      if (connection.measuredBytes <= FIRST_MESSAGE_BYTES && nowMs - connection.acceptedAtMs <= FIRST_MESSAGE_MS) continue
      this.unproven.delete(connection)
      connection.drop()
    }
    if (this.unproven.size > 0) return
    this.check?.cancel()
    this.check = undefined
  }

  stop (): void {
    this.check?.cancel()
    this.check = undefined
  }
}

/** A gRPC server for bidirectional streams. */
export class LinkServer {
  private readonly server = new grpc.Server({ ...LINK_OPTIONS, 'grpc.max_concurrent_streams': MAX_STREAMS })
  private readonly listener = net.createServer({ noDelay: true })
  private readonly connections: LinkConnections

  constructor (private readonly listen: string, private readonly tls?: LinkTls, timers: settings.Timers = new settings.TimerService()) {
    this.connections = new LinkConnections(timers)
  }

  /** Registers the handler of one stream method. Call before `start`. */
  accept<QP, RP, Q, R> (name: string, method: protocol.StreamMethod<QP, RP, Q, R>, handler: LinkHandler<Q, RP>): void {
    const handle = (call: grpc.ServerDuplexStream<Q, RP>): void => {
      call.on('error', () => {})
      const stream = call as unknown as LinkStream<Q, RP>
      // Do not destroy the call when the handler stops iterating, so that it can still end with a status.
      stream[Symbol.asyncIterator] = () => this.connections.observe(call.getPeer(), call.iterator({ destroyOnReturn: false }) as AsyncIterator<Q>)
      handler(stream, call.getPeer()).catch(() => {}).finally(() => { call.end() })
    }
    this.server.addService({ [name]: method as unknown as grpc.MethodDefinition<unknown, unknown> }, { [name]: handle as unknown as grpc.UntypedHandleCall })
  }

  /** Starts listening and returns the bound address. Rejects with an `Unavailable` error if the address cannot be bound. */
  async start (): Promise<string> {
    const { host, port } = parseAddress(this.listen)
    const injector = this.server.createConnectionInjector(createServerCredentials(this.tls))
    this.listener.on('connection', (socket: net.Socket) => {
      socket.on('error', () => {})
      this.connections.add(socket)
      injector.injectConnection(socket)
    })
    await new Promise<void>((resolve, reject) => {
      this.listener.on('error', error => { reject(new protocol.StepError(protocol.ErrorCode.Unavailable, 'link.listen', this.listen, error.message)) })
      this.listener.listen(port, host, resolve)
    })
    return formatAddress(host, (this.listener.address() as net.AddressInfo).port)
  }

  /** Cancels all streams and stops listening. */
  stop (): void {
    this.connections.stop()
    this.listener.close()
    this.server.forceShutdown()
  }
}

/** A stream to a peer. `close` cancels the stream and closes its connection. */
export interface DialedLink<In, Out> {
  stream: LinkStream<In, Out>
  close: () => void
}

/** Opens a stream to a peer. Connection errors are thrown when the stream is read. */
export function dialLink<QP, RP, Q, R> (address: string, method: protocol.StreamMethod<QP, RP, Q, R>, tls?: LinkTls): DialedLink<R, QP> {
  const client = new grpc.Client(address, createChannelCredentials(tls), LINK_OPTIONS)
  const call = client.makeBidiStreamRequest<QP, R>(method.path, method.requestSerialize, method.responseDeserialize)
  call.on('error', () => {})
  return {
    stream: call as unknown as LinkStream<R, QP>,
    close: () => {
      call.cancel()
      client.close()
    }
  }
}
