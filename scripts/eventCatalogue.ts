// Collects the log events of all packages and formats the event catalogue.
import { existsSync, readdirSync } from 'node:fs'
import * as path from 'node:path'
import { pathToFileURL } from 'node:url'
import type * as settings from '@egretvalve/settings'

export const CATALOGUE_FILE = 'docs/EVENTS.md'

const ADAPTER_EVENTS_FILE = 'platform/src/events.ts'

/** A log event and the package that declares it. */
export interface CatalogueEntry extends settings.LogEvent {
  packageName: string
}

/** Exports of an events file; each export maps names to log events. */
type EventModule = Record<string, Record<string, settings.LogEvent>>

/** Returns the log events of all packages and of the platform adapter, ordered by code. */
export async function readEvents (): Promise<CatalogueEntry[]> {
  const entries: CatalogueEntry[] = []
  for (const packageName of readdirSync('packages').sort()) {
    for (const file of listEventFiles(packageName)) {
      const module = await import(pathToFileURL(path.resolve(file)).href) as EventModule
      const events = Object.values(module).flatMap(exported => Object.values(exported)).filter(isEvent)
      entries.push(...events.map(event => ({ ...event, packageName })))
    }
  }
  const adapter = await import(pathToFileURL(path.resolve(ADAPTER_EVENTS_FILE)).href) as EventModule
  entries.push(...Object.values(adapter).flatMap(exported => Object.values(exported)).map(event => ({ ...event, packageName: 'adapter' })))
  return entries.sort((a, b) => a.code - b.code)
}

function isEvent (value: settings.LogEvent): boolean {
  return typeof value?.code === 'number'
}

function listEventFiles (packageName: string): string[] {
  const folder = path.join('packages', packageName, 'src')
  if (!existsSync(folder)) return []
  const names = readdirSync(folder, { recursive: true, encoding: 'utf8' })
  return names.filter(name => path.basename(name) === 'events.ts').sort().map(name => path.join(folder, name))
}

/** Formats the catalogue as a Markdown page. */
export function formatCatalogue (entries: readonly CatalogueEntry[]): string {
  const rows = entries.map(entry => `| ${entry.code} | ${entry.level} | ${entry.packageName} | ${entry.message} |`)
  return [
    '# Log events',
    '',
    'Each log line is a JSON object, on standard output for the programs on the platform and on standard error otherwise. Its field `event` holds the code below; the other fields carry their unit in their name.',
    'This page is written by `npm run catalogue`.',
    '',
    '| code | level | package | message |',
    '|---|---|---|---|',
    ...rows,
    ''
  ].join('\n')
}
