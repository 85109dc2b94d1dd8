/** Guards against an entry that refuses jobs, or takes callers, by the few workers that it sees right after a start of the whole fleet. */
import { expect } from 'chai'
import * as scheduler from '@egretvalve/scheduler'

const START_MS = 1_000

describe('FleetGrowth', () => {
  it('counts the view as growing until no link or worker has been added for a while', () => {
    const growth = new scheduler.FleetGrowth(START_MS)
    growth.record(START_MS + 400, { agents: 2, workers: 1 })
    growth.record(START_MS + 600, { agents: 3, workers: 1 })
    growth.record(START_MS + 800, { agents: 3, workers: 2 })
    expect(growth.isGrowing(START_MS + 1_000)).to.equal(true)
    growth.record(START_MS + 1_050, { agents: 3, workers: 2 })
    expect(growth.isGrowing(START_MS + 1_050)).to.equal(false)
    expect(growth.hasGrownSince(START_MS + 1_000), 'a job that arrived before').to.equal(true)
    expect(growth.hasGrownSince(START_MS + 1_060)).to.equal(false)
  })

  it('ends after a bounded time, also while links trickle in, and does not begin again with a later link', () => {
    const growth = new scheduler.FleetGrowth(START_MS)
    let atMs = START_MS
    for (let agents = 1; agents < 30; agents++) growth.record(atMs += 100, { agents, workers: agents })
    expect(growth.isGrowing(START_MS + 1_500)).to.equal(false)
    growth.record(atMs += 1_000, { agents: 40, workers: 40 })
    expect(growth.isGrowing(atMs)).to.equal(false)
  })

  it('waits for a first worker for a bounded time, and again when all are lost', () => {
    const growth = new scheduler.FleetGrowth(START_MS)
    growth.record(START_MS, { agents: 0, workers: 0 })
    expect(growth.isGrowing(START_MS + 1_400)).to.equal(true)
    growth.record(START_MS + 1_600, { agents: 0, workers: 0 })
    expect(growth.isGrowing(START_MS + 1_600)).to.equal(false)
    growth.record(START_MS + 2_000, { agents: 5, workers: 5 })
    expect(growth.isGrowing(START_MS + 2_000)).to.equal(true)
    growth.record(START_MS + 3_000, { agents: 5, workers: 5 })
    growth.record(START_MS + 4_000, { agents: 0, workers: 0 })
    expect(growth.isGrowing(START_MS + 4_500)).to.equal(true)
  })
})
