/** HTML report of a policy comparison. */
import * as plots from '@egretvalve/plots'
import type { PolicyResult } from './comparison.ts'
import { isOnTime, listShortResponses, listSlowdowns } from './measures.ts'
import type { LoadPlan } from './plan.ts'
import type { RunRecord } from './record.ts'
import { formatTable } from './table.ts'
import { TraceClass } from './trace.ts'

const ARRIVAL_BUCKET_MS = 250
const SMALLEST_PLOTTED_SLOWDOWN = 0.5
const MS_PER_SECOND = 1_000

/** Formats the report: the table of measures and the plots that apply to the plan. */
export function formatReport (plan: LoadPlan, policyResults: readonly PolicyResult[]): string {
  const figures = [
    createSlowdownPlot(policyResults),
    ...(plan.loadPeak === undefined ? [] : [createPeakPlot(policyResults)]),
    ...(plan.longRunMs === undefined ? [] : [createHeadOfLinePlot(policyResults)])
  ]
  const title = `egretvalve load: ${plan.name}, seed ${plan.seed}, ${plan.fleet.entries} entries, ${plan.fleet.servers} servers x ${plan.fleet.slots} slots`
  return plots.formatPage(title, formatTable(policyResults.map(result => result.measures)), figures.map(plots.drawPlot))
}

function createSlowdownPlot (policyResults: readonly PolicyResult[]): plots.Plot {
  const lines = policyResults.map(result => {
    const slowdowns = listSlowdowns(result.record).map(value => Math.max(value, SMALLEST_PLOTTED_SLOWDOWN))
    return plots.createCumulativeLine(result.record.policy, slowdowns)
  })
  return { title: 'Response time against the job alone on an idle fleet', xLabel: 'slowdown', yLabel: 'share of jobs', lines, isLogX: true }
}

function createPeakPlot (policyResults: readonly PolicyResult[]): plots.Plot {
  const lines = policyResults.map(result => createOnTimeLine(result.record))
  return { title: 'Pressing requests answered in time, by arrival', xLabel: 'seconds', yLabel: 'share in time', lines }
}

function createOnTimeLine (record: RunRecord): plots.PlotLine {
  const points = []
  for (let fromMs = 0; fromMs < record.plan.durationMs; fromMs += ARRIVAL_BUCKET_MS) {
    const offered = record.outcomes.filter(outcome =>
      outcome.job.class === TraceClass.Pressing && outcome.job.atMs >= fromMs && outcome.job.atMs < fromMs + ARRIVAL_BUCKET_MS)
    if (offered.length > 0) points.push({ x: fromMs / MS_PER_SECOND, y: offered.filter(isOnTime).length / offered.length })
  }
  return { label: record.policy, points }
}

function createHeadOfLinePlot (policyResults: readonly PolicyResult[]): plots.Plot {
  const lines = policyResults.flatMap(result => {
    const alone = result.withoutLong === undefined ? [] : [plots.createCumulativeLine(`${result.record.policy} without long work`, listShortResponses(result.withoutLong))]
    return [plots.createCumulativeLine(result.record.policy, listShortResponses(result.record)), ...alone]
  })
  return { title: 'Response time of short work', xLabel: 'milliseconds', yLabel: 'share of jobs', lines, isLogX: true }
}
