/** Reads the structured log lines of entries and agents. */

/** A log line. Fields other than these are in `fields`. */
export interface LogRecord {
  /** Wall-clock time at which the line was written, in Unix milliseconds. */
  atMs: number
  /** Code of the event. */
  event: number
  nodeId: string
  fields: Readonly<Record<string, unknown>>
}

/**
 * Parses a line. Text before the JSON object is skipped, as collectors often prefix a time and a host. Returns undefined for a line
 * that is no event.
 */
export function parseLogLine (line: string): LogRecord | undefined {
  const start = line.indexOf('{')
  if (start < 0) return undefined
  let fields: Record<string, unknown>
  try {
    fields = JSON.parse(line.slice(start))
  } catch {
    return undefined
  }
  const { event, nodeId, timestamp } = fields
  const atMs = typeof timestamp === 'string' ? Date.parse(timestamp) : Number.NaN
  if (typeof event !== 'number' || typeof nodeId !== 'string' || Number.isNaN(atMs)) return undefined
  return { atMs, event, nodeId, fields }
}

/** Returns a text field, or an empty text. */
export function readText ({ fields }: LogRecord, name: string): string {
  const value = fields[name]
  return typeof value === 'string' ? value : ''
}

/** Returns a number field, or 0. */
export function readNumber ({ fields }: LogRecord, name: string): number {
  const value = fields[name]
  return typeof value === 'number' ? value : 0
}
