/** Log lines beyond the budget: jobs are written whole or not at all. */
import { expect } from 'chai'
import { LineBudget } from '../../../packages/settings/src/lineBudget.ts'

const LINES_PER_JOB = 8
const MAX_LINES_PER_S = 400

/** Writes lines of jobs at a rate for a time; returns the number of lines written of each job that began after `settledMs`. */
function writeJobs (jobsPerS: number, durationMs: number, settledMs: number): number[] {
  let nowMs = 0
  const budget = new LineBudget(MAX_LINES_PER_S, () => nowMs)
  const counts: number[] = []
  for (let number = 0; nowMs < durationMs; number++) {
    nowMs += 1_000 / jobsPerS
    let written = 0
    for (let line = 0; line < LINES_PER_JOB; line++) written += Number(budget.tryAcquire(`job-${number}`))
    if (nowMs > settledMs) counts.push(written)
  }
  return counts
}

describe('LineBudget', () => {
  it('writes all lines within the budget', () => {
    expect(new Set(writeJobs(30, 5_000, 0))).to.deep.equal(new Set([LINES_PER_JOB]))
  })

  it('writes some jobs whole beyond it, and keeps within it', () => {
    const counts = writeJobs(200, 5_000, 1_000)
    const whole = counts.filter(count => count === LINES_PER_JOB).length
    const partial = counts.filter(count => count > 0 && count < LINES_PER_JOB).length
    expect(partial / whole).to.be.lessThan(0.05)
    expect(whole * LINES_PER_JOB).to.be.within(0.5 * MAX_LINES_PER_S * 4, MAX_LINES_PER_S * 4)
  })

  it('writes a job that a busier process writes', () => {
    const written = (maxLinesPerS: number): Set<number> => {
      let nowMs = 0
      const budget = new LineBudget(maxLinesPerS, () => nowMs)
      const jobs = new Set<number>()
      for (let number = 0; number < 400; number++) {
        nowMs += 5
        if (budget.tryAcquire(`job-${number}`) && number > 100) jobs.add(number)
      }
      return jobs
    }
    const busy = written(40)
    const calm = written(100)
    expect(busy.size).to.be.greaterThan(0)
    expect([...busy].filter(job => !calm.has(job)).length).to.be.at.most(busy.size * 0.1)
  })

  it('prefers lines about no job and counts what it drops', () => {
    let nowMs = 0
    const budget = new LineBudget(40, () => nowMs)
    let other = 0
    for (let number = 0; number < 1_000; number++) {
      nowMs += 2
      budget.tryAcquire(`job-${number}`)
      if (number % 100 === 0) other += Number(budget.tryAcquire(undefined))
    }
    expect(other).to.equal(10)
    expect(budget.consumeDroppedCount()).to.be.greaterThan(900)
    expect(budget.consumeDroppedCount()).to.equal(0)
  })
})
