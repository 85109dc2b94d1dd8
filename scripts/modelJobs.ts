// Plays crests of demand on the model of a fleet and prints what callers get, beside one queue that knows everything.
import { parseArgs } from 'node:util'
import * as bench from '@egretvalve/bench'
import * as protocol from '@egretvalve/protocol'

const DURATION_MS = 8_000
const SWING = 0.2

const { values } = parseArgs({
  options: {
    levels: { type: 'string', default: '0.6,0.95,1.05,1.2' },
    seeds: { type: 'string', default: '1,2,3' },
    entries: { type: 'string', default: '3' },
    'link-delay-ms': { type: 'string', default: '1.5' },
    /** How many times the fleet is larger, in workers; entries are given by themselves. */
    'fleet-factor': { type: 'string', default: '1' },
    links: { type: 'string', default: '6' },
    /** Workers of different speeds. */
    uneven: { type: 'boolean', default: false }
  }
})

/** Reads a list of positive numbers, or ends the program with a line that says what is wrong. */
function readNumbers (name: string, text: string): number[] {
  const numbers = text.split(',').map(Number)
  if (numbers.every(number => Number.isFinite(number) && number > 0)) return numbers
  console.error(`--${name}: got ${text}; expected positive numbers with commas between them`)
  process.exit(2)
}

async function playLevel (level: number, seeds: readonly number[]): Promise<void> {
  const [entries] = readNumbers('entries', values.entries)
  const [factor] = readNumbers('fleet-factor', values['fleet-factor'])
  const [linksPerAgent] = readNumbers('links', values.links)
  const workerCores = bench.repeatFor(factor!, bench.CREST_WORKER_CORES)
  const slowness = values.uneven ? bench.repeatFor(factor!, bench.CREST_SLOWNESS) : undefined
  const cores = workerCores.reduce((sum, each) => sum + each)
  const [linkDelayMs] = readNumbers('link-delay-ms', values['link-delay-ms'])
  const answers: bench.JobAnswer[] = []
  const best: bench.JobAnswer[] = []
  let starts = 0
  let returns = 0
  for (const seed of seeds) {
    // The peak of the wave lies in the middle of the load, at the level.
    const shape: bench.LoadShape = { durationMs: DURATION_MS, level: level * cores / bench.meanCores(bench.CREST_KINDS) / (1 + SWING), swing: SWING, periodMs: 2 * DURATION_MS }
    const load = bench.createJobLoad(bench.CREST_KINDS, shape, seed)
    const outcome = await bench.playJobLoad(load, { entries: entries!, workerCores, slowness, linksPerAgent, linkDelayMs: linkDelayMs!, seed })
    answers.push(...outcome.answers)
    starts += outcome.startCount
    returns += outcome.returnCount
    best.push(...bench.computeOmniscient(load, cores))
  }
  const table = bench.countCredit(answers)
  const bestTable = bench.countCredit(best)
  for (const [kind, totals] of table) {
    const { asked, inTime, late, refused, lost } = totals
    console.log([level, kind === '' ? 'all' : kind, asked, inTime, late, refused, lost, bench.creditShare(totals).toFixed(3), bench.creditShare(bestTable.get(kind)).toFixed(3)].join('\t'))
  }
  console.log(`${level}\t${starts} starts, ${returns} tasks returned for want of room`)
}

async function main (): Promise<void> {
  await protocol.loadHash()
  console.log(['level', 'kind', 'asked', 'in time', 'late', 'refused', 'lost', 'credit', 'omniscient'].join('\t'))
  const seeds = readNumbers('seeds', values.seeds)
  for (const level of readNumbers('levels', values.levels)) await playLevel(level, seeds)
}

main()
