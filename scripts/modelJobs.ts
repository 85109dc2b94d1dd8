// Runs load peaks on the fleet model and prints the outcomes of the jobs, compared with an omniscient scheduler with a single queue.
import { parseArgs } from 'node:util'
import * as bench from '@egretvalve/bench'
import * as protocol from '@egretvalve/protocol'

const DURATION_MS = 8_000
const SWING_SHARE = 0.2

const { values } = parseArgs({
  options: {
    /** Peaks of the offered load, as shares of the fleet's cores. */
    levels: { type: 'string', default: '0.6,0.95,1.05,1.2' },
    seeds: { type: 'string', default: '1,2,3' },
    entries: { type: 'string', default: '3' },
    'link-delay-ms': { type: 'string', default: '1.5' },
    /** Factor on the number of workers; the number of entries is set by `entries`. */
    'fleet-factor': { type: 'string', default: '1' },
    links: { type: 'string', default: '6' },
    /** Uses workers of different speeds. */
    uneven: { type: 'boolean', default: false },
    /** Relative rates at which callers reach the entries, in turn; equal by default. */
    weights: { type: 'string', default: '1' }
  }
})

/** Parses a list of positive numbers; prints an error and exits with 2 for any other text. */
function readNumbers (name: string, text: string): number[] {
  const numbers = text.split(',').map(Number)
  if (numbers.every(number => Number.isFinite(number) && number > 0)) return numbers
  console.error(`--${name}: got ${text}; expected positive numbers separated by commas`)
  process.exit(2)
}

async function runLevel (level: number, seeds: readonly number[]): Promise<void> {
  const [entries] = readNumbers('entries', values.entries)
  const [factor] = readNumbers('fleet-factor', values['fleet-factor'])
  const [linksPerAgent] = readNumbers('links', values.links)
  const workerCores = bench.repeatToScale(factor!, bench.PEAK_WORKER_CORES)
  const slowness = values.uneven ? bench.repeatToScale(factor!, bench.PEAK_WORKER_SLOWNESS) : undefined
  const cores = workerCores.reduce((sum, each) => sum + each)
  const [linkDelayMs] = readNumbers('link-delay-ms', values['link-delay-ms'])
  const answers: bench.JobAnswer[] = []
  const optimum: bench.JobAnswer[] = []
  let starts = 0
  let returnedTasks = 0
  for (const seed of seeds) {
    // The load follows half a sine period, so it peaks at `level` in the middle of the run.
    const shape: bench.LoadShape = { durationMs: DURATION_MS, level: level * cores / bench.meanCores(bench.PEAK_JOB_KINDS) / (1 + SWING_SHARE), swing: SWING_SHARE, periodMs: 2 * DURATION_MS }
    const load = bench.createJobLoad(bench.PEAK_JOB_KINDS, shape, seed)
    const outcome = await bench.runJobLoad(load, { entries: entries!, workerCores, slowness, linksPerAgent, linkDelayMs: linkDelayMs!, entryWeights: readNumbers('weights', values.weights), seed })
    answers.push(...outcome.answers)
    starts += outcome.startCount
    returnedTasks += outcome.returnCount
    optimum.push(...bench.computeOmniscient(load, cores))
  }
  const table = bench.countCredit(answers)
  const optimumTable = bench.countCredit(optimum)
  for (const [kind, totals] of table) {
    const { submitted, inTime, late, refused, lost } = totals
    console.log([level, kind === '' ? 'all' : kind, submitted, inTime, late, refused, lost, bench.creditShare(totals).toFixed(3), bench.creditShare(optimumTable.get(kind)).toFixed(3)].join('\t'))
  }
  console.log(`${level}\t${starts} starts, ${returnedTasks} tasks returned for lack of capacity`)
}

async function main (): Promise<void> {
  await protocol.loadHash()
  console.log(['level', 'kind', 'submitted', 'in time', 'late', 'refused', 'lost', 'credit', 'omniscient'].join('\t'))
  const seeds = readNumbers('seeds', values.seeds)
  for (const level of readNumbers('levels', values.levels)) await runLevel(level, seeds)
}

main()
