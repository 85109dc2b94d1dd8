/** Refusal at arrival, and the time at which refused callers return. */
import { expect } from 'chai'
import * as fc from 'fast-check'
import * as scheduler from '@egretvalve/scheduler'

const STATE: scheduler.ArrivalState = { workAhead: 0, cores: 100, expectedMs: 200, lagMs: 0, deadlineInMs: 1_500, startLimitMs: 1_500 }

describe('admission of jobs', () => {
  it('takes what can end in time and refuses what can not, for work ahead and for an entry that is behind', () => {
    expect(scheduler.canServe(STATE)).to.equal(true)
    expect(scheduler.canServe({ ...STATE, workAhead: 100 * 1_301 })).to.equal(false)
    expect(scheduler.canServe({ ...STATE, lagMs: 50 })).to.equal(true)
    expect(scheduler.canServe({ ...STATE, lagMs: 400 })).to.equal(false)
    expect(scheduler.canServe({ ...STATE, cores: 0 })).to.equal(false)
  })

  it('refuses what could end in time but not start in useful time', () => {
    expect(scheduler.canServe({ ...STATE, workAhead: 100 * 700, startLimitMs: 700 })).to.equal(true)
    expect(scheduler.canServe({ ...STATE, workAhead: 100 * 701, startLimitMs: 700 })).to.equal(false)
  })

  it('lets a job wait for less than half of its caller\'s time, and not beyond the use of its answer', () => {
    expect(scheduler.startLimitMs(2_000, 10_000, 100)).to.equal(800)
    expect(scheduler.startLimitMs(2_000, 500, 100)).to.equal(550)
    expect(scheduler.startLimitMs(2_000, 100, 1_000)).to.equal(0)
  })

  it('never takes more when there is more work ahead, less time or more lag', () => {
    fc.assert(fc.property(fc.nat(200_000), fc.nat(5_000), fc.nat(1_000), fc.nat(1_000), (workAhead, deadlineInMs, lagMs, more) => {
      const state = { ...STATE, workAhead, deadlineInMs, lagMs }
      const harder = { ...state, workAhead: workAhead + more, deadlineInMs: deadlineInMs - more, lagMs: lagMs + more }
      return scheduler.canServe(state) || !scheduler.canServe(harder)
    }))
  })

  it('spreads the return of refused callers around the wait, within bounds', () => {
    const options = { minRetryAfterMs: 1_000, maxRetryAfterMs: 8_000 }
    expect([0, 0.5, 1].map(random => scheduler.retryAfterMs(4_000, random, options))).to.deep.equal([2_000, 4_000, 6_000])
    expect(scheduler.retryAfterMs(0, 0.5, options)).to.equal(1_000)
    expect(scheduler.retryAfterMs(Number.POSITIVE_INFINITY, 0.5, options)).to.equal(8_000)
  })
})
