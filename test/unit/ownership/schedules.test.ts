import { expect } from 'chai'
import { searchSchedules } from './simSearch.ts'

const FIRST_SEED = 1
const SCHEDULES = 20_000
const THREADS = 8

describe('random schedules of ownership', () => {
  it('violate no guarantee under pauses, network cuts, store outages, crashes, joins and planned stops', async () => {
    const totals = await searchSchedules({ firstSeed: FIRST_SEED, count: SCHEDULES }, THREADS)
    expect(totals.findings).to.deep.equal([])
    expect(totals.schedules).to.equal(SCHEDULES)
    expect(totals.answers.complete).to.be.greaterThan(SCHEDULES)
  })
})
