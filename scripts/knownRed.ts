// Reads the known failures, which don't fail CI.
import { existsSync, readFileSync } from 'node:fs'

export const KNOWN_RED_FILE = 'KNOWN-RED.txt'
const KNOWN_RED_PREFIX = 'test: '

/** Returns the full titles of the tests and scenarios that are listed as known failures. */
export function readKnownRed (): Set<string> {
  if (!existsSync(KNOWN_RED_FILE)) return new Set()
  const lines = readFileSync(KNOWN_RED_FILE, 'utf8').split('\n')
  const entries = lines.filter(line => line.startsWith(KNOWN_RED_PREFIX))
  return new Set(entries.map(line => line.slice(KNOWN_RED_PREFIX.length).trim()))
}
