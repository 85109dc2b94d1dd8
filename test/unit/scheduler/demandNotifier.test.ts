/** Demands sent to agents for tasks that wait for capacity. */
import { expect } from 'chai'
import * as scheduler from '@egretvalve/scheduler'
import type * as workers from '@egretvalve/workers'

const SIZE: workers.RunSize = { cpuMilli: 3_000, memoryMb: 64, accelerators: 0 }
const DEMAND: workers.Demand = { rank: 0, latestStartAtMs: 100, size: SIZE, count: 8 }

interface SentDemand {
  agentId: string
  demand: workers.Demand | undefined
}

function createAgents (count: number, sent: SentDemand[]): scheduler.AgentRecord[] {
  const total = { cpuMilli: 32_000, memoryMb: 1_024, accelerators: 0 }
  const load: scheduler.ReportedLoad = { isPresent: true, isDraining: false, service: 'spares', total, free: total, labels: [], waiting: 0, hasSuspect: false, runTimeRatio: 0, received: 0 }
  const agents = new scheduler.Agents()
  for (let number = 0; number < count; number++) {
    const agentId = `agent-${number}`
    agents.connect({ agentId, incarnation: 'life', failureDomain: 'a', sinceLastMessageMs: () => 0, sendTask: () => {}, stop: () => {}, sendDemand: demand => { sent.push({ agentId, demand }) } }, load)
  }
  return [...agents.all]
}

describe('the demand of an entry', () => {
  it('is sent when it begins, when its urgency changes, and when it ends', () => {
    const sent: SentDemand[] = []
    const agents = createAgents(1, sent)
    const notifier = new scheduler.DemandNotifier(() => 0.5)
    notifier.notify('spares', DEMAND, agents, 0)
    notifier.notify('spares', { ...DEMAND, latestStartAtMs: 110 }, agents, 20)
    notifier.notify('spares', { ...DEMAND, latestStartAtMs: 60 }, agents, 40)
    notifier.notify('spares', { ...DEMAND, rank: 256, latestStartAtMs: 60 }, agents, 60)
    notifier.notify('spares', undefined, agents, 61)
    notifier.notify('spares', undefined, agents, 80)
    expect(sent.map(({ demand }) => demand?.rank)).to.deep.equal([0, 0, 256, undefined])
    expect(notifier.demandedServices).to.deep.equal([])
  })

  it('is repeated before agents drop it', () => {
    const sent: SentDemand[] = []
    const agents = createAgents(1, sent)
    const notifier = new scheduler.DemandNotifier(() => 0.5)
    for (let atMs = 0; atMs < 1_000; atMs += 10) notifier.notify('spares', DEMAND, agents, atMs)
    expect(sent).to.have.length(10)
  })

  it('is sent to a bounded number of agents, and its end to the same ones', () => {
    const sent: SentDemand[] = []
    const agents = createAgents(76, sent)
    const notifier = new scheduler.DemandNotifier(() => 0.5)
    notifier.notify('spares', DEMAND, agents, 0)
    const first = sent.splice(0)
    expect(first).to.have.length(16)
    notifier.notify('spares', undefined, agents, 10)
    expect(sent.map(({ agentId }) => agentId)).to.have.members(first.map(({ agentId }) => agentId))
  })
})
