/** Admission of jobs at an entry during a planned stop. */
import { expect } from 'chai'
import * as scheduler from '@egretvalve/scheduler'

describe('jobs that arrive during a planned stop', () => {
  it('are accepted at first unless they are likely to outlast it', () => {
    expect(scheduler.canAcceptDuringStop({ sinceStopMs: 200, untilEndMs: 5_300, estimatedMs: 2_000 })).to.equal(true)
    expect(scheduler.canAcceptDuringStop({ sinceStopMs: 200, untilEndMs: 5_300, estimatedMs: 4_000 })).to.equal(false)
  })

  it('are accepted later only when they are certain to end, even with far more work than estimated', () => {
    expect(scheduler.canAcceptDuringStop({ sinceStopMs: 3_200, untilEndMs: 2_300, estimatedMs: 300 })).to.equal(false)
    expect(scheduler.canAcceptDuringStop({ sinceStopMs: 3_200, untilEndMs: 2_300, estimatedMs: 70 })).to.equal(true)
  })
})
