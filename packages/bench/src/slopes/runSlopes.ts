/** Runs all slope experiments. */
import { measureAgentRestSlopes, measureAgentWorkSlopes, measureRecordSlopes } from './agentSlopes.ts'
import { measureChanges } from './changeSlopes.ts'
import { measureAgentSlopes, measureEntryRecords, measureJobSizes, measureRateSlopes, measureTeamSlopes } from './entrySlopes.ts'
import type { SlopeOptions } from './entrySlopes.ts'
import { measureEntrySlopes } from './fleetSlopes.ts'
import { measureOverheads } from './overhead.ts'
import { describeMachine } from './series.ts'
import type { SlopeReport } from './series.ts'
import { measureStorePhases } from './storePhases.ts'

/** Runs the experiments one after the other. `onStep` is called with the name of each experiment as it starts. */
export async function measureSlopes (options: SlopeOptions, onStep: (step: string) => void): Promise<SlopeReport> {
  onStep('overhead of one call')
  const overheads = await measureOverheads(options)
  onStep('entry: job sizes')
  const sizes = await measureJobSizes(options)
  onStep('entry: task rate')
  const rates = await measureRateSlopes(options)
  onStep('entry: teams')
  const teams = await measureTeamSlopes(options)
  onStep('entry: answers kept')
  const answers = await measureEntryRecords(options)
  onStep('entry: agents')
  const agents = await measureAgentSlopes(options)
  onStep('agent: task rate')
  const agentWork = await measureAgentWorkSlopes(options)
  onStep('agent: entries')
  const agentRest = await measureAgentRestSlopes(options)
  onStep('agent: record of starts')
  const records = await measureRecordSlopes(options)
  onStep('entries: peers and store')
  const entries = await measureEntrySlopes(options)
  onStep('changes of configuration')
  const changes = await measureChanges(options)
  onStep('store: phases')
  const storePhases = await measureStorePhases(options)
  return {
    machine: describeMachine(),
    windowMs: options.windowMs,
    restWindowMs: options.restWindowMs,
    series: [...sizes.series, ...rates, ...teams, ...agents, ...agentWork, ...agentRest, ...records, ...answers, ...entries, ...changes.series],
    startRates: sizes.startRates,
    storePhases,
    overheads,
    changeSpeed: changes.speed
  }
}
