import { expect } from 'chai'
import * as settings from '@egretvalve/settings'
import { SpeedEstimate } from '../../../packages/scheduler/src/speed.ts'

describe('SpeedEstimate', () => {
  for (const ratio of [1e300, 1e-300, Number.MAX_VALUE, Number.NaN, Number.POSITIVE_INFINITY]) {
    it(`takes a run-time ratio of ${ratio} for unknown`, () => {
      const speeds = new SpeedEstimate(new settings.FakeTimers())
      speeds.record('odd', ratio)
      expect(speeds.expectedMs(60)).to.equal(60)
      speeds.record('good', 2)
      expect([speeds.expectedMs(60), speeds.factorOf('odd'), speeds.factorOf('good')]).to.deep.equal([120, 1, 1])
    })
  }

  // Guards against an entry that refuses every job for good: the workers were slow at the start, and without runs no agent reports another ratio.
  it('forgets the ratios of workers that do not report any more', () => {
    const timers = new settings.FakeTimers()
    const speeds = new SpeedEstimate(timers)
    for (const agentId of ['a', 'b', 'c']) speeds.record(agentId, agentId === 'a' ? 90 : 30)
    expect([speeds.expectedMs(60), speeds.factorOf('a')]).to.deep.equal([1_800, 3])
    timers.advance(4_000)
    speeds.record('b', 2)
    expect(speeds.expectedMs(60)).to.equal(1_800)
    timers.advance(1_001)
    expect([speeds.expectedMs(60), speeds.factorOf('a')]).to.deep.equal([120, 1])
    timers.advance(5_001)
    expect(speeds.expectedMs(60)).to.equal(60)
  })
})
