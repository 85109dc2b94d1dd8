/** Compares the dispatcher with an omniscient reference queue on a simulated fleet under load peaks. */
import { expect } from 'chai'
import * as bench from '@egretvalve/bench'

const KINDS = bench.PEAK_JOB_KINDS
const WORKER_CORES = bench.PEAK_WORKER_CORES
const CORES = WORKER_CORES.reduce((sum, cores) => sum + cores)
const ENTRIES = 3
const LINK_DELAY_MS = 1.5
const DURATION_MS = 6_000
const SEEDS = [1, 2]
/** Maximum share of jobs that get neither a useful answer nor a refusal. */
const MAX_LOST_SHARE = 0.01
/** A refusal must arrive within this share of the deadline. */
const MAX_REFUSAL_SHARE = 0.5
/** Minimum share of the omniscient queue's credit that the dispatcher must reach. */
const MIN_SHARE = 0.95

interface Shares {
  credit: number
  urgent: number
  /** Share of the jobs that got neither a useful answer nor a refusal. */
  lost: number
  /** Longest time until a refusal, as a share of the job's deadline. */
  longestRefusal: number
}

async function runLoadLevel (level: number): Promise<{ dispatcher: Shares, omniscient: Shares, concurrentRuns: number }> {
  const answers: bench.JobAnswer[] = []
  const best: bench.JobAnswer[] = []
  let concurrentRuns = 0
  for (const seed of SEEDS) {
    const shape: bench.LoadShape = { durationMs: DURATION_MS, level: level * CORES / bench.meanCores(KINDS), swing: 0.2, periodMs: 2 * DURATION_MS }
    const load = bench.createJobLoad(KINDS, shape, seed)
    const outcome = await bench.runJobLoad(load, { entries: ENTRIES, workerCores: WORKER_CORES, linkDelayMs: LINK_DELAY_MS, seed })
    answers.push(...outcome.answers)
    best.push(...bench.computeOmniscient(load, CORES))
    concurrentRuns += outcome.concurrentRuns.length
  }
  return { dispatcher: measure(answers), omniscient: measure(best), concurrentRuns }
}

function measure (answers: readonly bench.JobAnswer[]): Shares {
  const table = bench.countCredit(answers)
  const all = table.get('')!
  const refusals = answers.map(({ job, refusedAfterMs }) => (refusedAfterMs ?? 0) / job.deadlineMs)
  return { credit: bench.creditShare(all), urgent: bench.creditShare(table.get('check')), lost: all.lost / all.submitted, longestRefusal: Math.max(...refusals) }
}

describe('a simulated fleet under load peaks', () => {
  it('earns nearly the credit of the omniscient queue under a moderate load', async () => {
    const { dispatcher, omniscient, concurrentRuns } = await runLoadLevel(0.5)
    expect(dispatcher.credit).to.be.at.least(MIN_SHARE * omniscient.credit)
    expect(concurrentRuns).to.equal(0)
  })

  it('earns nearly the credit of the omniscient queue, overall and on urgent jobs, when the load fills the workers', async () => {
    const { dispatcher, omniscient, concurrentRuns } = await runLoadLevel(0.85)
    expect(dispatcher.credit).to.be.at.least(MIN_SHARE * omniscient.credit)
    expect(dispatcher.urgent).to.be.at.least(MIN_SHARE * omniscient.urgent)
    expect(concurrentRuns).to.equal(0)
  })

  it('refuses early what it cannot serve under overload, and still serves urgent jobs', async () => {
    const { dispatcher, omniscient } = await runLoadLevel(1.3)
    expect(dispatcher.lost).to.be.at.most(MAX_LOST_SHARE)
    expect(dispatcher.longestRefusal).to.be.at.most(MAX_REFUSAL_SHARE)
    expect(dispatcher.urgent).to.be.at.least(MIN_SHARE * omniscient.urgent)
  })
})
