/** Time-outs of the owners of an agent's tasks, and retention of ends that a broken link may have lost. */
import { expect } from 'chai'
import * as scheduler from '@egretvalve/scheduler'
import * as settings from '@egretvalve/settings'
import * as workers from '@egretvalve/workers'
import { END_RETENTION_MS, LIVENESS_CHECK_PERIOD_MS, OWNER_TIMEOUT_MS } from '../../../packages/fleet/src/defaults.ts'
import { Owners } from '../../../packages/fleet/src/owners.ts'

/** Time after which a caller that lost its answer resubmits the job, in milliseconds. */
const RESUBMIT_MS = 1_300

function createEnding (timers: settings.FakeTimers, owner: string): workers.TaskEnding {
  const order: workers.TaskOrder = { owner, task: { jobId: 'job', step: 0, index: 0 }, attempt: 1, spec: '', size: workers.NO_SIZE, estimatedMs: 1, age: new workers.Age(timers), expiresAfterMs: 1 }
  return { order, end: workers.TaskEnd.Done, runMs: 1, reason: '', deferral: workers.ReportDeferral.None }
}

describe('Owners', () => {
  it('reports an owner as unresponsive before a caller resubmits its job', () => {
    const timers = new settings.FakeTimers()
    const owners = new Owners(timers)
    owners.recordMessage('entry-1')
    owners.recordMessage('entry-2')
    timers.advance(OWNER_TIMEOUT_MS - 100)
    owners.recordMessage('entry-2')
    expect(owners.sweep()).to.deep.equal([])
    timers.advance(101)
    expect(owners.sweep()).to.deep.equal(['entry-1'])
    expect(OWNER_TIMEOUT_MS * workers.DEFAULT_WORKER_OPTIONS.clockDrift + 50).to.be.lessThan(RESUBMIT_MS)
  })

  it('has stopped runs and let leases expire before the entry treats the agent as lost, with clock drift', () => {
    const { leaseMs, clockDrift } = workers.DEFAULT_WORKER_OPTIONS
    const stopMs = 50
    expect(scheduler.DEFAULT_SCHEDULER.lostAfterMs).to.be.at.least((OWNER_TIMEOUT_MS + LIVENESS_CHECK_PERIOD_MS + leaseMs) * clockDrift + stopMs)
  })

  it('returns ends only within their retention time', () => {
    const timers = new settings.FakeTimers()
    const owners = new Owners(timers)
    owners.recordMessage('entry-1')
    owners.retainEnd(createEnding(timers, 'entry-1'))
    timers.advance(END_RETENTION_MS - 100)
    owners.recordMessage('entry-1')
    owners.sweep()
    expect(owners.retainedEnds('entry-1')).to.have.length(1)
    timers.advance(200)
    owners.sweep()
    expect(owners.retainedEnds('entry-1')).to.deep.equal([])
    expect(owners.retainedEnds('entry-2')).to.deep.equal([])
  })
})
