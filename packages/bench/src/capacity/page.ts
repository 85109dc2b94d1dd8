/** Generates the tables of the capacity page. Text outside the markers is left unchanged. */
import type { SlopeReport } from '../slopes/series.ts'
import { CapacityRole, createCapacityRows, formatNumber, listEntryNeeds, resolvePlannedEntries } from './model.ts'
import type { CapacityRow } from './model.ts'

/** Generated sections, by the names in their markers. */
export enum PageSection {
  Run = 'run',
  EntryNeeds = 'entry-needs',
  Entry = 'entry',
  Agent = 'agent',
  Store = 'store',
  StorePhases = 'store-phases',
  Overheads = 'overheads',
  Series = 'series'
}

function formatTableRows (header: readonly string[], rows: ReadonlyArray<readonly string[]>): string {
  const lines = [header, header.map(() => '---'), ...rows]
  return lines.map(cells => `| ${cells.join(' | ')} |`).join('\n')
}

function formatMargin (row: CapacityRow): string {
  if (row.limit === undefined) return '-'
  const ratio = row.figure / row.limit
  return ratio <= 1 ? `${formatNumber((1 - ratio) * 100)}% free` : `**over by ${formatNumber((ratio - 1) * 100)}%**`
}

function formatRole (rows: readonly CapacityRow[], role: CapacityRole): string {
  const cells = rows.filter(row => row.role === role).map(row => [
    row.cost,
    row.formula,
    row.slope,
    `${formatNumber(row.figure)} ${row.unit}`,
    row.limit === undefined ? '-' : `${formatNumber(row.limit)} ${row.unit}`,
    formatMargin(row),
    row.mechanism
  ])
  return formatTableRows(['cost', 'formula', 'measured slope', 'at the target', 'limit', 'margin', 'mechanism'], cells)
}

/** Formats one section as Markdown. */
export function formatSection (section: PageSection, report: SlopeReport): string {
  const rows = createCapacityRows(report)
  switch (section) {
    case PageSection.Run:
      return `Node ${report.machine.node} on a machine with ${report.machine.cores} cores; windows of ${report.windowMs} ms with work and ${report.restWindowMs} ms at rest. The page plans with ${resolvePlannedEntries(report)} entries.`
    case PageSection.EntryNeeds:
      return formatTableRows(['tasks in a job', 'starts/s for each second of an entry\'s processor time', 'entries for 26000 starts/s'],
        listEntryNeeds(report).map(need => [String(need.tasksPerJob), formatNumber(need.startsPerCoreSecond), String(need.entries)]))
    case PageSection.Entry: return formatRole(rows, CapacityRole.Entry)
    case PageSection.Agent: return formatRole(rows, CapacityRole.Agent)
    case PageSection.Store: return formatRole(rows, CapacityRole.Store)
    case PageSection.StorePhases: return formatStorePhases(report)
    case PageSection.Overheads: return formatOverheads(report)
    case PageSection.Series: return formatSeries(report)
  }
}

function formatStorePhases (report: SlopeReport): string {
  return formatTableRows(['phase', 'entries', 'reads in the busiest second', 'writes in the busiest second', 'calls refused by the store'],
    report.storePhases.map(phase => [phase.phase, String(phase.entries), String(phase.peakReads), String(phase.peakWrites), String(phase.refusedCalls)]))
}

function formatOverheads (report: SlopeReport): string {
  return formatTableRows(['calls at once', 'direct p50', 'direct p99', 'through entry and agent p50', 'through entry and agent p99'],
    report.overheads.map(overhead => [
      String(overhead.lanes),
      `${formatNumber(overhead.directP50Ms)} ms`,
      `${formatNumber(overhead.directP99Ms)} ms`,
      `${formatNumber(overhead.throughP50Ms)} ms`,
      `${formatNumber(overhead.throughP99Ms)} ms`
    ]))
}

function formatSeries (report: SlopeReport): string {
  return formatTableRows(['series', 'points', 'line'], report.series.map(series => [
    series.title,
    series.points.map(point => `${formatNumber(point.x)}: ${formatNumber(point.y)}`).join(', '),
    `${formatNumber(series.line.intercept)} ± ${formatNumber(series.line.interceptError)} + (${formatNumber(series.line.slope)} ± ${formatNumber(series.line.slopeError)}) x ${series.x}, in ${series.y}`
  ]))
}

/** Returns the page with all sections regenerated from a report. Sections without markers are skipped. */
export function fillPage (page: string, report: SlopeReport): string {
  return Object.values(PageSection).reduce((text, section) => fillSection(text, section, formatSection(section, report)), page)
}

function fillSection (page: string, section: PageSection, text: string): string {
  const begin = `<!-- begin ${section} -->`
  const end = `<!-- end ${section} -->`
  const from = page.indexOf(begin)
  const to = page.indexOf(end)
  if (from < 0 || to < from) return page
  return `${page.slice(0, from + begin.length)}\n\n${text}\n\n${page.slice(to)}`
}

/** Lists the rows that exceed their limit. */
export function listOverruns (report: SlopeReport): CapacityRow[] {
  return createCapacityRows(report).filter(row => row.limit !== undefined && row.figure > row.limit)
}
