import { expect } from 'chai'
import * as fc from 'fast-check'
import * as placement from '@egretvalve/placement'

const OPTIONS = placement.DEFAULT_EJECTION
const IDS = Array.from({ length: 10 }, (_, index) => `agent-${index}`)

function createEjection (): placement.Ejection {
  const ejection = new placement.Ejection(OPTIONS, () => {})
  for (const id of IDS) ejection.add(id)
  return ejection
}

function recordOutcomes (ejection: placement.Ejection, agentId: string, failed: boolean, count: number, nowMs = 0): void {
  for (let index = 0; index < count; index++) ejection.recordOutcome(agentId, failed, nowMs)
}

describe('Ejection', () => {
  it('ejects only the server that fails all tasks', () => {
    const ejection = createEjection()
    for (const id of IDS) recordOutcomes(ejection, id, id === 'agent-3', OPTIONS.minOutcomes)
    expect(IDS.filter(id => !ejection.accepts(id, 0))).to.deep.equal(['agent-3'])
  })

  it('ejects at most a third when all servers fail alike', () => {
    const ejection = createEjection()
    for (let round = 0; round < 20; round++) {
      for (const id of IDS) recordOutcomes(ejection, id, round % 2 === 0, 1)
    }
    expect(IDS.filter(id => !ejection.accepts(id, 0)).length).to.be.lessThan(4)
  })

  it('never ejects more than a third', () => {
    fc.assert(fc.property(fc.array(fc.tuple(fc.nat(9), fc.boolean()), { maxLength: 400 }), outcomes => {
      const ejection = createEjection()
      for (const [index, failed] of outcomes) ejection.recordOutcome(IDS[index]!, failed, 0)
      return IDS.filter(id => !ejection.accepts(id, 0)).length <= IDS.length / 3
    }), { seed: 5, numRuns: 200 })
  })

  it('readmits a server after trial tasks, one at a time', () => {
    const ejection = createEjection()
    recordOutcomes(ejection, 'agent-0', true, OPTIONS.minOutcomes)
    const afterMs = OPTIONS.firstEjectionMs
    expect(ejection.accepts('agent-0', afterMs - 1)).to.equal(false)
    for (let trial = 0; trial < OPTIONS.trialSuccesses; trial++) {
      expect(ejection.accepts('agent-0', afterMs)).to.equal(true)
      ejection.recordSent('agent-0')
      expect(ejection.accepts('agent-0', afterMs)).to.equal(false)
      ejection.recordOutcome('agent-0', false, afterMs)
    }
    expect(ejection.standingOf('agent-0', afterMs)).to.equal(placement.ServerStanding.Active)
  })

  it('doubles the ejection after a failed trial', () => {
    const ejection = createEjection()
    recordOutcomes(ejection, 'agent-0', true, OPTIONS.minOutcomes)
    expect(ejection.accepts('agent-0', OPTIONS.firstEjectionMs)).to.equal(true)
    ejection.recordOutcome('agent-0', true, OPTIONS.firstEjectionMs)
    expect(ejection.accepts('agent-0', OPTIONS.firstEjectionMs * 3 - 1)).to.equal(false)
    expect(ejection.accepts('agent-0', OPTIONS.firstEjectionMs * 3)).to.equal(true)
  })
})
