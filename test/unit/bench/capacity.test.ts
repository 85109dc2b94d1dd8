import { readFileSync } from 'node:fs'
import { expect } from 'chai'
import * as fc from 'fast-check'
import * as bench from '@egretvalve/bench'

function readReport (): bench.SlopeReport {
  return JSON.parse(readFileSync('docs/capacity/slopes.json', 'utf8')) as bench.SlopeReport
}

describe('docs/CAPACITY.md', () => {
  it('matches the report it was generated from', () => {
    const page = readFileSync('docs/CAPACITY.md', 'utf8')
    const report = readReport()
    for (const section of Object.values(bench.PageSection)) {
      expect(page, section).to.include(`<!-- begin ${section} -->\n\n${bench.formatSection(section, report)}\n\n<!-- end ${section} -->`)
    }
    expect(bench.fillPage(page, report)).to.equal(page)
  })

  it('was generated from series whose lines fit their points', () => {
    for (const series of readReport().series) expect(bench.fitLine(series.points), series.name).to.deep.equal(series.line)
  })
})

describe('capacity at the target size', () => {
  for (const row of bench.createCapacityRows(readReport()).filter(candidate => candidate.limit !== undefined)) {
    it(`keeps ${row.role}, ${row.cost} within its limit`, () => {
      expect(row.figure).to.be.at.most(row.limit!)
    })
  }

  for (const phase of readReport().storePhases) {
    it(`keeps the store within its rates: ${phase.phase}`, () => {
      expect(phase.peakReads).to.be.at.most(bench.LIMITS.storeReadsPerSecond)
      expect(phase.peakWrites).to.be.at.most(bench.LIMITS.storeWritesPerSecond)
      expect(phase.refusedCalls).to.equal(0)
    })
  }
})

describe('fitLine', () => {
  it('recovers the line from points that lie on it', () => {
    const whole = fc.integer({ min: -1_000, max: 1_000 })
    fc.assert(fc.property(whole, whole, fc.uniqueArray(whole, { minLength: 3, maxLength: 12 }), (intercept, slope, xs) => {
      const line = bench.fitLine(xs.map(x => ({ x, y: intercept + slope * x })))
      expect(line.slope).to.be.closeTo(slope, 1e-6)
      expect(line.intercept).to.be.closeTo(intercept, 1e-3)
      expect(line.slopeError).to.be.closeTo(0, 1e-3)
    }), { seed: 11, numRuns: 100 })
  })
})
