/** An HTTP server built on moleculer-web whose handlers take a request and return a response. */
import * as http from 'node:http'
import * as https from 'node:https'
import type * as net from 'node:net'
import type * as moleculer from 'moleculer'
import ApiService from 'moleculer-web'
import * as protocol from '@egretvalve/protocol'
import { formatAddress, parseAddress } from './addresses.ts'
import { readBody } from './body.ts'
import type { LinkTls } from './links.ts'
import { TlsSource } from './tlsSource.ts'

/** A request whose body has been read whole. */
export interface WebRequest {
  method: string
  path: string
  /** Path parameters, such as `team` in `/v1/jobs/:team`. */
  params: Readonly<Record<string, string>>
  query: URLSearchParams
  headers: http.IncomingHttpHeaders
  body: Buffer
  /** Aborts when the caller closes its connection before the response. */
  signal: AbortSignal
}

/** A response. Objects are the handler's to serialize. */
export interface WebResponse {
  status: number
  body: string | Buffer
  contentType?: string
  headers?: Readonly<Record<string, string>>
}

/** One route: method, path pattern and handler. */
export interface WebRoute {
  method: 'GET' | 'POST' | 'PUT' | 'DELETE'
  path: string
  handle: (request: WebRequest) => Promise<WebResponse>
}

/** Where and how a server listens. */
export interface WebServerOptions {
  broker: moleculer.ServiceBroker
  /** Service name within the broker. */
  name: string
  listen: string
  routes: readonly WebRoute[]
  maxBodyBytes: number
  /** Longest time for a request's head and body to arrive, in milliseconds. */
  requestTimeoutMs: number
  /** Key material; without it the server talks plain text. */
  tls?: LinkTls
}

/** Longest time between two looks for connections that are too slow, in milliseconds. */
const MAX_CHECK_PERIOD_MS = 1_000

type MoleculerRequest = http.IncomingMessage & { $params: Record<string, string> }

/** Creates a JSON response. */
export function jsonResponse (status: number, value: unknown, headers?: Readonly<Record<string, string>>): WebResponse {
  return { status, body: JSON.stringify(value), contentType: 'application/json', headers }
}

/** Creates a response of plain text. */
export function textResponse (status: number, text: string): WebResponse {
  return { status, body: text, contentType: 'text/plain; charset=utf-8' }
}

/** Creates an error response with a stable code. */
export function errorResponse (status: number, code: protocol.ErrorCode, message: string, field?: string): WebResponse {
  return jsonResponse(status, { error: { code, message, field } })
}

/** Limits that may change while a server runs. */
export interface WebLimits {
  maxBodyBytes: number
  /** Longest time for a request's head to arrive, in milliseconds. */
  headerTimeoutMs: number
  /** Time after which a connection without a request is closed, in milliseconds. */
  idleTimeoutMs: number
}

/** An HTTP server with graceful stop. */
export class WebServer {
  private closesAfterAnswers = false
  private maxBodyBytes: number
  private service: moleculer.Service | undefined
  private inProgress = 0
  private isStopping = false
  private onIdle: (() => void) | undefined

  constructor (private readonly options: WebServerOptions) {
    this.maxBodyBytes = options.maxBodyBytes
  }

  /** Asks callers to close their connections with each answer from now on. */
  closeAfterAnswers (): void {
    this.closesAfterAnswers = true
  }

  /** Puts other limits into force for the requests that follow. */
  setLimits (limits: WebLimits): void {
    this.maxBodyBytes = limits.maxBodyBytes
    if (this.service === undefined) return
    const server = this.server()
    server.headersTimeout = limits.headerTimeoutMs
    server.keepAliveTimeout = limits.idleTimeoutMs
  }

  /** Starts listening and returns the address. */
  async start (): Promise<string> {
    const { host, port } = parseAddress(this.options.listen)
    this.service = this.options.broker.createService(this.createSchema(host, port))
    const server = this.server()
    const listening = waitForListening(server, this.options.listen)
    // A broker that runs starts a new service by itself; one that starts must have done so before another server is added.
    const isRunning = (this.options.broker as unknown as { started: boolean }).started
    await (isRunning ? listening : Promise.all([listening, this.options.broker.start()]))
    const bound = server.address() as net.AddressInfo
    return formatAddress(host, bound.port)
  }

  /** Requests whose answer has not left the process. */
  get inProgressCount (): number {
    return this.inProgress
  }

  /** Waits until each request in progress has its whole answer, then closes. */
  async stop (): Promise<void> {
    if (this.service === undefined || this.isStopping) return
    this.isStopping = true
    const server = this.server()
    // Closing idle connections any sooner would cut answers that are written but not yet read.
    if (this.inProgress > 0) await new Promise<void>(resolve => { this.onIdle = resolve })
    server.close()
    server.closeAllConnections()
    await this.options.broker.destroyService(this.service)
  }

