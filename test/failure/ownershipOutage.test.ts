import { expect } from 'chai'
import type * as standin from '@egretvalve/standin'
import * as uuid from 'uuid'
import { startEntryFleet, urlOf } from '../fixtures/entryFleet.ts'
import * as fleets from '../fixtures/fleet.ts'

const HEALTHY: standin.StoreFaults = { down: false, slowMs: 0, loseAnswers: false }
/** Longer than a store lease and a peer lease together, so that entries depend on renewed peer leases. */
const OUTAGE_MS = 13_000
const PAUSE_MS = 100

interface OutageCase {
  name: string
  faults: standin.StoreFaults
}

const cases: readonly OutageCase[] = [
  { name: 'is down', faults: { ...HEALTHY, down: true } },
  { name: 'takes 5 s per call', faults: { ...HEALTHY, slowMs: 5_000 } },
  { name: 'loses the answers of writes', faults: { ...HEALTHY, loseAnswers: true } }
]

/** Submits to the entries in turn while the store has the given faults; returns the kinds of the answers. */
async function submitThroughOutage (faults: standin.StoreFaults): Promise<string[]> {
  const fleet = await startEntryFleet(2, 2)
  fleet.store.store.faults = faults
  const kinds: string[] = []
  for (const endMs = performance.now() + OUTAGE_MS; performance.now() < endMs;) {
    const entry = fleet.entries[kinds.length % fleet.entries.length]!
    kinds.push((await fleets.submit(urlOf(entry), fleets.createJob({ submissionId: uuid.v7() }))).value.kind)
    await new Promise(resolve => { setTimeout(resolve, PAUSE_MS) })
  }
  fleet.store.store.faults = HEALTHY
  await fleet.stop()
  return kinds
}

describe('ownership during a store outage', () => {
  let outcomes: string[][]

  before(async () => { outcomes = await Promise.all(cases.map(async each => await submitThroughOutage(each.faults))) })

  cases.forEach((each, index) => {
    it(`completes every job while the store ${each.name}`, () => {
      expect(new Set(outcomes[index])).to.deep.equal(new Set(['complete']))
    })
  })
})
