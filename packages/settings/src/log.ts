/** Structured log: one JSON line per numbered event. */
import * as winston from 'winston'
import { LineBudget } from './lineBudget.ts'
import { LineBuffer } from './lineBuffer.ts'

/** Severity of an event. */
export enum LogLevel {
  Error = 'error',
  Warn = 'warn',
  Info = 'info',
  Debug = 'debug'
}

/** A numbered event. All events are listed in `docs/EVENTS.md`. */
export interface LogEvent {
  code: number
  level: LogLevel
  message: string
}

/** Fields of an event. Names carry their unit as a suffix. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>

export interface Log {
  event: (event: LogEvent, fields?: LogFields) => void
  /** Flushes buffered lines and closes the log. */
  close: () => Promise<void>
}

export interface LogOptions {
  /** Destination of the lines; standard error by default. */
  stream?: NodeJS.WritableStream
  /** Lines per second above which events are dropped, those below a warning sampled by job; unlimited by default. The number of dropped lines is logged before the next line written. */
  maxLinesPerS?: number
}

const LINES_DROPPED_EVENT: LogEvent = { code: 14001, level: LogLevel.Warn, message: 'log lines were dropped' }
/** Key under which winston's transports expect the formatted line. */
const LINE_FIELD = Symbol.for('message')

/** Formats an event with plain `JSON.stringify`. Fields are flat, so winston's costlier safe serializer is not needed. */
const jsonLine = winston.format(info => {
  info[LINE_FIELD] = JSON.stringify(info)
  return info
})

export function createLog (program: string, nodeId: string, level: LogLevel, options: LogOptions = {}): Log {
  const buffer = options.stream === undefined ? undefined : new LineBuffer(options.stream)
  const format = jsonLine()
  const logger = winston.createLogger({
    level,
    format,
    transports: buffer === undefined ? [new winston.transports.Console({ stderrLevels: Object.values(LogLevel) })] : []
  })
  const enabledLevels = new Set(Object.values(LogLevel).filter(each => logger.levels[each]! <= logger.levels[level]!))
  const budget = new LineBudget(options.maxLinesPerS ?? Number.POSITIVE_INFINITY, () => performance.now())
  const write = (event: LogEvent, fields?: LogFields): void => {
    const info = { timestamp: new Date().toISOString(), level: event.level, message: event.message, event: event.code, ...fields, program, nodeId }
    // Lines for a buffer skip the three streams that a winston logger passes each event through: they cost more than the formatting.
    if (buffer === undefined) logger.log(info)
    else buffer.append(`${String((format.transform(info) as winston.Logform.TransformableInfo)[LINE_FIELD])}\n`)
  }
  return {
    event: (event, fields) => {
      // winston formats an event before its transports filter it by level, so filter here.
      if (!enabledLevels.has(event.level) || !budget.tryAcquire(isSampled(event) ? readJobId(fields) : undefined)) return
      const lines = budget.consumeDroppedCount() + consumeBufferDroppedCount(buffer)
      if (lines > 0) write(LINES_DROPPED_EVENT, { lines })
      write(event, fields)
    },
    close: async () => {
      logger.end()
      buffer?.flush()
    }
  }
}

/** Returns false for warnings and errors: they are written beside jobs that are left out, as they tell what went wrong with one. */
function isSampled ({ level }: LogEvent): boolean {
  return level !== LogLevel.Warn && level !== LogLevel.Error
}

function readJobId (fields: LogFields | undefined): string | undefined {
  const jobId = fields?.jobId
  return typeof jobId === 'string' ? jobId : undefined
}

/** Returns the number of lines dropped because of a slow reader since the last call. */
function consumeBufferDroppedCount (buffer: LineBuffer | undefined): number {
  if (buffer === undefined) return 0
  const { droppedCount } = buffer
  buffer.droppedCount = 0
  return droppedCount
}

/** Creates a log that discards all events, for tests and embedded use. */
export function createSilentLog (): Log {
  return { event: () => {}, close: async () => {} }
}

/** Declares the events of one package and preserves the type of their keys. */
export function defineEvents<T extends Record<string, LogEvent>> (events: T): T {
  return events
}
