/** The order in which waiting jobs get capacity. */
import { expect } from 'chai'
import * as scheduler from '@egretvalve/scheduler'

const NOW_MS = 1_000

function createKey (changes: Partial<scheduler.OrderKey> = {}): scheduler.OrderKey {
  return { priority: 1, dueAtMs: NOW_MS + 200, usefulUntilMs: NOW_MS + 600, remainingMs: 100, hasStarted: false, ...changes }
}

describe('the order of waiting jobs', () => {
  it('puts a started job that has become late before a job that can still wait', () => {
    const started = createKey({ priority: 0, dueAtMs: NOW_MS + 50, hasStarted: true })
    const fresh = createKey()
    expect(scheduler.compareJobs(started, fresh, NOW_MS)).to.be.lessThan(0)
    expect(scheduler.compareJobs({ ...started, hasStarted: false }, fresh, NOW_MS)).to.be.greaterThan(0)
  })

  it('puts jobs whose answer would be too late to be useful after late ones, whatever their priority', () => {
    const tooLate = createKey({ priority: 0, dueAtMs: NOW_MS - 500, usefulUntilMs: NOW_MS + 50, hasStarted: true })
    const late = createKey({ priority: 2, dueAtMs: NOW_MS + 50 })
    expect(scheduler.compareJobs(late, tooLate, NOW_MS)).to.be.lessThan(0)
  })

  it('orders jobs that are on time by their latest start, with a head start for urgent ones', () => {
    const keys = [createKey({ priority: 2 }), createKey({ dueAtMs: NOW_MS + 300 }), createKey({ remainingMs: 150 }), createKey({ priority: 0, dueAtMs: NOW_MS + 220 })]
    const sorted = [...keys].sort((left, right) => scheduler.compareJobs(left, right, NOW_MS))
    expect(sorted.map(key => keys.indexOf(key))).to.deep.equal([2, 3, 0, 1])
  })

  it('ranks late jobs after all that are on time, by priority', () => {
    const late = createKey({ dueAtMs: NOW_MS })
    const ranks = [createKey({ priority: 5 }), { ...late, priority: 0 }, late].map(key => scheduler.rankOf(key, NOW_MS))
    expect([...ranks].sort((left, right) => left - right)).to.deep.equal(ranks)
    expect(new Set(ranks).size).to.equal(3)
  })
})
