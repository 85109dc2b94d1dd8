import { expect } from 'chai'
import * as settings from '@egretvalve/settings'
import { RunTimeRatioEstimate } from '../../../packages/workers/src/runTimeRatio.ts'

describe('RunTimeRatioEstimate', () => {
  it('ignores jobs whose estimate is off by more than any rough one', () => {
    const timers = new settings.FakeTimers()
    const estimate = new RunTimeRatioEstimate(timers)
    for (let number = 0; number < 4; number++) {
      estimate.recordFinished(`low-${number}`, 60, 1e-300)
      estimate.recordFinished(`high-${number}`, 60, 1e300)
      estimate.recordRunning(`running-${number}`, 60, 1e-300, 1)
    }
    expect(estimate.value).to.equal(0)
    timers.advance(200)
    for (let number = 0; number < 3; number++) estimate.recordFinished(`good-${number}`, 120, 60)
    expect(estimate.value).to.be.closeTo(2, 1e-9)
  })
})
