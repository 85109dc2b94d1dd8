/** The choice of workers, by one entry and by many that share them. */
import { expect } from 'chai'
import * as prand from 'pure-rand'
import * as scheduler from '@egretvalve/scheduler'

const SIZE = { cpuMilli: 3_000, memoryMb: 64, accelerators: 0 }
const STEP: scheduler.StepSpec = { count: 1, size: SIZE, estimatedMs: 100, after: [] }
const OPTIONS = scheduler.DEFAULT_SCHEDULER
const WORKERS = 76
const ENTRIES = 14
/** Tasks that an entry places between two load reports of a worker. */
const TASKS = 6

function createCandidate (number: number, changes: Partial<scheduler.Candidate> = {}): scheduler.Candidate {
  return { agentId: `agent-${number}`, free: { cpuMilli: 32_000, memoryMb: 100_000, accelerators: 0 }, usedShare: 0.5, speedFactor: 1, hasDataRack: false, isOwnDomain: false, hasSibling: false, hasSuspect: false, ...changes }
}

function createRandom (seed: number): () => number {
  const generator = prand.xoroshiro128plus(seed)
  return () => prand.unsafeUniformIntDistribution(0, 1_000_000, generator) / 1_000_001
}

describe('the choice of a worker', () => {
  it('prefers fast workers, lightly loaded ones and those in the rack of the data', () => {
    const candidates = [createCandidate(1, { speedFactor: 1.4 }), createCandidate(2, { usedShare: 0.9 }), createCandidate(3, { usedShare: 0.2 })]
    expect(scheduler.chooseWorker(candidates, STEP, 100, OPTIONS)?.agentId).to.equal('agent-3')
    const near = createCandidate(4, { usedShare: 0.9, hasDataRack: true })
    expect(scheduler.chooseWorker([...candidates, near], { ...STEP, dataRack: 'r1' }, 100, OPTIONS)?.agentId).to.equal('agent-4')
  })

  it('skips workers without free capacity', () => {
    const full = createCandidate(1, { free: { cpuMilli: 2_000, memoryMb: 1_000, accelerators: 0 } })
    expect(scheduler.chooseWorker([full], STEP, 100, OPTIONS)).to.equal(undefined)
    expect(scheduler.sampleCandidates([full], STEP, 6, () => 0)).to.deep.equal([])
  })

  it('does not exceed the capacity of a worker when many entries place tasks by the same load reports', () => {
    const counts = new Map<string, number>()
    for (let entry = 0; entry < ENTRIES; entry++) {
      const random = createRandom(entry + 1)
      const candidates = Array.from({ length: WORKERS }, (_, number) => createCandidate(number, { speedFactor: 0.9 + number / 500 }))
      for (let task = 0; task < TASKS; task++) {
        const sample = scheduler.sampleCandidates(candidates, STEP, scheduler.sampleSize(WORKERS, ENTRIES), random)
        const { agentId } = scheduler.chooseWorker(sample, STEP, 100, OPTIONS)!
        counts.set(agentId, (counts.get(agentId) ?? 0) + 1)
      }
    }
    expect(Math.max(...counts.values())).to.be.at.most(Math.floor(32_000 / SIZE.cpuMilli))
  })
})
