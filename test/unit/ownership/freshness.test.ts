import { expect } from 'chai'
import * as ownership from '@egretvalve/ownership'

const NOW_MS = 1_700_000_000_000
const bounds = { nowMs: NOW_MS, unknownBeforeMs: 0, clockBoundMs: 250, retentionMs: 600_000 }

function datedId (datedMs: number): string {
  const digits = datedMs.toString(16).padStart(12, '0')
  return `${digits.slice(0, 8)}-${digits.slice(8)}-7000-8000-000000000001`
}

describe('checkFreshness', () => {
  it('reports every id as fresh while all earlier starts are known', () => {
    expect(ownership.checkFreshness('order-1', bounds)).to.equal(ownership.Freshness.Fresh)
    expect(ownership.checkFreshness(datedId(NOW_MS - 5_000), bounds)).to.equal(ownership.Freshness.Fresh)
  })

  it('reports only ids dated after the possibly unknown starts as fresh', () => {
    const gap = { ...bounds, unknownBeforeMs: NOW_MS - 1_000 }
    expect(ownership.checkFreshness(datedId(NOW_MS - 999), gap)).to.equal(ownership.Freshness.Fresh)
    expect(ownership.checkFreshness(datedId(NOW_MS - 1_001), gap)).to.equal(ownership.Freshness.MayHaveStarted)
    expect(ownership.checkFreshness('order-1', gap)).to.equal(ownership.Freshness.MayHaveStarted)
    expect(ownership.checkFreshness('order-1', { ...gap, nowMs: NOW_MS + 599_000 })).to.equal(ownership.Freshness.Fresh)
  })

  it('rejects ids dated ahead of the clock bound or before the retention window', () => {
    expect(ownership.checkFreshness(datedId(NOW_MS + 251), bounds)).to.equal(ownership.Freshness.DatedAhead)
    expect(ownership.checkFreshness(datedId(NOW_MS - 600_000), bounds)).to.equal(ownership.Freshness.TooOld)
  })
})
