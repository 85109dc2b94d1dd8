/** Leases of the owners of an agent's tasks, and retention of ends that a broken link may have lost. */
import { expect } from 'chai'
import * as scheduler from '@egretvalve/scheduler'
import * as settings from '@egretvalve/settings'
import * as workers from '@egretvalve/workers'
import { END_RETENTION_MS, LIVENESS_CHECK_PERIOD_MS, OWNER_LEASE_MS, OWNER_LEASE_STOP_MARGIN_MS } from '../../../packages/fleet/src/defaults.ts'
import { Owners } from '../../../packages/fleet/src/owners.ts'
import { SuspendableTimers } from '../../support/suspendableTimers.ts'

/** Time after which a caller that lost its answer resubmits the job, in milliseconds. */
const RESUBMIT_MS = 1_300
/** Time that a stop takes, in milliseconds. */
const STOP_MS = 50
const { clockDrift } = workers.DEFAULT_WORKER_OPTIONS

function createEnding (timers: settings.FakeTimers, owner: string): workers.TaskEnding {
  const order: workers.TaskOrder = { owner, task: { jobId: 'job', step: 0, index: 0 }, attempt: 1, queue: 'queue', spec: '', size: workers.NO_SIZE, estimatedMs: 1, crashes: 0, observationMs: 0, age: new workers.Age(timers), expiresAfterMs: 1 }
  return { order, end: workers.TaskEnd.Done, runMs: 1, reason: '', deferredForMs: 0 }
}

function createOwners (timers: settings.FakeTimers = new settings.FakeTimers()): { timers: settings.FakeTimers, clock: workers.ElapsedClock, owners: Owners } {
  const clock = new workers.ElapsedClock(timers)
  return { timers, clock, owners: new Owners(timers, clock) }
}

describe('Owners', () => {
  it('ends the lease of an owner, and all runs under it, before a caller resubmits its job', () => {
    const { timers, clock, owners } = createOwners()
    owners.recordMessage('entry-1', clock.nowMs())
    owners.recordMessage('entry-2', clock.nowMs())
    timers.advance(OWNER_LEASE_MS - OWNER_LEASE_STOP_MARGIN_MS - 100)
    owners.recordMessage('entry-2', clock.nowMs())
    expect(owners.sweep()).to.deep.equal([])
    timers.advance(101)
    expect(owners.sweep()).to.deep.equal(['entry-1'])
    expect(OWNER_LEASE_MS * clockDrift + STOP_MS).to.be.lessThan(RESUBMIT_MS)
  })

  it('asks for the stop of runs early enough for them to end within the lease', () => {
    expect(OWNER_LEASE_STOP_MARGIN_MS).to.be.at.least(LIVENESS_CHECK_PERIOD_MS + STOP_MS)
  })

  it('has ended the lease, with clock drift, and all runs before the entry treats the agent as lost', () => {
    expect(scheduler.DEFAULT_SCHEDULER.lostAfterMs).to.be.at.least(OWNER_LEASE_MS * clockDrift + STOP_MS)
  })

  it('counts a message from the time that it returns, however late it is read', () => {
    const { timers, clock, owners } = createOwners()
    const heardAtMs = clock.nowMs()
    timers.advance(3_000)
    owners.recordMessage('entry-1', heardAtMs)
    expect(owners.remainingMs('entry-1')).to.equal(OWNER_LEASE_MS - 3_000)
  })

  it('is not set back by an earlier time, nor ahead by one of the future', () => {
    const { timers, clock, owners } = createOwners()
    timers.advance(500)
    owners.recordMessage('entry-1', clock.nowMs())
    owners.recordMessage('entry-1', 100)
    expect(owners.remainingMs('entry-1')).to.equal(OWNER_LEASE_MS)
    owners.recordMessage('entry-1', Number.POSITIVE_INFINITY)
    owners.recordMessage('entry-1', Number.NaN)
    expect(owners.remainingMs('entry-1')).to.equal(OWNER_LEASE_MS)
  })

  it('counts the time for which the VM was suspended', () => {
    const timers = new SuspendableTimers()
    const { clock, owners } = createOwners(timers)
    owners.recordMessage('entry-1', clock.nowMs())
    timers.suspendedMs += 3_000
    expect(owners.remainingMs('entry-1')).to.equal(OWNER_LEASE_MS - 3_000)
    expect(owners.sweep()).to.deep.equal(['entry-1'])
  })

  it('knows no lease of an entry that has sent nothing', () => {
    expect(createOwners().owners.remainingMs('entry-1')).to.be.at.most(0)
  })

  it('returns ends only within their retention time', () => {
    const { timers, clock, owners } = createOwners()
    owners.recordMessage('entry-1', clock.nowMs())
    owners.retainEnd(createEnding(timers, 'entry-1'))
    timers.advance(END_RETENTION_MS - 100)
    owners.recordMessage('entry-1', clock.nowMs())
    owners.sweep()
    expect(owners.retainedEnds('entry-1')).to.have.length(1)
    timers.advance(200)
    owners.sweep()
    expect(owners.retainedEnds('entry-1')).to.deep.equal([])
    expect(owners.retainedEnds('entry-2')).to.deep.equal([])
  })
})
