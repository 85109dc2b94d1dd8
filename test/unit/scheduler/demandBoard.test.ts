/** What agents are told of waiting tasks. */
import { expect } from 'chai'
import * as scheduler from '@egretvalve/scheduler'
import type * as workers from '@egretvalve/workers'

const SIZE: workers.RunSize = { cpuMilli: 3_000, memoryMb: 64, accelerators: 0 }
const DEMAND: workers.Demand = { rank: 0, latestStartAtMs: 100, size: SIZE, count: 8 }

interface Told {
  agentId: string
  demand: workers.Demand | undefined
}

function createAgents (count: number, told: Told[]): scheduler.AgentRecord[] {
  const total = { cpuMilli: 32_000, memoryMb: 1_024, accelerators: 0 }
  const load: scheduler.ReportedLoad = { isPresent: true, isDraining: false, service: 'spares', total, free: total, labels: [], waiting: 0, pace: 0, received: 0 }
  const agents = new scheduler.Agents()
  for (let number = 0; number < count; number++) {
    const agentId = `agent-${number}`
    agents.connect({ agentId, life: 'life', failureDomain: 'a', silentMs: () => 0, order: () => {}, stop: () => {}, tellDemand: demand => { told.push({ agentId, demand }) } }, load)
  }
  return [...agents.all]
}

describe('the demand of an entry', () => {
  it('is told when it begins, when it becomes more urgent, and when it ends', () => {
    const told: Told[] = []
    const agents = createAgents(1, told)
    const board = new scheduler.DemandBoard(() => 0.5)
    board.tell('spares', DEMAND, agents, 0)
    board.tell('spares', { ...DEMAND, latestStartAtMs: 110 }, agents, 20)
    board.tell('spares', { ...DEMAND, latestStartAtMs: 60 }, agents, 40)
    board.tell('spares', { ...DEMAND, rank: 256, latestStartAtMs: 60 }, agents, 60)
    board.tell('spares', undefined, agents, 61)
    board.tell('spares', undefined, agents, 80)
    expect(told.map(({ demand }) => demand?.rank)).to.deep.equal([0, 0, 256, undefined])
    expect(board.demanded).to.deep.equal([])
  })

  it('is repeated before agents forget it', () => {
    const told: Told[] = []
    const agents = createAgents(1, told)
    const board = new scheduler.DemandBoard(() => 0.5)
    for (let atMs = 0; atMs < 1_000; atMs += 10) board.tell('spares', DEMAND, agents, atMs)
    expect(told).to.have.length(10)
  })

  it('goes to a bounded number of agents, which hear of its end', () => {
    const told: Told[] = []
    const agents = createAgents(76, told)
    const board = new scheduler.DemandBoard(() => 0.5)
    board.tell('spares', DEMAND, agents, 0)
    const first = told.splice(0)
    expect(first).to.have.length(16)
    board.tell('spares', undefined, agents, 10)
    expect(told.map(({ agentId }) => agentId)).to.have.members(first.map(({ agentId }) => agentId))
  })
})
