/** Tasks that crash every worker that runs them, on a simulated fleet under load. */
import { expect } from 'chai'
import * as bench from '@egretvalve/bench'

const KINDS = bench.PEAK_JOB_KINDS
const WORKER_CORES = bench.PEAK_WORKER_CORES
const CORES = WORKER_CORES.reduce((sum, cores) => sum + cores)
const ENTRIES = 3
const LINK_DELAY_MS = 1.5
const LOAD_LEVEL = 0.45
const DURATION_MS = 10_000
const SEEDS = [1, 2, 3]
/** Age of a run at which it crashes its worker. */
const CRASH_AFTER_MS = 40
/** Number of crashes after which a task must not start again. */
const MAX_CRASHES = 3
/** Largest share of the others' credit that crashing tasks may cost. */
const MAX_CREDIT_LOSS = 0.05
/** The callers of jobs that are given up hear of it within this time, well before their deadline. */
const MAX_VERDICT_MS = 1_000

interface Outcome {
  /** Answers to the jobs with a crashing task. */
  crashing: bench.JobAnswer[]
  /** Answers to all other jobs. */
  others: bench.JobAnswer[]
  crashes: ReadonlyMap<string, number>
}

/** Plays a load in which one task of a share of the urgent jobs crashes its worker, if `isCrashing`. */
async function play (seed: number, share: number, isCrashing: boolean): Promise<Outcome> {
  const shape: bench.LoadShape = { durationMs: DURATION_MS, level: LOAD_LEVEL * CORES / bench.meanCores(KINDS), swing: 0.3, periodMs: DURATION_MS }
  const load = bench.createJobLoad(KINDS, shape, seed)
  const random = new bench.Random(seed)
  const crashing = new Set(load.filter(({ kind, atMs }) => kind === KINDS[0] && atMs > 2_000 && random.chance(share)).map(({ spec }) => spec.jobId))
  const outcome = await bench.runJobLoad(load, {
    entries: ENTRIES,
    workerCores: WORKER_CORES,
    linkDelayMs: LINK_DELAY_MS,
    seed,
    crashesAfterMs: task => isCrashing && crashing.has(task.jobId) && task.index === 0 ? CRASH_AFTER_MS : undefined
  })
  return {
    crashing: outcome.answers.filter(({ job }) => crashing.has(job.spec.jobId)),
    others: outcome.answers.filter(({ job }) => !crashing.has(job.spec.jobId)),
    crashes: outcome.crashes
  }
}

describe('tasks that crash their workers', () => {
  it('are not started again after three crashes', async () => {
    for (const seed of SEEDS) {
      const { crashes } = await play(seed, 0.1, true)
      expect(crashes.size).to.be.greaterThan(0)
      expect(Math.max(...crashes.values()), `seed ${seed}`).to.be.at.most(MAX_CRASHES)
    }
  })

  it('fail their jobs at once when they are given up, and none of the jobs that ran on the same workers', async () => {
    for (const seed of SEEDS) {
      const { crashing, others, crashes } = await play(seed, 0.02, true)
      expect(crashes.size).to.be.greaterThan(0)
      for (const { failedAfterMs, refusedAfterMs } of crashing) expect(failedAfterMs ?? refusedAfterMs ?? Number.POSITIVE_INFINITY, `seed ${seed}`).to.be.at.most(MAX_VERDICT_MS)
      expect(others.filter(({ failedAfterMs }) => failedAfterMs !== undefined), `seed ${seed}`).to.deep.equal([])
    }
  })

  it('fail their jobs at once when they are given up, and none of the jobs that ran on the same workers, while their queue is contained', async () => {
    for (const seed of SEEDS) {
      const { crashing, others, crashes } = await play(seed, 0.04, true)
      expect(crashes.size).to.be.greaterThan(0)
      for (const { failedAfterMs, refusedAfterMs } of crashing) expect(failedAfterMs ?? refusedAfterMs ?? Number.POSITIVE_INFINITY, `seed ${seed}`).to.be.at.most(MAX_VERDICT_MS)
      expect(others.filter(({ failedAfterMs }) => failedAfterMs !== undefined), `seed ${seed}`).to.deep.equal([])
    }
  })

  it('cost the other jobs little when one job in ten of a kind crashes its workers', async () => {
    for (const seed of SEEDS) {
      const [before, after] = [await play(seed, 0.1, false), await play(seed, 0.1, true)].map(({ others }) => bench.creditShare(bench.countCredit(others).get('')))
      expect(before! - after!, `seed ${seed}`).to.be.at.most(MAX_CREDIT_LOSS)
    }
  })
})
