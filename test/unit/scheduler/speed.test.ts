import { expect } from 'chai'
import { SpeedEstimate } from '../../../packages/scheduler/src/speed.ts'

describe('SpeedEstimate', () => {
  for (const ratio of [1e300, 1e-300, Number.MAX_VALUE, Number.NaN, Number.POSITIVE_INFINITY]) {
    it(`takes a run-time ratio of ${ratio} for unknown`, () => {
      const speeds = new SpeedEstimate()
      speeds.record('odd', ratio)
      expect(speeds.expectedMs(60)).to.equal(60)
      speeds.record('good', 2)
      expect([speeds.expectedMs(60), speeds.factorOf('odd'), speeds.factorOf('good')]).to.deep.equal([120, 1, 1])
    })
  }
})
