/** Guards against leases that a worker's clock places later than intended, and against ages that omit the suspension of a VM. */
import { expect } from 'chai'
import * as settings from '@egretvalve/settings'
import * as workers from '@egretvalve/workers'
import { SuspendableTimers } from '../../support/suspendableTimers.ts'

describe('clocks', () => {
  it('never run ahead of the worker\'s own clock, also if that one is slow', () => {
    const timers = new settings.FakeTimers()
    const clock = new workers.WorkerClock(timers, 1.03)
    expect(clock.isKnown).to.equal(false)
    clock.update(50_000)
    timers.advance(309)
    expect(clock.timeAfter(700)).to.equal(51_000)
    // A delayed answer changes nothing, a new one moves the estimate forward.
    clock.update(50_250)
    expect(clock.timeAfter(0)).to.equal(50_300)
    clock.update(50_305)
    expect(clock.timeAfter(0)).to.equal(50_305)
    timers.advance(60_000)
    expect(clock.timeAfter(0)).to.be.below(50_305 + 60_000 * 0.98)
  })

  it('follow reports, but none that is later than the worker\'s clock can be', () => {
    const timers = new settings.FakeTimers()
    const clock = new workers.WorkerClock(timers, 1.03)
    clock.update(50_000)
    timers.advance(10_000)
    clock.updateFromReport(59_900)
    expect(clock.timeAfter(0)).to.equal(59_900)
    clock.updateFromReport(70_000)
    expect(clock.timeAfter(0)).to.equal(59_900)
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
