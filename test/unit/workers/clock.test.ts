/** Clocks of workers, and ages across the suspension of a VM. */
import { expect } from 'chai'
import * as settings from '@egretvalve/settings'
import * as workers from '@egretvalve/workers'

/** Timers whose steady clock stands still while the VM is suspended. */
class SuspendableTimers extends settings.FakeTimers {
  suspendedMs = 0

  override wallClockMs (): number {
    return super.wallClockMs() + this.suspendedMs
  }
}

describe('clocks', () => {
  it('never place a lease beyond the worker\'s own time', () => {
    const timers = new settings.FakeTimers()
    const clock = new workers.WorkerClock(timers)
    expect(clock.isKnown).to.equal(false)
    clock.note(50_000)
    timers.advance(300)
    expect(clock.at(700)).to.equal(51_000)
    // An answer that was long on its way makes the estimate earlier, not later.
    timers.advance(100)
    clock.note(50_350)
    expect(clock.at(0)).to.equal(50_350)
  })

  it('count an age through a suspension, which the steady clock does not see', () => {
    const timers = new SuspendableTimers()
    const age = new workers.Age(timers)
    timers.advance(100)
    expect(age.ms).to.equal(100)
    timers.suspendedMs = 4_000
    expect(age.ms).to.equal(4_100)
  })
})
