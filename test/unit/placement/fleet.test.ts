import { expect } from 'chai'
import * as fc from 'fast-check'
import * as placement from '@egretvalve/placement'

const SERVICE = 'spares-shop'

function createFleet (ownFailureDomain = 'attica-a', seed = 7): placement.FleetView {
  return new placement.FleetView(ownFailureDomain, { ...placement.DEFAULT_PLACEMENT, seed }, placement.DEFAULT_EJECTION, () => {})
}

function connect (fleet: placement.FleetView, agentId: string, freeSlots: number, failureDomain = 'attica-a'): placement.AgentView {
  const total = { slots: 8, connections: 64, cores: 30, memoryMb: 128_000 }
  const free = { slots: freeSlots, connections: 64, cores: 30, memoryMb: 128_000 }
  return fleet.connect(agentId, failureDomain, { service: SERVICE, freeSlots, free, total }, 0)
}

function chooseOne (fleet: placement.FleetView, nowMs = 0, excludedAgentIds?: Set<string>): string | undefined {
  return fleet.choose({ service: SERVICE, wanted: placement.ONE_SLOT, count: 1, excludedAgentIds }, nowMs)[0]?.agentId
}

describe('FleetView.choose', () => {
  it('prefers the least loaded server, and its own failure domain among equals', () => {
    const fleet = createFleet()
    connect(fleet, 'busy', 2)
    connect(fleet, 'far', 6, 'attica-b')
    connect(fleet, 'near', 6)
    expect([chooseOne(fleet), chooseOne(fleet), chooseOne(fleet)]).to.deep.equal(['near', 'far', 'near'])
  })

  it('never sends more tasks than there are free slots', () => {
    fc.assert(fc.property(fc.array(fc.integer({ min: 0, max: 8 }), { minLength: 1, maxLength: 12 }), fc.integer({ min: 1, max: 100 }), (free, count) => {
      const fleet = createFleet()
      free.forEach((slots, index) => connect(fleet, `agent-${index}`, slots))
      const placed = fleet.choose({ service: SERVICE, wanted: placement.ONE_SLOT, count }, 0)
      for (const { agentId, count: sent } of placed) {
        if (sent > free[Number(agentId.slice('agent-'.length))]!) return false
      }
      const total = free.reduce((sum, slots) => sum + slots, 0)
      return placed.reduce((sum, each) => sum + each.count, 0) === Math.min(count, total)
    }), { seed: 11, numRuns: 300 })
  })

  it('counts tasks in transit until the agent reports that it received them', () => {
    const fleet = createFleet()
    const view = connect(fleet, 'only', 1)
    expect(chooseOne(fleet)).to.equal('only')
    expect(chooseOne(fleet)).to.equal(undefined)
    view.applyLoad({ freeSlots: 1, total: { slots: 8 }, receivedTasks: 0 }, 1)
    expect(chooseOne(fleet, 1)).to.equal(undefined)
    view.applyLoad({ freeSlots: 1, total: { slots: 8 }, receivedTasks: 1 }, 2)
    expect(chooseOne(fleet, 2)).to.equal('only')
  })

  it('prefers a recent report to an older one with slightly more free slots', () => {
    const fleet = createFleet()
    connect(fleet, 'old', 5)
    const fresh = connect(fleet, 'fresh', 0)
    connect(fleet, 'full', 0)
    fresh.applyLoad({ freeSlots: 4, total: { slots: 8 } }, 2_000)
    expect(chooseOne(fleet, 2_000)).to.equal('fresh')
  })

  it('skips draining and excluded servers', () => {
    const fleet = createFleet()
    connect(fleet, 'draining', 8).applyLoad({ freeSlots: 8, draining: true, total: { slots: 8 } }, 0)
    connect(fleet, 'failed', 8)
    connect(fleet, 'left', 1)
    expect(chooseOne(fleet, 0, new Set(['failed']))).to.equal('left')
  })

  it('counts the memory of tasks in transit', () => {
    const fleet = createFleet()
    connect(fleet, 'only', 8)
    const wanted = { ...placement.ONE_SLOT, memoryMb: 50_000 }
    const placed = fleet.choose({ service: SERVICE, wanted, count: 8 }, 0)
    expect(placed).to.deep.equal([{ agentId: 'only', count: 2 }])
    expect(fleet.choose({ service: SERVICE, wanted, count: 1 }, 0)).to.deep.equal([])
  })
})

describe('FleetView.explainUnplaceable', () => {
  it('states the required capacity and the largest available one', () => {
    const fleet = createFleet()
    connect(fleet, 'full', 0)
    expect(fleet.explainUnplaceable(SERVICE, { ...placement.ONE_SLOT, cores: 64 }))
      .to.equal('no backend server of spares-shop is large enough: wanted cores 64 (most 30)')
    expect(fleet.explainUnplaceable(SERVICE, { ...placement.ONE_SLOT, cores: 30 })).to.equal(undefined)
  })
})
