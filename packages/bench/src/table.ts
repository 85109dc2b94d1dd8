/** Plain-text table of measures. */
import type { Measures } from './measures.ts'

interface TableRow {
  label: string
  read: (measures: Measures) => number | undefined
  digits: number
}

const ROWS: readonly TableRow[] = [
  { label: 'slowdown p50', read: measures => measures.slowdownP50, digits: 3 },
  { label: 'slowdown p99', read: measures => measures.slowdownP99, digits: 3 },
  { label: 'wasted messages/task', read: measures => measures.wastedMessagesPerTask, digits: 3 },
  { label: 'crest on time', read: measures => measures.crestOnTimeRatio, digits: 3 },
  { label: 'crest goodput', read: measures => measures.crestGoodputRatio, digits: 3 },
  { label: 'crest recovery ms', read: measures => measures.crestRecoveryMs, digits: 0 },
  { label: 'head-of-line ratio', read: measures => measures.headOfLineRatio, digits: 3 },
  { label: 'started twice', read: measures => measures.startedTwice, digits: 0 },
  { label: 'partial answers', read: measures => measures.partialAnswers, digits: 0 },
  { label: 'false not run', read: measures => measures.falseNotRun, digits: 0 },
  { label: 'lost answers', read: measures => measures.lostAnswers, digits: 0 },
  { label: 'starts on leaving', read: measures => measures.startsOnLeaving, digits: 0 },
  { label: 'tasks/s', read: measures => measures.tasksPerSecond, digits: 1 },
  { label: 'complete', read: measures => measures.completeRatio, digits: 3 },
  { label: 'refused', read: measures => measures.refusedRatio, digits: 3 },
  { label: 'repeatable failed', read: measures => measures.repeatableFailedRatio, digits: 4 },
  { label: 'starts/task', read: measures => measures.startsPerTask, digits: 3 },
  { label: 'cpu ms/task', read: measures => measures.cpuMsPerTask, digits: 2 },
  { label: 'network ms', read: measures => measures.networkMs, digits: 2 },
  { label: 'generator lag p99 ms', read: measures => measures.generatorLagP99Ms, digits: 2 }
]

/** Formats the measures of several policies side by side; a dash marks a measure that does not apply to the plan. */
export function formatTable (columns: readonly Measures[]): string {
  const cells = [['', ...columns.map(measures => measures.policy)], ...ROWS.map(row => formatRow(row, columns))]
  const widths = cells[0]!.map((_, column) => Math.max(...cells.map(row => row[column]!.length)))
  return cells.map(row => row.map((cell, column) => pad(cell, widths[column]!, column)).join('  ').trimEnd() + '\n').join('')
}

function formatRow (row: TableRow, columns: readonly Measures[]): string[] {
  return [row.label, ...columns.map(measures => row.read(measures)?.toFixed(row.digits) ?? '-')]
}

function pad (cell: string, width: number, column: number): string {
  return column === 0 ? cell.padEnd(width) : cell.padStart(width)
}
