/** Reports of an analysis: plain text and an HTML page. */
import * as plots from '@egretvalve/plots'
import type { Analysis, GroupTotals } from './analysis.ts'
import { Cause, Verdict } from './causes.ts'
import { Phase } from './phases.ts'

/** Formats the tables of an analysis. Causes that did not occur are left out. */
export function formatAnalysis (analysis: Analysis): string {
  const causes = Object.values(Cause).filter(cause => cause !== Cause.None && analysis.total.causes[cause] > 0)
  return [
    formatGroups('', [analysis.total], causes),
    formatGroups('priority', analysis.byPriority, causes),
    formatGroups('service', analysis.byService, causes),
    formatGroups('entry', analysis.byEntry, causes),
    formatGroups('from second', analysis.byTime, causes),
    formatPhases(analysis)
  ].join('\n')
}

/** Formats a page with the tables and plots over time. */
export function formatAnalysisPage (analysis: Analysis): string {
  const seconds = analysis.byTime.map(({ name }) => Number(name))
  const lineOf = (label: string, read: (totals: GroupTotals) => number): plots.PlotLine => ({ label, points: analysis.byTime.map((totals, index) => ({ x: seconds[index]!, y: read(totals) })) })
  const verdictPlot: plots.Plot = { title: 'What callers got, by arrival', xLabel: 'seconds', yLabel: 'submissions', lines: Object.values(Verdict).map(verdict => lineOf(verdict, ({ verdicts }) => verdicts[verdict])) }
  const causes = Object.values(Cause).filter(cause => cause !== Cause.None && analysis.total.causes[cause] > 0)
  const causePlot: plots.Plot = { title: 'Causes, by arrival', xLabel: 'seconds', yLabel: 'submissions', lines: causes.map(cause => lineOf(cause, totals => totals.causes[cause])) }
  return plots.formatPage('egretvalve analyze', formatAnalysis(analysis), [verdictPlot, causePlot].map(plots.drawPlot))
}

/** Formats the analysis as JSON, with the attempts of each task by step and index. */
export function formatAnalysisJson (analysis: Analysis): string {
  return JSON.stringify(analysis, (_, value) => value instanceof Map ? Object.fromEntries(value) : value, 2) + '\n'
}

function formatGroups (heading: string, groups: readonly GroupTotals[], causes: readonly Cause[]): string {
  const verdicts = Object.values(Verdict)
  const header = [heading, 'submitted', ...verdicts, ...causes]
  const rows = groups.map(totals => [totals.name, totals.submissions, ...verdicts.map(verdict => totals.verdicts[verdict]), ...causes.map(cause => totals.causes[cause])].map(String))
  return formatColumns([header, ...rows])
}

function formatPhases ({ phases }: Analysis): string {
  const names = Object.values(Phase)
  const rows = phases.map(({ cause, submissions, meanMs }) => [cause === Cause.None ? 'in time' : cause, String(submissions), ...names.map(phase => meanMs[phase].toFixed(0))])
  return formatColumns([['mean ms', 'submitted', ...names], ...rows])
}

function formatColumns (rows: ReadonlyArray<readonly string[]>): string {
  const widths = rows[0]!.map((_, column) => Math.max(...rows.map(row => row[column]!.length)))
  return rows.map(row => row.map((cell, column) => column === 0 ? cell.padEnd(widths[column]!) : cell.padStart(widths[column]!)).join('  ').trimEnd() + '\n').join('')
}
