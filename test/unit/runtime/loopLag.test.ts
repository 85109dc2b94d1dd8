/** Guards against reporting overload after a single stall, and against missing lasting overload. */
import { expect } from 'chai'
import * as runtime from '@egretvalve/runtime'
import * as settings from '@egretvalve/settings'

const PERIOD_MS = 50

/** Fake timers whose periodic callback fires only on `fireLate`. */
class LateTimers extends settings.FakeTimers {
  private late: () => void = () => {}

  override every (_periodMs: number, callback: () => void): settings.TimerHandle {
    this.late = callback
    return { cancel: () => {} }
  }

  /** Advances by one period plus `lateMs` and fires the periodic callback. */
  fireLate (lateMs: number): void {
    this.advance(PERIOD_MS + lateMs)
    this.late()
  }
}

describe('LoopLag', () => {
  it('ignores a single stall, both during and after it', () => {
    const timers = new LateTimers()
    const lag = new runtime.LoopLag(timers)
    timers.fireLate(0)
    timers.advance(PERIOD_MS + 1_200)
    expect(lag.valueMs).to.equal(0)
    timers.fireLate(0)
    timers.fireLate(0)
    expect(lag.valueMs).to.equal(0)
  })

  it('reports repeatedly late timers and falls once they are punctual', () => {
    const timers = new LateTimers()
    const lag = new runtime.LoopLag(timers)
    timers.fireLate(300)
    timers.fireLate(200)
    expect(lag.valueMs).to.equal(200)
    for (let samples = 0; samples < 20; samples++) timers.fireLate(0)
    expect(lag.valueMs).to.be.lessThan(1)
  })
})
