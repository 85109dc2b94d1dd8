/** How far a process is behind, by its timers. */
import { expect } from 'chai'
import * as runtime from '@egretvalve/runtime'
import * as settings from '@egretvalve/settings'

const PERIOD_MS = 50

/** A timer service whose periodic timer fires when the test says so. */
class LateTimers extends settings.FakeTimers {
  private late: () => void = () => {}

  override every (_periodMs: number, callback: () => void): settings.TimerHandle {
    this.late = callback
    return { cancel: () => {} }
  }

  /** Lets the periodic timer fire once, late. */
  fireLate (lateMs: number): void {
    this.advance(PERIOD_MS + lateMs)
    this.late()
  }
}

describe('the lag of the event loop', () => {
  it('does not count a single stall, during it or after', () => {
    const timers = new LateTimers()
    const lag = new runtime.LoopLag(timers)
    timers.fireLate(0)
    timers.advance(PERIOD_MS + 1_200)
    expect(lag.valueMs).to.equal(0)
    timers.fireLate(0)
    timers.fireLate(0)
    expect(lag.valueMs).to.equal(0)
  })

  it('counts timers that are late again and again, and falls when they are not', () => {
    const timers = new LateTimers()
    const lag = new runtime.LoopLag(timers)
    timers.fireLate(300)
    timers.fireLate(200)
    expect(lag.valueMs).to.equal(200)
    for (let samples = 0; samples < 20; samples++) timers.fireLate(0)
    expect(lag.valueMs).to.be.lessThan(1)
  })
})
