/** Implements `egretvalve load --slopes`, which measures costs against sizes. */
import * as plots from '@egretvalve/plots'
import * as settings from '@egretvalve/settings'
import { canStartProcesses } from '../measuredProcess.ts'
import { measureSlopes } from '../slopes/runSlopes.ts'
import type { Series, SlopeReport } from '../slopes/series.ts'
import { CommandExit, formatJson, writeOutput } from './common.ts'
import type { CommandStreams } from './common.ts'
import type { LoadSettings } from './loadSettings.ts'

/** Runs the slope experiments, writes JSON and plots, and returns the exit code. */
export async function runSlopes (values: LoadSettings, streams: CommandStreams): Promise<number> {
  if (!canStartProcesses()) {
    streams.error('--slopes: got true; the executable starts no process, expected npm run load -- --slopes in the repository')
    return CommandExit.Usage
  }
  const timers = new settings.TimerService()
  const report = await measureSlopes({ timers, windowMs: values.windowMs, restWindowMs: values.restWindowMs }, step => { streams.out(`measuring ${step}`) })
  for (const series of report.series) streams.out(describeSeries(series))
  await writeOutput(values.json, formatJson(report))
  if (values.report !== '') await writeOutput(values.report, formatSlopePlots(report))
  return CommandExit.Success
}

function describeSeries (series: Series): string {
  const { slope, slopeError, intercept } = series.line
  return `${series.title}: ${intercept.toPrecision(3)} + (${slope.toPrecision(3)} ± ${slopeError.toPrecision(2)}) x ${series.x} [${series.y}]`
}

function formatSlopePlots (report: SlopeReport): string {
  return plots.formatPage('egretvalve load --slopes', report.series.map(describeSeries).join('\n'), report.series.map(series => plots.drawPlot(createPlot(series))))
}

function createPlot (series: Series): plots.Plot {
  const { intercept, slope } = series.line
  const line = series.points.map(point => ({ x: point.x, y: intercept + slope * point.x }))
  return {
    title: series.title,
    xLabel: series.x,
    yLabel: series.y,
    lines: [{ label: 'measured', points: series.points, isScatter: true }, { label: 'fitted', points: line }]
  }
}
