/** Structured logs: one JSON line for each numbered event. */
import * as winston from 'winston'
import { LineBuffer } from './lineBuffer.ts'

/** How severe an event is. */
export enum LogLevel {
  Error = 'error',
  Warn = 'warn',
  Info = 'info',
  Debug = 'debug'
}

/** A numbered event. `docs/EVENTS.md` lists all of them. */
export interface LogEvent {
  code: number
  level: LogLevel
  message: string
}

/** Fields of one event. Field names carry their unit as a suffix. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>

/** Writes events. */
export interface Log {
  event: (event: LogEvent, fields?: LogFields) => void
  /** Flushes what has been written. */
  close: () => Promise<void>
}

/** Where a log goes and how much of it. */
export interface LogOptions {
  /** Takes the lines; standard error when there is none. */
  stream?: NodeJS.WritableStream
  /** Most lines in a second. What exceeds them is dropped, and its count is logged with the next line that is not. */
  maxLinesPerS?: number
}

/** Logged with the count of the lines that were dropped. */
const DROPPED: LogEvent = { code: 14001, level: LogLevel.Warn, message: 'log lines were dropped' }
const SECOND_MS = 1_000
/** Where winston's transports look for the finished line. */
const LINE_FIELD = Symbol.for('message')

/** Counts lines and drops those beyond the rate. */
class LineBudget {
  private secondStartedAtMs = 0
  private lines = 0
  private dropped = 0

  constructor (private readonly maxLinesPerS: number) {}

  /** Returns whether a line may be written. */
  take (): boolean {
    const nowMs = performance.now()
    if (nowMs - this.secondStartedAtMs >= SECOND_MS) {
      this.secondStartedAtMs = nowMs
      this.lines = 0
    }
    if (++this.lines <= this.maxLinesPerS) return true
    this.dropped++
    return false
  }

  /** Returns the lines dropped since the last call. */
  takeDropped (): number {
    const { dropped } = this
    this.dropped = 0
    return dropped
  }
}

/** Writes an event as JSON as it is. Fields are flat, so the costlier safe serializer has nothing to guard against. */
const jsonLine = winston.format(info => {
  info[LINE_FIELD] = JSON.stringify({ timestamp: new Date().toISOString(), ...info })
  return info
})

/** Creates a log that writes JSON lines. */
export function createLog (program: string, nodeId: string, level: LogLevel, options: LogOptions = {}): Log {
  const buffer = options.stream === undefined ? undefined : new LineBuffer(options.stream)
  const logger = winston.createLogger({
    level,
    format: jsonLine(),
    defaultMeta: { program, nodeId },
    transports: [options.stream === undefined ? new winston.transports.Console({ stderrLevels: Object.values(LogLevel) }) : new winston.transports.Stream({ stream: buffer! })]
  })
  const budget = new LineBudget(options.maxLinesPerS ?? Number.POSITIVE_INFINITY)
  const write = (event: LogEvent, fields?: LogFields): void => { logger.log({ level: event.level, message: event.message, event: event.code, ...fields }) }
  return {
    event: (event, fields) => {
      // winston formats an event before its transports drop it, so drop it here.
      if (!logger.isLevelEnabled(event.level) || !budget.take()) return
      const lines = budget.takeDropped() + takeUnread(buffer)
      if (lines > 0) write(DROPPED, { lines })
      write(event, fields)
    },
    close: async () => {
      logger.end()
      buffer?.flush()
    }
  }
}

/** Returns the lines that a slow reader lost since the last call. */
function takeUnread (buffer: LineBuffer | undefined): number {
  if (buffer === undefined) return 0
  const { droppedCount } = buffer
  buffer.droppedCount = 0
  return droppedCount
}

/** Creates a log that discards everything, for tests and embedded use. */
export function createSilentLog (): Log {
  return { event: () => {}, close: async () => {} }
}

/** Declares the events of one package, keeping their names as keys. */
export function defineEvents<T extends Record<string, LogEvent>> (events: T): T {
  return events
}
