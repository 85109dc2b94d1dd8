/** HTTP server on top of moleculer-web, with handlers that map a request to a response. */
import * as http from 'node:http'
import * as https from 'node:https'
import type * as net from 'node:net'
import type * as moleculer from 'moleculer'
import ApiService from 'moleculer-web'
import * as protocol from '@egretvalve/protocol'
import type * as results from 'ts-results'
import type * as settings from '@egretvalve/settings'
import type { AcceptDelay } from './acceptDelay.ts'
import { formatAddress, parseAddress } from './addresses.ts'
import { readBody } from './body.ts'
import { type CutCounts, ServerConnections } from './connections.ts'
import type { LinkTls } from './links.ts'
import { DropCause, processBudget, type RequestBudget } from './requestBudget.ts'
import { TlsSource } from './tlsSource.ts'

/** A request with its complete body. */
export interface WebRequest {
  method: string
  path: string
  /** Path parameters, such as `team` in `/v1/jobs/:team`. */
  params: Readonly<Record<string, string>>
  query: URLSearchParams
  headers: http.IncomingHttpHeaders
  body: Buffer
  /** Aborts if the caller closes its connection, or its half of it, before the response has been written. */
  signal: AbortSignal
  /** Time for which the request waited for its connection to be accepted, in milliseconds; 0 for later requests of a connection. */
  waitedMs: number
}

/** A response. Handlers serialize objects themselves. */
export interface WebResponse {
  status: number
  body: string | Buffer
  contentType?: string
  headers?: Readonly<Record<string, string>>
}

export interface WebRoute {
  method: 'GET' | 'POST' | 'PUT' | 'DELETE'
  path: string
  handle: (request: WebRequest) => Promise<WebResponse>
}

/** Handles a request in place of a route. */
export type ScreenedHandler = (request: WebRequest) => Promise<WebResponse | undefined>

export interface WebServerOptions {
  broker: moleculer.ServiceBroker
  timers: settings.Timers
  /** Service name within the broker. */
  name: string
  listen: string
  routes: readonly WebRoute[]
  maxBodyBytes: number
  /** Time limit for receiving the headers and body of a request, in milliseconds. */
  requestTimeoutMs: number
  /** Key material; plain text without it. */
  tls?: LinkTls
  /** Measures how long connections wait to be accepted. */
  acceptDelay?: AcceptDelay
  /**
   * Called with each request before its body is read, and its `waitedMs`. A response answers the request without its body being kept, at a
   * fraction of the cost of a route. A function gets the request with its body in place of a route; undefined from it closes the connection without an answer.
   */
  screen?: (request: http.IncomingMessage, waitedMs: number) => WebResponse | ScreenedHandler | undefined
  /** Returns true if the connection of a request that is answered now should be closed after it. */
  closesConnection?: () => boolean
  /** Returns whether a request that is dropped before it has been read completely may be answered as not run; true by default. Without an answer the connection is closed. */
  mayRefuse?: (request: http.IncomingMessage) => boolean
  /** Limits unfinished requests and connections; that of the process by default. */
  budget?: RequestBudget
}

/** Longest interval between checks for connections that exceed the request time limit. */
const MAX_TIMEOUT_CHECK_PERIOD_MS = 1_000
/** Period of the check whether a stop only waits for requests of which a part has been received, in milliseconds. */
const PARTIAL_REQUEST_CHECK_MS = 500

/** A request; `$params` is missing unless moleculer-web has matched it to a route. */
type MoleculerRequest = http.IncomingMessage & { $params?: Record<string, string> }

/** What handles a request: a route, or a function that screening chose. */
type RequestHandling = Pick<WebRoute, 'method' | 'path'> & { handle: ScreenedHandler }

export function jsonResponse (status: number, value: unknown, headers?: Readonly<Record<string, string>>): WebResponse {
  return { status, body: JSON.stringify(value), contentType: 'application/json', headers }
}

export function textResponse (status: number, text: string): WebResponse {
  return { status, body: text, contentType: 'text/plain; charset=utf-8' }
}

/** Creates a JSON error response. `field` is the path of the request field at fault. */
export function errorResponse (status: number, code: protocol.ErrorCode, message: string, field?: string): WebResponse {
  return jsonResponse(status, { error: { code, message, field } })
}

/** Limits that can change while a server is running. */
export interface WebLimits {
  maxBodyBytes: number
  /** Time limit for receiving the headers of a request, in milliseconds. */
  headerTimeoutMs: number
  /** Time after which an idle connection is closed, in milliseconds. */
  idleTimeoutMs: number
}

/** An HTTP server that stops gracefully. */
export class WebServer {
  private maxBodyBytes: number
  private service: moleculer.Service | undefined
  private connections: ServerConnections | undefined
  private isStopping = false
  /** Time that each connection waited to be accepted, in milliseconds, until its first request. */
  private readonly acceptDelaysMs = new WeakMap<net.Socket, number>()
  /** Bodies of the requests that are being routed. */
  private readonly bodies = new WeakMap<http.IncomingMessage, Promise<results.Result<Buffer, protocol.StepError>>>()

