/** Crests of demand on the model of a fleet: what callers get beside one queue that knows everything. */
import { expect } from 'chai'
import * as bench from '@egretvalve/bench'

const KINDS = bench.CREST_KINDS
const WORKER_CORES = bench.CREST_WORKER_CORES
const CORES = WORKER_CORES.reduce((sum, cores) => sum + cores)
const ENTRIES = 3
const LINK_DELAY_MS = 1.5
const DURATION_MS = 6_000
const SEEDS = [1, 2]
/** Share of the callers that may get neither an answer in useful time nor a refusal, and the share of their time after which a refusal comes too late. */
const MAX_LOST_SHARE = 0.01
const MAX_REFUSAL_SHARE = 0.5
/** Share of the omniscient queue's credit that the dispatcher must reach on calm and crest days. */
const MIN_SHARE = 0.95

interface Shares {
  credit: number
  urgent: number
  /** Share of the callers that were neither served in useful time nor refused. */
  lost: number
  /** Longest time until a refusal against the time that the caller had. */
  longestRefusal: number
}

async function playCrest (level: number): Promise<{ dispatcher: Shares, omniscient: Shares, doubled: number }> {
  const answers: bench.JobAnswer[] = []
  const best: bench.JobAnswer[] = []
  let doubled = 0
  for (const seed of SEEDS) {
    const shape: bench.LoadShape = { durationMs: DURATION_MS, level: level * CORES / bench.meanCores(KINDS), swing: 0.2, periodMs: 2 * DURATION_MS }
    const load = bench.createJobLoad(KINDS, shape, seed)
    const outcome = await bench.playJobLoad(load, { entries: ENTRIES, workerCores: WORKER_CORES, linkDelayMs: LINK_DELAY_MS, seed })
    answers.push(...outcome.answers)
    best.push(...bench.computeOmniscient(load, CORES))
    doubled += outcome.doubled.length
  }
  return { dispatcher: measure(answers), omniscient: measure(best), doubled }
}

function measure (answers: readonly bench.JobAnswer[]): Shares {
  const table = bench.countCredit(answers)
  const all = table.get('')!
  const refusals = answers.map(({ job, refusedAfterMs }) => (refusedAfterMs ?? 0) / job.deadlineMs)
  return { credit: bench.creditShare(all), urgent: bench.creditShare(table.get('check')), lost: all.lost / all.asked, longestRefusal: Math.max(...refusals) }
}

describe('a fleet under a crest of demand', () => {
  it('serves a calm load nearly as well as one queue that knows everything', async () => {
    const { dispatcher, omniscient, doubled } = await playCrest(0.5)
    expect(dispatcher.credit).to.be.at.least(MIN_SHARE * omniscient.credit)
    expect(doubled).to.equal(0)
  })

  it('serves a crest that fills the workers nearly as well, urgent jobs before all', async () => {
    const { dispatcher, omniscient, doubled } = await playCrest(0.85)
    expect(dispatcher.credit).to.be.at.least(MIN_SHARE * omniscient.credit)
    expect(dispatcher.urgent).to.be.at.least(MIN_SHARE * omniscient.urgent)
    expect(doubled).to.equal(0)
  })

  it('tells callers early whom it can not serve under too much load', async () => {
    const { dispatcher, omniscient } = await playCrest(1.3)
    expect(dispatcher.lost).to.be.at.most(MAX_LOST_SHARE)
    expect(dispatcher.longestRefusal).to.be.at.most(MAX_REFUSAL_SHARE)
    expect(dispatcher.urgent).to.be.at.least(MIN_SHARE * omniscient.urgent)
  })
})
