/** Refusal of jobs at arrival, and the retry time of refused callers. */
import { expect } from 'chai'
import * as fc from 'fast-check'
import * as scheduler from '@egretvalve/scheduler'

const STATE: scheduler.ArrivalState = { workAheadCoreMs: 0, cores: 100, expectedMs: 200, lagMs: 0, deadlineInMs: 1_500, latestUsefulStartMs: 1_500 }

describe('admission of jobs', () => {
  it('accepts jobs that can end before their deadline and refuses others, given the queued work and the entry\'s lag', () => {
    expect(scheduler.canServe(STATE)).to.equal(true)
    expect(scheduler.canServe({ ...STATE, workAheadCoreMs: 100 * 1_301 })).to.equal(false)
    expect(scheduler.canServe({ ...STATE, lagMs: 50 })).to.equal(true)
    expect(scheduler.canServe({ ...STATE, lagMs: 400 })).to.equal(false)
    expect(scheduler.canServe({ ...STATE, cores: 0 })).to.equal(false)
  })

  it('refuses a job that can end before its deadline but not start before its latest useful start', () => {
    expect(scheduler.canServe({ ...STATE, workAheadCoreMs: 100 * 700, latestUsefulStartMs: 700 })).to.equal(true)
    expect(scheduler.canServe({ ...STATE, workAheadCoreMs: 100 * 701, latestUsefulStartMs: 700 })).to.equal(false)
  })

  it('limits the wait of a job to less than half of its deadline and to the time for which its answer is useful', () => {
    expect(scheduler.latestUsefulStartMs(2_000, 10_000, 100)).to.equal(800)
    expect(scheduler.latestUsefulStartMs(2_000, 500, 100)).to.equal(550)
    expect(scheduler.latestUsefulStartMs(2_000, 100, 1_000)).to.equal(0)
  })

  it('never accepts a job with more queued work, a shorter deadline and more lag than one that it refuses', () => {
    fc.assert(fc.property(fc.nat(200_000), fc.nat(5_000), fc.nat(1_000), fc.nat(1_000), (workAhead, deadlineInMs, lagMs, more) => {
      const state = { ...STATE, workAhead, deadlineInMs, lagMs }
      const harder = { ...state, workAhead: workAhead + more, deadlineInMs: deadlineInMs - more, lagMs: lagMs + more }
      return scheduler.canServe(state) || !scheduler.canServe(harder)
    }))
  })

  it('jitters the retry time of refused callers around the expected wait, within bounds', () => {
    const options = { minRetryAfterMs: 1_000, maxRetryAfterMs: 8_000 }
    expect([0, 0.5, 1].map(random => scheduler.retryAfterMs(4_000, random, options))).to.deep.equal([2_000, 4_000, 6_000])
    expect(scheduler.retryAfterMs(0, 0.5, options)).to.equal(1_000)
    expect(scheduler.retryAfterMs(Number.POSITIVE_INFINITY, 0.5, options)).to.equal(8_000)
  })
})