  private server (): http.Server {
    return (this.service as unknown as { server: http.Server }).server
  }

  private createSchema (host: string, port: number): moleculer.ServiceSchema {
    const aliases: Record<string, (request: MoleculerRequest, response: http.ServerResponse) => void> = {}
    for (const route of this.options.routes) {
      aliases[`${route.method} ${route.path}`] = (request, response) => { this.serve(route, request, response) }
    }
    const { requestTimeoutMs, tls } = this.options
    return {
      name: this.options.name,
      mixins: [ApiService as unknown as moleculer.ServiceSchema],
      settings: {
        ip: host,
        port,
        path: '/',
        routes: [{ path: '/', bodyParsers: false, aliases, mappingPolicy: 'restrict', mergeParams: false, onError: refuseUnknownRoute }]
      },
      methods: {
        createServer (this: HttpService) {
          this.server ??= createHttpServer(this.httpHandler, requestTimeoutMs, tls)
        }
      }
    } as unknown as moleculer.ServiceSchema
  }

  private async serve (route: WebRoute, request: MoleculerRequest, response: http.ServerResponse): Promise<void> {
    this.inProgress++
    try {
      const answer = await this.answer(route, request, response)
      writeResponse(response, answer, this.isStopping || this.closesAfterAnswers)
      await waitForClose(response)
    } finally {
      this.inProgress--
      if (this.inProgress === 0) this.onIdle?.()
    }
  }

  private async answer (route: WebRoute, request: MoleculerRequest, response: http.ServerResponse): Promise<WebResponse> {
    const abort = new AbortController()
    response.once('close', () => { if (!response.writableEnded) abort.abort() })
    const body = await readBody(request, this.maxBodyBytes)
    if (body.err) return errorResponse(413, protocol.ErrorCode.InvalidInput, body.val.message, 'body')
    const target = new URL(request.url ?? '/', 'http://local')
    try {
      return await route.handle({
        method: route.method,
        path: target.pathname,
        params: resolvePathParams(request),
        query: target.searchParams,
        headers: request.headers,
        body: body.val,
        signal: abort.signal
      })
    } catch (thrown) {
      const error = protocol.toStepError(thrown, `${route.method} ${route.path}`, 'local')
      return errorResponse(500, error.code, error.describe())
    }
  }
}

/** What the server's service holds. */
interface HttpService {
  server: http.Server | undefined
  httpHandler: http.RequestListener
}

/** Creates a server that closes a connection whose request does not arrive in time. */
function createHttpServer (handler: http.RequestListener, requestTimeoutMs: number, tls: WebServerOptions['tls']): http.Server {
  const options = {
    requestTimeout: requestTimeoutMs,
    headersTimeout: requestTimeoutMs,
    connectionsCheckingInterval: Math.min(requestTimeoutMs, MAX_CHECK_PERIOD_MS)
  }
  if (tls === undefined) return http.createServer(options, handler)
  const server = https.createServer({ ...options, key: tls.key, cert: tls.cert }, handler)
  if (tls instanceof TlsSource) tls.subscribe(() => { server.setSecureContext({ key: tls.key, cert: tls.cert }) })
  return server
}

/** Waits until the server listens; a refused address is an error that names it. */
async function waitForListening (server: http.Server, listen: string): Promise<void> {
  if (server.listening) return
  await new Promise<void>((resolve, reject) => {
    server.once('listening', resolve)
    server.once('error', thrown => {
      reject(new protocol.StepError(protocol.ErrorCode.Unavailable, 'http.listen', listen, `${thrown.message}; choose another address or stop the program that uses it`))
    })
  })
}

function resolvePathParams (request: MoleculerRequest): Record<string, string> {
  const params = (request.$params as unknown as { params?: Record<string, string> }).params
  return params ?? {}
}

function refuseUnknownRoute (request: http.IncomingMessage, response: http.ServerResponse): void {
  writeResponse(response, errorResponse(404, protocol.ErrorCode.NotFound, `no route for ${request.method} ${request.url}`), true)
}

/** A response is in progress until its last byte has been handed to the connection, or the connection is gone. */
async function waitForClose (response: http.ServerResponse): Promise<void> {
  if (response.closed) return
  await new Promise<void>(resolve => { response.once('close', resolve) })
}

function writeResponse (response: http.ServerResponse, answer: WebResponse, closeAfter: boolean): void {
  if (response.destroyed || response.headersSent) return
  const headers: Record<string, string | number> = {
    'content-type': answer.contentType ?? 'application/json',
    'content-length': Buffer.byteLength(answer.body),
    ...answer.headers
  }
  if (closeAfter) headers.connection = 'close'
  response.writeHead(answer.status, headers)
  response.end(answer.body)
}
