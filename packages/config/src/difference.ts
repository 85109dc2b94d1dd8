/** Differences between two documents. */
import { canonicalJson } from './canonical.ts'
import type { TeamDocument } from './document.ts'

/** One field whose value differs. Values are JSON texts; an absent field has no value. */
export interface Difference {
  path: string
  from?: string
  to?: string
}

/** Lists the fields that differ, sorted by path. List elements are matched by name. */
export function compareDocuments (from: TeamDocument | undefined, to: TeamDocument | undefined): Difference[] {
  const before = flatten(from)
  const after = flatten(to)
  const paths = [...new Set([...before.keys(), ...after.keys()])].sort()
  return paths
    .filter(path => before.get(path) !== after.get(path))
    .map(path => createDifference(path, before.get(path), after.get(path)))
}

function createDifference (path: string, from: string | undefined, to: string | undefined): Difference {
  const difference: Difference = { path }
  if (from !== undefined) difference.from = from
  if (to !== undefined) difference.to = to
  return difference
}

function flatten (document: TeamDocument | undefined): Map<string, string> {
  const fields = new Map<string, string>()
  if (document !== undefined) addFields(fields, '', document)
  return fields
}

function addFields (fields: Map<string, string>, path: string, value: unknown): void {
  if (Array.isArray(value) && value.every(hasName)) {
    for (const element of value) addFields(fields, `${path}[${element.name}]`, element)
    return
  }
  if (typeof value !== 'object' || value === null || Array.isArray(value)) {
    fields.set(path, canonicalJson(value))
    return
  }
  for (const [key, part] of Object.entries(value)) addFields(fields, path === '' ? key : `${path}.${key}`, part)
}

function hasName (value: unknown): value is { name: string } {
  return typeof value === 'object' && value !== null && typeof (value as { name?: unknown }).name === 'string'
}

/** Formats a difference as one line. */
export function describeDifference (difference: Difference): string {
  return `${difference.path}: ${difference.from ?? '(none)'} -> ${difference.to ?? '(none)'}`
}
