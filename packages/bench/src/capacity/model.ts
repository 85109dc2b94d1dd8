/** Extrapolates measured slopes to the target size. */
import { StepError, ErrorCode } from '@egretvalve/protocol'
import { SeriesName } from '../slopes/series.ts'
import type { Series, SlopeReport } from '../slopes/series.ts'
import { CORE_MS_PER_SECOND, ENTRY_CORE_SHARE, LIMITS, TARGET } from './target.ts'

/** Roles whose costs are listed. */
export enum CapacityRole {
  Entry = 'entry',
  Agent = 'agent',
  Store = 'store'
}

/** One cost at the target size. */
export interface CapacityRow {
  role: CapacityRole
  cost: string
  formula: string
  /** Formatted slope with its standard error, in the units of the series. */
  slope: string
  figure: number
  unit: string
  /** Undefined when the target sets no limit. */
  limit?: number
  mechanism: string
}

/** Number of entries that the peak rate requires with jobs of one size. */
export interface EntryNeed {
  tasksPerJob: number
  startsPerCoreSecond: number
  /** Entries that sustain the peak rate with one failure domain lost. */
  entries: number
}

/** Returns a series of a report. Throws `StepError` with `NotFound` if the report lacks it. */
export function findSeries (report: SlopeReport, name: SeriesName): Series {
  const series = report.series.find(candidate => candidate.name === name)
  if (series === undefined) throw new StepError(ErrorCode.NotFound, 'capacity.findSeries', name, 'the report contains no series of this name')
  return series
}

function evaluate (series: Series, x: number): number {
  return series.line.intercept + series.line.slope * x
}

/** Formats a number with three significant digits. */
export function formatNumber (value: number): string {
  if (value === 0) return '0'
  return Math.abs(value) >= 1_000 ? Math.round(value).toString() : Number(value.toPrecision(3)).toString()
}

function formatSlope (series: Series): string {
  return `${formatNumber(series.line.intercept)} + (${formatNumber(series.line.slope)} ± ${formatNumber(series.line.slopeError)}) x ${series.x}, in ${series.y}`
}

/** Lists the number of entries that the peak rate requires, for each measured job size. */
export function listEntryNeeds (report: SlopeReport): EntryNeed[] {
  const survivors = (TARGET.failureDomains - 1) / TARGET.failureDomains
  return report.startRates.map(rate => ({
    tasksPerJob: rate.tasksPerJob,
    startsPerCoreSecond: rate.startsPerCoreSecond,
    entries: Math.max(TARGET.failureDomains, Math.ceil(TARGET.startsPerSecond / (rate.startsPerCoreSecond * ENTRY_CORE_SHARE * survivors)))
  }))
}

/** Returns the planned number of entries: enough for the peak rate with the most expensive measured job size. */
export function resolvePlannedEntries (report: SlopeReport): number {
  return Math.max(...listEntryNeeds(report).map(need => need.entries))
}

/** Creates the cost rows of all roles at the target size. */
export function createCapacityRows (report: SlopeReport): CapacityRow[] {
  const entries = resolvePlannedEntries(report)
  return [...createEntryRows(report, entries), ...createAgentRows(report, entries), ...createStoreRows(report, entries)]
}

function createEntryRows (report: SlopeReport, entries: number): CapacityRow[] {
  const agents = TARGET.workers
  const series = (name: SeriesName): Series => findSeries(report, name)
  const cpu = series(SeriesName.EntryControlCpu)
  const bytes = series(SeriesName.EntryControlBytes)
  const memory = series(SeriesName.EntryMemory)
  const peers = series(SeriesName.EntryPeerBytes)
  const job = series(SeriesName.EntryJobCpu)
  const team = series(SeriesName.EntryTeamCpu)
  const role = CapacityRole.Entry
  const singleJobRate = TARGET.startsPerSecond / entries
  const single = report.startRates.find(rate => rate.tasksPerJob === 1)!
  const answers = series(SeriesName.EntryRecordMemory)
  const keptSeconds = LIMITS.answerMemoryMb / (answers.line.slope * singleJobRate)
  return [
    { role, cost: 'control: processor time', formula: `intercept + slope x ${agents} agents`, slope: formatSlope(cpu), figure: evaluate(cpu, agents), unit: 'ms/s', limit: LIMITS.controlCpuMsPerSecond, mechanism: 'one stream an agent; keepalive each 30 s, heartbeats each 60 s' },
    { role, cost: 'control: agent links', formula: `intercept + slope x ${agents} agents`, slope: formatSlope(bytes), figure: evaluate(bytes, agents), unit: 'B/s', limit: LIMITS.controlBytesPerSecond, mechanism: 'load rides on reports; keepalive each 30 s, heartbeats each 60 s both ways' },
    { role, cost: 'control: peers', formula: `intercept + slope x ${entries} entries`, slope: formatSlope(peers), figure: evaluate(peers, entries), unit: 'B/s', limit: LIMITS.controlBytesPerSecond, mechanism: 'heartbeats and promises between entries, versions as deltas' },
    { role, cost: 'memory at rest', formula: `intercept + slope x ${agents} agents`, slope: formatSlope(memory), figure: evaluate(memory, agents), unit: 'MB', limit: LIMITS.memoryMb, mechanism: 'one session an agent' },
    { role, cost: 'answers kept: memory', formula: `slope x ${formatNumber(singleJobRate)}/s x ${TARGET.retentionSeconds} s`, slope: formatSlope(answers), figure: answers.line.slope * singleJobRate * TARGET.retentionSeconds, unit: 'MB', limit: LIMITS.memoryMb, mechanism: `recordMaxBytes drops the oldest beyond ${LIMITS.answerMemoryMb} MB: at the peak an answer is kept for about ${formatNumber(keptSeconds)} s` },
    { role, cost: 'work: processor time, jobs of 1', formula: `${formatNumber(singleJobRate)} starts/s / ${formatNumber(single.startsPerCoreSecond)} starts per core second`, slope: 'measured at jobs of 1, see above', figure: singleJobRate / single.startsPerCoreSecond * CORE_MS_PER_SECOND, unit: 'ms/s', limit: CORE_MS_PER_SECOND, mechanism: 'starts and reports in batches for each agent' },
    { role, cost: `work: processor time of a job of ${TARGET.jobTasks}`, formula: `intercept + slope x ${TARGET.jobTasks} tasks`, slope: formatSlope(job), figure: evaluate(job, TARGET.jobTasks), unit: 'ms', mechanism: 'one submission, one batch an agent' },
    { role, cost: `work: processor time of a task with ${TARGET.teams} teams`, formula: `intercept + slope x ${TARGET.teams} teams`, slope: formatSlope(team), figure: evaluate(team, TARGET.teams), unit: 'us', mechanism: 'one share account a team' }
  ]
}

