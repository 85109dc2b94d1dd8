/** Structured logs: one JSON line for each numbered event. */
import * as winston from 'winston'

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

/** Creates a log that writes JSON lines to standard error. */
export function createLog (program: string, nodeId: string, level: LogLevel): Log {
  const logger = winston.createLogger({
    level,
    format: winston.format.combine(winston.format.timestamp(), winston.format.json()),
    defaultMeta: { program, nodeId },
    transports: [new winston.transports.Console({ stderrLevels: Object.values(LogLevel) })]
  })
  return {
    event: (event, fields) => {
      // winston formats an event before its transports drop it, so drop it here.
      if (logger.isLevelEnabled(event.level)) logger.log({ level: event.level, message: event.message, event: event.code, ...fields })
    },
    close: async () => { logger.end() }
  }
}

/** Creates a log that discards everything, for tests and embedded use. */
export function createSilentLog (): Log {
  return { event: () => {}, close: async () => {} }
}

/** Declares the events of one package, keeping their names as keys. */
export function defineEvents<T extends Record<string, LogEvent>> (events: T): T {
  return events
}
