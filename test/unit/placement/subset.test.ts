import { expect } from 'chai'
import * as placement from '@egretvalve/placement'
import * as protocol from '@egretvalve/protocol'

const DOMAINS = ['a', 'b', 'c']
const ENTRIES = Array.from({ length: 12 }, (_, index) => ({ id: `entry-${index}`, failureDomain: DOMAINS[index % 3]! }))

describe('chooseSubset', () => {
  before(async () => { await protocol.loadHash() })

  it('returns all candidates when there are few', () => {
    expect(placement.chooseSubset('agent', ENTRIES.slice(0, 3), 4)).to.have.length(3)
  })

  it('covers all failure domains', () => {
    const chosen = placement.chooseSubset('agent', ENTRIES, 3)
    expect(new Set(chosen.map(entry => entry.failureDomain)).size).to.equal(3)
  })

  it('assigns each entry within 30% of the mean number of 800 agents', () => {
    const counts = new Map<string, number>()
    for (let agent = 0; agent < 800; agent++) {
      for (const entry of placement.chooseSubset(`agent-${agent}`, ENTRIES, 4)) counts.set(entry.id, (counts.get(entry.id) ?? 0) + 1)
    }
    const mean = 800 * 4 / ENTRIES.length
    for (const entry of ENTRIES) expect(counts.get(entry.id)).to.be.within(mean * 0.7, mean * 1.3)
  })

  it('keeps at least two of four candidates when one leaves', () => {
    const before = placement.chooseSubset('agent-1', ENTRIES, 4).map(entry => entry.id)
    const left = ENTRIES.filter(entry => entry.id !== before[0])
    const after = placement.chooseSubset('agent-1', left, 4).map(entry => entry.id)
    expect(after.filter(id => before.includes(id)).length).to.be.at.least(2)
  })
})
