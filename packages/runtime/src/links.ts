/** gRPC servers and channels between egretvalve's own processes. */
import * as grpc from '@grpc/grpc-js'
import * as protocol from '@egretvalve/protocol'
import { TlsSource } from './tlsSource.ts'
import { formatAddress, parseAddress } from './addresses.ts'

/** Key material for links; without it links are plain text. */
export interface LinkTls {
  key: Buffer
  cert: Buffer
  ca: Buffer
}

/** Largest message on a link in bytes. */
const MAX_MESSAGE_BYTES = 64 * 1024 * 1024
/** A connection without traffic for this long is probed, so that a silent peer is noticed. */
const KEEPALIVE_PERIOD_MS = 30_000
const KEEPALIVE_TIMEOUT_MS = 5_000

/** Channel options of both sides. Connections are not shared between clients of one process. */
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

/** A bidirectional stream, as seen from either side. */
export interface LinkStream<In, Out> extends AsyncIterable<In> {
  write: (message: Out) => boolean
  once: (event: 'drain' | 'close', listener: () => void) => unknown
  on: (event: 'error', listener: (error: Error) => void) => unknown
  end: () => unknown
  destroy: (error?: Error) => unknown
}

/** Handles one accepted stream until it ends. */
export type LinkHandler<In, Out> = (stream: LinkStream<In, Out>, peer: string) => Promise<void>

/** Credentials of a server. */
function createServerCredentials (tls: LinkTls | undefined): grpc.ServerCredentials {
  if (tls === undefined) return grpc.ServerCredentials.createInsecure()
  if (tls instanceof TlsSource) return grpc.experimental.createCertificateProviderServerCredentials(tls, tls, true)
  return grpc.ServerCredentials.createSsl(tls.ca, [{ private_key: tls.key, cert_chain: tls.cert }], true)
}

/** Credentials of a client, from the material that is current when it dials. */
function createChannelCredentials (tls: LinkTls | undefined): grpc.ChannelCredentials {
  if (tls === undefined) return grpc.credentials.createInsecure()
  return grpc.credentials.createSsl(tls.ca, tls.key, tls.cert)
}

/** A gRPC server that accepts streams of several kinds. */
export class LinkServer {
  private readonly server = new grpc.Server(LINK_OPTIONS)

  constructor (private readonly listen: string, private readonly tls?: LinkTls) {}

  /** Accepts streams of one kind; call before `start`. */
  accept<QP, RP, Q, R> (name: string, method: protocol.StreamMethod<QP, RP, Q, R>, handler: LinkHandler<Q, RP>): void {
    const handle = (call: grpc.ServerDuplexStream<Q, RP>): void => {
      call.on('error', () => {})
      const stream = call as unknown as LinkStream<Q, RP>
      // A handler that stops reading must still be able to end the call with a status.
      stream[Symbol.asyncIterator] = () => call.iterator({ destroyOnReturn: false }) as AsyncIterator<Q>
      handler(stream, call.getPeer()).catch(() => {}).finally(() => { call.end() })
    }
    this.server.addService({ [name]: method as unknown as grpc.MethodDefinition<unknown, unknown> }, { [name]: handle as unknown as grpc.UntypedHandleCall })
  }

  /** Starts listening and returns the address. */
  async start (): Promise<string> {
    const port = await new Promise<number>((resolve, reject) => {
      this.server.bindAsync(this.listen, createServerCredentials(this.tls), (error, boundPort) => {
        if (error === null) resolve(boundPort)
        else reject(new protocol.StepError(protocol.ErrorCode.Unavailable, 'link.listen', this.listen, error.message))
      })
    })
    return formatAddress(parseAddress(this.listen).host, port)
  }

  /** Ends all streams and stops listening. */
  stop (): void {
    this.server.forceShutdown()
  }
}

/** An open stream to a peer with the means to close its connection. */
export interface DialedLink<In, Out> {
  stream: LinkStream<In, Out>
  close: () => void
}

/** Opens a stream to a peer. Connection errors surface when the stream is read. */
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