  constructor (private readonly options: WebServerOptions) {
    this.maxBodyBytes = options.maxBodyBytes
  }

  /** Applies new limits to subsequent requests. */
  setLimits (limits: WebLimits): void {
    this.maxBodyBytes = limits.maxBodyBytes
    if (this.service === undefined) return
    const server = this.server()
    server.headersTimeout = limits.headerTimeoutMs
    server.keepAliveTimeout = limits.idleTimeoutMs
  }

  /** Starts listening and returns the bound address. Rejects with an `Unavailable` error if the address cannot be bound. */
  async start (): Promise<string> {
    const { host, port } = parseAddress(this.options.listen)
    this.service = this.options.broker.createService(this.createSchema(host, port))
    const server = this.server()
    this.connections = new ServerConnections(server, this.options.timers, this.options.budget ?? processBudget, (request, response, cause) => { this.dropRequest(request, response, cause) })
    const listening = waitForListening(server, this.options.listen)
    // A running broker starts a new service itself. Otherwise wait for its start, which must complete before another server is added.
    const isRunning = (this.options.broker as unknown as { started: boolean }).started
    await (isRunning ? listening : Promise.all([listening, this.options.broker.start()]))
    const bound = server.address() as net.AddressInfo
    return formatAddress(host, bound.port)
  }

  /** Number of requests whose response has not been handed to the connection completely. */
  get inProgressCount (): number {
    return this.connections?.unansweredCount ?? 0
  }

  /** Number of requests answered since the start. */
  get answeredCount (): number {
    return this.connections?.answeredCount ?? 0
  }

  /** Number of open connections. */
  get connectionCount (): number {
    return this.connections?.count ?? 0
  }

  /**
   * Closes the listener, and each connection once all requests on it have been answered. Resolves with what was cut. When the signal aborts,
   * the remaining connections are cut; without a signal those with a half-received request are, once there are no others.
   */
  async stop (signal?: AbortSignal): Promise<CutCounts> {
    if (this.connections === undefined || this.isStopping) return { requestsCut: 0, connectionsCut: 0 }
    this.isStopping = true
    const partial = new AbortController()
    const check = this.options.timers.every(PARTIAL_REQUEST_CHECK_MS, () => { if (this.inProgressCount === 0) partial.abort() })
    const counts = await this.connections.close(signal ?? partial.signal)
    check.cancel()
    await this.options.broker.destroyService(this.service!)
    return counts
  }

  /** True if the connection of a request that is answered now is closed after it. */
  private get closesConnection (): boolean {
    return this.connections!.closesAfterResponses || this.options.closesConnection?.() === true
  }

  private server (): http.Server {
    return (this.service as unknown as { server: http.Server }).server
  }

  private createSchema (host: string, port: number): moleculer.ServiceSchema {
    const aliases: Record<string, (request: MoleculerRequest, response: http.ServerResponse) => void> = {}
    for (const route of [...this.options.routes].sort(compareRoutes)) {
      aliases[`${route.method} ${route.path}`] = (request, response) => { this.serve(route, request, response) }
    }
    const { requestTimeoutMs, tls, acceptDelay } = this.options
    const recordAccepted = (socket: net.Socket): void => {
      if (acceptDelay !== undefined && !acceptDelay.handleAccepted(socket)) this.acceptDelaysMs.set(socket, acceptDelay.leastWaitMs)
    }
    const screened = (handle: http.RequestListener): http.RequestListener => (request, response) => {
      const answer = this.options.screen?.(request, this.acceptDelaysMs.get(request.socket) ?? 0)
      if (answer === undefined) {
        // Routing takes some turns of the event loop. What comes meanwhile would stay in the request's own buffer, uncounted.
        this.bodies.set(request, this.readBody(request))
        handle(request, response)
        return
      }
      if (typeof answer === 'function') {
        this.serve({ method: request.method as WebRoute['method'], path: request.url ?? '', handle: answer }, request, response)
        return
      }
      this.acceptDelaysMs.delete(request.socket)
      // The connection is idle, and safe to close, only once the whole request has been read.
      request.once('end', () => { writeResponse(response, answer, this.closesConnection) })
      request.resume()
    }
    return {
      name: this.options.name,
      mixins: [ApiService as unknown as moleculer.ServiceSchema],
      settings: {
        ip: host,
        port,
        path: '/',
        // moleculer-web would sort the routes itself, with a comparison by language whose tables take milliseconds to load.
        optimizeOrder: false,
        routes: [{ path: '/', bodyParsers: false, aliases, mappingPolicy: 'restrict', mergeParams: false, onError: refuseUnknownRoute }]
      },
      methods: {
        createServer (this: HttpService) {
          this.server ??= createHttpServer(screened(this.httpHandler), requestTimeoutMs, tls).on('connection', recordAccepted)
        }
      }
    } as unknown as moleculer.ServiceSchema
  }

  private dropRequest (request: http.IncomingMessage, response: http.ServerResponse, cause: DropCause): void {
    if (response.headersSent || this.options.mayRefuse?.(request) === false) request.socket.destroy()
    else writeResponse(response, createDropResponse(cause), true)
  }