function createAgentRows (report: SlopeReport, entries: number): CapacityRow[] {
  const series = (name: SeriesName): Series => findSeries(report, name)
  const cpu = series(SeriesName.AgentControlCpu)
  const bytes = series(SeriesName.AgentControlBytes)
  const memory = series(SeriesName.AgentMemory)
  const work = series(SeriesName.AgentWorkCpu)
  const record = series(SeriesName.AgentRecordMemory)
  const rate = TARGET.startsPerSecond / TARGET.workers
  const records = rate * TARGET.retentionSeconds
  const role = CapacityRole.Agent
  return [
    { role, cost: 'control: processor time', formula: `intercept + slope x ${entries} entries`, slope: formatSlope(cpu), figure: evaluate(cpu, entries), unit: 'ms/s', limit: LIMITS.controlCpuMsPerSecond, mechanism: 'one stream an entry' },
    { role, cost: 'control: links', formula: `intercept + slope x ${entries} entries`, slope: formatSlope(bytes), figure: evaluate(bytes, entries), unit: 'B/s', limit: LIMITS.controlBytesPerSecond, mechanism: 'keepalive each 30 s, heartbeats each 60 s both ways' },
    { role, cost: 'memory at rest', formula: `intercept + slope x ${entries} entries`, slope: formatSlope(memory), figure: evaluate(memory, entries), unit: 'MB', limit: LIMITS.memoryMb, mechanism: 'the runtime and its libraries, then one stream an entry' },
    { role, cost: 'memory with the record of starts', formula: `intercept + slope x ${formatNumber(records)} starts (${formatNumber(rate)}/s kept for ${TARGET.retentionSeconds} s)`, slope: formatSlope(record), figure: evaluate(record, records), unit: 'MB', limit: LIMITS.memoryMb, mechanism: 'kept for the retention time, bounded by recordMaxBytes' },
    { role, cost: 'work: processor time', formula: `intercept + slope x ${formatNumber(rate)} starts/s`, slope: formatSlope(work), figure: evaluate(work, rate), unit: 'ms/s', mechanism: 'one HTTP call a task to the backend server, reports in batches' }
  ]
}

function createStoreRows (report: SlopeReport, entries: number): CapacityRow[] {
  const reads = findSeries(report, SeriesName.StoreReads)
  const writes = findSeries(report, SeriesName.StoreWrites)
  const changeReads = findSeries(report, SeriesName.ChangeReads)
  const changeWrites = findSeries(report, SeriesName.ChangeWrites)
  const role = CapacityRole.Store
  const changesPerSecond = TARGET.changesPerDay / (24 * 60 * 60)
  return [
    { role, cost: 'reads at rest', formula: `intercept + slope x ${entries} entries`, slope: formatSlope(reads), figure: evaluate(reads, entries), unit: 'calls/s', limit: LIMITS.storeReadsPerSecond, mechanism: 'one waiting watch an entry; agents never call the store' },
    { role, cost: 'writes at rest', formula: `intercept + slope x ${entries} entries`, slope: formatSlope(writes), figure: evaluate(writes, entries), unit: 'calls/s', limit: LIMITS.storeWritesPerSecond, mechanism: 'one lease an entry, renewed each 2 s' },
    { role, cost: 'reads for changes of configuration', formula: `slope x ${formatNumber(changesPerSecond)} changes/s x ${entries} / ${report.changeSpeed.entries} entries`, slope: formatSlope(changeReads), figure: changeReads.line.slope * changesPerSecond * entries / report.changeSpeed.entries, unit: 'calls/s', limit: LIMITS.storeReadsPerSecond, mechanism: 'one watch an entry on the head; peers pass documents on' },
    { role, cost: 'writes for changes of configuration', formula: `slope x ${formatNumber(changesPerSecond)} changes/s`, slope: formatSlope(changeWrites), figure: changeWrites.line.slope * changesPerSecond, unit: 'calls/s', limit: LIMITS.storeWritesPerSecond, mechanism: 'the team\'s value and the head, by compare-and-swap' },
    { role, cost: 'change in force on all entries, p99', formula: `measured with ${report.changeSpeed.entries} entries and ${report.changeSpeed.changes} changes`, slope: `p50 ${formatNumber(report.changeSpeed.inForceP50Ms)} ms`, figure: report.changeSpeed.inForceP99Ms, unit: 'ms', limit: TARGET.changeInForceMs, mechanism: 'watch and peers\' deltas; agents not included' }
  ]
}
