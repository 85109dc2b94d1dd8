// Plays crests of demand on the model of a fleet and prints what callers get, beside one queue that knows everything.
import { parseArgs } from 'node:util'
import * as bench from '@egretvalve/bench'

const WORKER_CORES = [32, 32, 32, 48, 32, 32, 32, 48, 48, 32, 32]
const DURATION_MS = 8_000
const SWING = 0.2
const DEADLINE_MS = 1_650

const { values } = parseArgs({
  options: {
    levels: { type: 'string', default: '0.6,0.95,1.05,1.2' },
    seeds: { type: 'string', default: '1,2,3' },
    entries: { type: 'string', default: '3' },
    'link-delay-ms': { type: 'string', default: '1.5' }
  }
})

function createTerms (priority: number): bench.JobKind['terms'] {
  return { service: 'spares', priority, maxAttempts: 2, targetLatencyMs: 60, slackFactor: 1.6 }
}

const KINDS: bench.JobKind[] = [
  { name: 'check', terms: createTerms(0), ratePerS: 20, meanCount: 8, maxCount: 32, meanWorkMs: 73, deadlineMs: DEADLINE_MS, worth: 0.0291 },
  { name: 'issue', terms: createTerms(2), ratePerS: 3.65, meanCount: 4, maxCount: 16, meanWorkMs: 1_086, deadlineMs: DEADLINE_MS, worth: 0.16 },
  { name: 'renew', terms: createTerms(1), ratePerS: 58, meanCount: 2, maxCount: 8, meanWorkMs: 243, deadlineMs: DEADLINE_MS, worth: 0.01 }
]

/** Reads a list of positive numbers, or ends the program with a line that says what is wrong. */
function readNumbers (name: string, text: string): number[] {
  const numbers = text.split(',').map(Number)
  if (numbers.every(number => Number.isFinite(number) && number > 0)) return numbers
  console.error(`--${name}: got ${text}; expected positive numbers with commas between them`)
  process.exit(2)
}

async function playLevel (level: number, seeds: readonly number[]): Promise<void> {
  const cores = WORKER_CORES.reduce((sum, each) => sum + each)
  const [entries] = readNumbers('entries', values.entries)
  const [linkDelayMs] = readNumbers('link-delay-ms', values['link-delay-ms'])
  const answers: bench.JobAnswer[] = []
  const best: bench.JobAnswer[] = []
  for (const seed of seeds) {
    // The peak of the wave lies in the middle of the load, at the level.
    const shape: bench.LoadShape = { durationMs: DURATION_MS, level: level * cores / bench.meanCores(KINDS) / (1 + SWING), swing: SWING, periodMs: 2 * DURATION_MS }
    const load = bench.createJobLoad(KINDS, shape, seed)
    answers.push(...(await bench.playJobLoad(load, { entries: entries!, workerCores: WORKER_CORES, linkDelayMs: linkDelayMs!, seed })).answers)
    best.push(...bench.computeOmniscient(load, cores))
  }
  const table = bench.countCredit(answers)
  const bestTable = bench.countCredit(best)
  for (const [kind, totals] of table) {
    const { asked, inTime, late, refused, lost } = totals
    console.log([level, kind === '' ? 'all' : kind, asked, inTime, late, refused, lost, bench.creditShare(totals).toFixed(3), bench.creditShare(bestTable.get(kind)).toFixed(3)].join('\t'))
  }
}

async function main (): Promise<void> {
  console.log(['level', 'kind', 'asked', 'in time', 'late', 'refused', 'lost', 'credit', 'omniscient'].join('\t'))
  const seeds = readNumbers('seeds', values.seeds)
  for (const level of readNumbers('levels', values.levels)) await playLevel(level, seeds)
}

main()
