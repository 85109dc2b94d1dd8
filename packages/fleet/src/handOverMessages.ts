/** Messages about jobs that are handed over. What another entry sent is used only within bounds. */
import type * as protocol from '@egretvalve/protocol'
import { MAX_BATCH_BYTES, MAX_CORES_LEFT, MAX_HANDED_ANSWER_BYTES, MAX_HANDED_BODY_BYTES, MAX_HANDED_RETRY_S, MAX_HANDED_TEXT_CHARS, MAX_HANDED_WAIT_MS, MAX_NAME_CHARS } from './defaults.ts'

const HANDED_METHOD = 'POST'
const MIN_STATUS = 200
const MAX_STATUS = 599

/** A caller's request that is handed over. */
export interface HandedRequest {
  path: string
  host: string
  /** Time for which the caller still waits, in milliseconds. */
  deadlineInMs: number
  /** Time since the caller opened its connection, in milliseconds. */
  waitedMs: number
  /** The body as it came, unparsed. */
  body: Buffer
}

/** The answer to a request that was handed over. */
export interface HandedAnswer {
  status: number
  retryAfterS: number | undefined
  contentType: string
  body: Buffer
}

/** What an entry has left for jobs of others. */
export interface ProcessorTimeLeft {
  coresLeft: number
  /** Time that requests wait within the entry before they are read, in milliseconds. */
  delayMs: number
}

/** Returns true if a number is between 0 and a bound. */
function isWithin (value: number, max: number): boolean {
  return value >= 0 && value <= max
}

/** Returns false for a request that the other entry would refuse to decode. */
export function isHandable ({ path, host, deadlineInMs, waitedMs, body }: HandedRequest): boolean {
  return path.length <= MAX_HANDED_TEXT_CHARS && host.length <= MAX_HANDED_TEXT_CHARS && deadlineInMs > 0 && isWithin(deadlineInMs, MAX_HANDED_WAIT_MS) && isWithin(waitedMs, MAX_HANDED_WAIT_MS) && body.length <= MAX_HANDED_BODY_BYTES
}

export function encodeRequest (number: number, request: HandedRequest): protocol.runs.IHandedOverRequest {
  return { number, method: HANDED_METHOD, ...request }
}

/** Decodes a request. Returns undefined for one that no entry hands over. */
export function decodeRequest ({ method, path, host, deadlineInMs, waitedMs, body }: protocol.runs.IHandedOverRequest): HandedRequest | undefined {
  const request = { path: path ?? '', host: host ?? '', deadlineInMs: deadlineInMs ?? 0, waitedMs: waitedMs ?? 0, body: toBuffer(body) }
  return method === HANDED_METHOD && isHandable(request) ? request : undefined
}

export function encodeAnswer (number: number, { status, retryAfterS, contentType, body }: HandedAnswer): protocol.runs.IHandedOverAnswer {
  return { number, status, retryAfterS: retryAfterS ?? 0, contentType, body }
}

/** Decodes an answer. Returns undefined for one that no entry gives to a caller. */
export function decodeAnswer ({ status, retryAfterS, contentType, body }: protocol.runs.IHandedOverAnswer): HandedAnswer | undefined {
  const answer = { status: status ?? 0, retryAfterS: retryAfterS === 0 || retryAfterS == null ? undefined : retryAfterS, contentType: contentType ?? '', body: toBuffer(body) }
  const isUsable = answer.status >= MIN_STATUS && answer.status <= MAX_STATUS && (answer.retryAfterS ?? 0) <= MAX_HANDED_RETRY_S && CONTENT_TYPE.test(answer.contentType) && answer.body.length <= MAX_HANDED_ANSWER_BYTES
  return isUsable ? answer : undefined
}

/** Characters that a header may hold. */
const CONTENT_TYPE = /^[\x20-\x7e]{1,200}$/

/** Decodes a report. An entry that reports what it can't have left counts as one with nothing left. */
export function decodeProcessorTime ({ coresLeft, delayMs }: protocol.runs.IProcessorTime): ProcessorTimeLeft {
  const left = { coresLeft: coresLeft ?? 0, delayMs: delayMs ?? 0 }
  return isWithin(left.coresLeft, MAX_CORES_LEFT) && isWithin(left.delayMs, MAX_HANDED_WAIT_MS) ? left : { coresLeft: 0, delayMs: 0 }
}

/** Returns true for a greeting that names an entry and its incarnation. */
export function isGreeting ({ entryId, life }: protocol.runs.IHandOverGreeting): boolean {
  return [entryId, life].every(text => text != null && text !== '' && text.length <= MAX_NAME_CHARS)
}

function toBuffer (bytes: Uint8Array | null | undefined): Buffer {
  return bytes == null ? Buffer.alloc(0) : Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength)
}

/** Collects what is sent in one turn of the event loop, so that it shares a message of bounded size. */
export class TurnBatch<T> {
  private items: T[] = []
  private bytes = 0

  constructor (private readonly send: (items: T[]) => void) {}

  add (item: T, bytes = 0): void {
    if (this.bytes > 0 && this.bytes + bytes > MAX_BATCH_BYTES) this.flush()
    this.items.push(item)
    this.bytes += bytes
    if (this.items.length === 1) setImmediate(() => { this.flush() })
  }

  private flush (): void {
    if (this.items.length === 0) return
    const { items } = this
    this.items = []
    this.bytes = 0
    this.send(items)
  }
}
