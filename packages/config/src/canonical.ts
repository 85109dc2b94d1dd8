/** Canonical JSON and digests. */
import { createHash } from 'node:crypto'

/** Formats a value as JSON with sorted keys, so that equal values give equal text. */
export function canonicalJson (value: unknown): string {
  return JSON.stringify(value, (_key, part: unknown) => isPlainObject(part) ? sortKeys(part) : part)
}

function isPlainObject (value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}

function sortKeys (value: Record<string, unknown>): Record<string, unknown> {
  const entries = Object.entries(value).sort(([left], [right]) => left < right ? -1 : 1)
  return Object.fromEntries(entries)
}

/** Returns the SHA-256 digest of a text in hexadecimal. */
export function digestText (text: string): string {
  return createHash('sha256').update(text).digest('hex')
}

/** Freezes a value recursively. */
export function deepFreeze<T> (value: T): T {
  if (typeof value !== 'object' || value === null || Object.isFrozen(value)) return value
  for (const part of Object.values(value)) deepFreeze(part)
  return Object.freeze(value)
}
