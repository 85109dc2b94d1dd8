/** Groups of workers that crash together, whatever runs on them, on a simulated fleet under load. */
import { expect } from 'chai'
import * as bench from '@egretvalve/bench'
import type * as standin from '@egretvalve/standin'

const KINDS = bench.PEAK_JOB_KINDS
const WORKER_CORES = bench.PEAK_WORKER_CORES
const CORES = WORKER_CORES.reduce((sum, cores) => sum + cores)
const ENTRIES = 3
const LINK_DELAY_MS = 1.5
const LOAD_LEVEL = 0.3
const DURATION_MS = 14_000
const SEEDS = [1, 2, 3, 4, 5, 6]
/** Moments at which a group of workers crashes. */
const GROUP_CRASHES = { fromMs: 3_000, periodMs: 1_500, count: 7, share: 0.4, downMs: 1_000 }
/** Age of a run of a crashing task at which it crashes its worker. */
const CRASH_AFTER_MS = 40
/** Number of crashes after which a task must not start again. */
const MAX_CRASHES = 3

interface Outcome {
  /** Answers to the jobs with a crashing task. */
  crashing: bench.JobAnswer[]
  /** Answers to all other jobs. */
  others: bench.JobAnswer[]
  /** Number of crashes by the key of the task that caused them. */
  crashes: ReadonlyMap<string, number>
}

/** Returns a step function that crashes a random group of workers at each moment. */
function createGroupCrashes (seed: number): (nowMs: number, workers: readonly standin.StandinWorker[]) => void {
  const random = new bench.Random(seed)
  let crashCount = 0
  return (nowMs, workers) => {
    const { fromMs, periodMs, count, share, downMs } = GROUP_CRASHES
    if (crashCount === count || nowMs < fromMs + crashCount * periodMs) return
    crashCount++
    const standing = [...workers]
    for (let number = 0; number < Math.round(workers.length * share); number++) standing.splice(random.whole(0, standing.length - 1), 1)[0]!.crash(downMs)
  }
}

/** Plays a load while groups of workers crash. One task of a share of the urgent jobs crashes its worker. */
async function play (seed: number, share: number): Promise<Outcome> {
  const shape: bench.LoadShape = { durationMs: DURATION_MS, level: LOAD_LEVEL * CORES / bench.meanCores(KINDS), swing: 0.3, periodMs: DURATION_MS }
  const load = bench.createJobLoad(KINDS, shape, seed)
  const random = new bench.Random(seed)
  const crashing = new Set(load.filter(({ kind, atMs }) => kind === KINDS[0] && atMs > GROUP_CRASHES.fromMs && random.chance(share)).map(({ spec }) => spec.jobId))
  const outcome = await bench.runJobLoad(load, {
    entries: ENTRIES,
    workerCores: WORKER_CORES,
    linkDelayMs: LINK_DELAY_MS,
    seed,
    crashesAfterMs: task => crashing.has(task.jobId) && task.index === 0 ? CRASH_AFTER_MS : undefined,
    onStep: createGroupCrashes(seed)
  })
  return {
    crashing: outcome.answers.filter(({ job }) => crashing.has(job.spec.jobId)),
    others: outcome.answers.filter(({ job }) => !crashing.has(job.spec.jobId)),
    crashes: outcome.crashes
  }
}

function listFailed (answers: readonly bench.JobAnswer[]): string[] {
  return answers.filter(({ failedAfterMs }) => failedAfterMs !== undefined).map(({ job }) => job.spec.jobId)
}

describe('groups of workers that crash together', () => {
  it('fail no job when no task crashes a worker', async () => {
    for (const seed of SEEDS) {
      const { others } = await play(seed, 0)
      expect(listFailed(others), `seed ${seed}`).to.deep.equal([])
    }
  })

  it('fail no job beside those with a crashing task, which is not started again after three crashes', async () => {
    for (const seed of SEEDS) {
      const { crashing, others, crashes } = await play(seed, 0.05)
      expect(crashes.size).to.be.greaterThan(0)
      expect(Math.max(...crashes.values()), `seed ${seed}`).to.be.at.most(MAX_CRASHES)
      expect(listFailed(crashing)).to.have.length.greaterThan(0)
      expect(listFailed(others), `seed ${seed}`).to.deep.equal([])
    }
  })
})
