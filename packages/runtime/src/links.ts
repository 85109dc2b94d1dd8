/** gRPC servers and clients for the streams between egretvalve processes. */
import * as grpc from '@grpc/grpc-js'
import * as protocol from '@egretvalve/protocol'
import { TlsSource } from './tlsSource.ts'
import { formatAddress, parseAddress } from './addresses.ts'

/** PEM key material for mutual TLS on links. Links without it are plain text. */
export interface LinkTls {
  key: Buffer
  cert: Buffer
  ca: Buffer
}

const MAX_MESSAGE_BYTES = 64 * 1024 * 1024
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

/** A gRPC server for bidirectional streams. */
export class LinkServer {
  private readonly server = new grpc.Server(LINK_OPTIONS)

  constructor (private readonly listen: string, private readonly tls?: LinkTls) {}

  /** Registers the handler of one stream method. Call before `start`. */
  accept<QP, RP, Q, R> (name: string, method: protocol.StreamMethod<QP, RP, Q, R>, handler: LinkHandler<Q, RP>): void {
    const handle = (call: grpc.ServerDuplexStream<Q, RP>): void => {
      call.on('error', () => {})
      const stream = call as unknown as LinkStream<Q, RP>
      // Do not destroy the call when the handler stops iterating, so that it can still end with a status.
      stream[Symbol.asyncIterator] = () => call.iterator({ destroyOnReturn: false }) as AsyncIterator<Q>
      handler(stream, call.getPeer()).catch(() => {}).finally(() => { call.end() })
    }
    this.server.addService({ [name]: method as unknown as grpc.MethodDefinition<unknown, unknown> }, { [name]: handle as unknown as grpc.UntypedHandleCall })
  }

  /** Starts listening and returns the bound address. Rejects with an `Unavailable` error if the address cannot be bound. */
  async start (): Promise<string> {
    const port = await new Promise<number>((resolve, reject) => {
      this.server.bindAsync(this.listen, createServerCredentials(this.tls), (error, boundPort) => {
        if (error === null) resolve(boundPort)
        else reject(new protocol.StepError(protocol.ErrorCode.Unavailable, 'link.listen', this.listen, error.message))
      })
    })
    return formatAddress(parseAddress(this.listen).host, port)
  }

  /** Cancels all streams and stops listening. */
  stop (): void {
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