  private async serve (route: RequestHandling, request: MoleculerRequest, response: http.ServerResponse): Promise<void> {
    const answer = await this.answer(route, request, response)
    if (answer === undefined) response.destroy()
    else writeResponse(response, answer, this.closesConnection)
  }

  private async readBody (request: http.IncomingMessage): Promise<results.Result<Buffer, protocol.StepError>> {
    return await readBody(request, this.maxBodyBytes, bytes => { this.connections!.countHeld(request, bytes) })
  }

  private async answer (route: RequestHandling, request: MoleculerRequest, response: http.ServerResponse): Promise<WebResponse | undefined> {
    const waitedMs = this.acceptDelaysMs.get(request.socket) ?? 0
    this.acceptDelaysMs.delete(request.socket)
    const body = await (this.bodies.get(request) ?? this.readBody(request))
    if (body.err) return errorResponse(413, protocol.ErrorCode.InvalidInput, body.val.message, 'body')
    try {
      return await route.handle(createWebRequest(route.method, request, response, body.val, waitedMs))
    } catch (thrown) {
      const error = protocol.toStepError(thrown, `${route.method} ${route.path}`, 'local')
      return errorResponse(500, error.code, error.describe())
    }
  }
}

function createDropResponse (cause: DropCause): WebResponse {
  if (cause === DropCause.Stalled) return errorResponse(408, protocol.ErrorCode.InvalidInput, 'not run: the request did not arrive in time')
  return jsonResponse(503, { error: { code: protocol.ErrorCode.Unavailable, message: 'not run: too many unfinished requests' } }, { 'retry-after': '1' })
}

/** A request target without anything that the parser of URLs would resolve or decode. */
const PLAIN_TARGET = /^(?:\/[\w~-]+)+$/

/** Creates a request as handlers see it. What few of them ask for is created when it is asked for; a copy by spreading holds all of it. */
function createWebRequest (method: string, request: MoleculerRequest, response: http.ServerResponse, body: Buffer, waitedMs: number): WebRequest {
  let target: URL | undefined
  let abort: AbortController | undefined
  const parseTarget = (): URL => (target ??= new URL(request.url ?? '/', 'http://local'))
  return {
    method,
    body,
    waitedMs,
    params: resolvePathParams(request),
    headers: request.headers,
    get path () {
      const { url } = request
      return url !== undefined && PLAIN_TARGET.test(url) ? url : parseTarget().pathname
    },
    get query () {
      return parseTarget().searchParams
    },
    get signal () {
      abort ??= createDisconnectSignal(request, response)
      return abort.signal
    }
  }
}

function hasCallerLeft ({ socket }: MoleculerRequest, response: http.ServerResponse): boolean {
  return response.closed || socket.destroyed || socket.readableEnded
}

/** Creates a controller that aborts if the caller closes the connection, or its half of it, before the response has been written. */
function createDisconnectSignal (request: MoleculerRequest, response: http.ServerResponse): AbortController {
  const abort = new AbortController()
  const handleLeft = (): void => { if (!response.writableEnded) abort.abort() }
  if (hasCallerLeft(request, response)) {
    handleLeft()
    return abort
  }
  // The response closes only some turns of the event loop after the caller's end has been read.
  request.socket.once('end', handleLeft)
  response.once('close', () => {
    request.socket.removeListener('end', handleLeft)
    handleLeft()
  })
  return abort
}

/** Orders routes by which is tried first: longer paths, then those with fewer parameters. */
function compareRoutes (left: WebRoute, right: WebRoute): number {
  return right.path.split('/').length - left.path.split('/').length || left.path.split(':').length - right.path.split(':').length || (left.path < right.path ? -1 : 1)
}

/** Members of the moleculer-web service that are used here. */
interface HttpService {
  server: http.Server | undefined
  httpHandler: http.RequestListener
}

/** Creates a server that closes a connection if a request is not received within the time limit. */
function createHttpServer (handler: http.RequestListener, requestTimeoutMs: number, tls: WebServerOptions['tls']): http.Server {
  const options = {
    requestTimeout: requestTimeoutMs,
    headersTimeout: requestTimeoutMs,
    connectionsCheckingInterval: Math.min(requestTimeoutMs, MAX_TIMEOUT_CHECK_PERIOD_MS)
  }
  if (tls === undefined) return http.createServer(options, handler)
  const server = https.createServer({ ...options, handshakeTimeout: requestTimeoutMs, key: tls.key, cert: tls.cert }, handler)
  if (tls instanceof TlsSource) tls.subscribe(() => { server.setSecureContext({ key: tls.key, cert: tls.cert }) })
  return server
}

/** Waits until the server is listening. Rejects with an error that names the address if it cannot be bound. */
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
  const params = (request.$params as unknown as { params?: Record<string, string> } | undefined)?.params
  return params ?? {}
}

function refuseUnknownRoute (request: http.IncomingMessage, response: http.ServerResponse): void {
  writeResponse(response, errorResponse(404, protocol.ErrorCode.NotFound, `no route for ${request.method} ${request.url}`), true)
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
