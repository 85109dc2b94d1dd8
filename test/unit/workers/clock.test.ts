/** Guards against leases that a worker's clock places later than intended, and against ages that omit the suspension of a VM. */
import { expect } from 'chai'
import * as settings from '@egretvalve/settings'
import * as workers from '@egretvalve/workers'
import { SuspendableTimers } from '../../support/suspendableTimers.ts'

describe('clocks', () => {
  it('never run ahead of the worker\'s own clock', () => {
    const timers = new settings.FakeTimers()
    const clock = new workers.WorkerClock(timers)
    expect(clock.isKnown).to.equal(false)
    clock.update(50_000)
    timers.advance(300)
    expect(clock.timeAfter(700)).to.equal(51_000)
    // A delayed answer moves the estimate back, not ahead.
    timers.advance(100)
    clock.update(50_350)
    expect(clock.timeAfter(0)).to.equal(50_350)
  })

  it('include a VM suspension in an age, although the monotonic clock stops', () => {
    const timers = new SuspendableTimers()
    const age = new workers.Age(timers)
    timers.advance(100)
    expect(age.ms).to.equal(100)
    timers.suspendedMs = 4_000
    expect(age.ms).to.equal(4_100)
  })

  it('count suspensions but no backward step of the wall clock, and never go back', () => {
    const timers = new SuspendableTimers()
    const clock = new workers.ElapsedClock(timers)
    timers.advance(100)
    expect(clock.nowMs()).to.equal(100)
    timers.suspendedMs = 4_000
    expect(clock.nowMs()).to.equal(4_100)
    timers.suspendedMs = 1_000
    timers.advance(50)
    expect(clock.nowMs()).to.equal(4_150)
    timers.suspendedMs = 1_500
    expect(clock.nowMs()).to.equal(4_650)
  })
})
