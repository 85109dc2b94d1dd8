/** A registrar's record of the entries that hold jobs. */
import { expect } from 'chai'
import * as claims from '@egretvalve/claims'
import * as settings from '@egretvalve/settings'

const FIRST: claims.Claimant = { entryId: 'entry-1', incarnation: 'life-1' }
const SECOND: claims.Claimant = { entryId: 'entry-2', incarnation: 'life-2' }
const VALID_MS = 1_000

interface Bench {
  timers: settings.FakeTimers
  table: claims.ClaimTable
  claim: (claimant: claims.Claimant, jobId?: string) => claims.ClaimAnswer
}

function createBench (): Bench {
  const timers = new settings.FakeTimers()
  const table = new claims.ClaimTable(timers)
  return { timers, table, claim: (claimant, jobId = 'job') => table.claim(claimant, { jobId, sequence: 1, validForMs: VALID_MS }) }
}

describe('record of claims', () => {
  it('grants a job to one entry at a time and names the holder to others', () => {
    const { claim } = createBench()
    expect(claim(FIRST)).to.include({ jobId: 'job', verdict: claims.ClaimVerdict.Granted, holderId: '' })
    expect(claim(SECOND)).to.include({ verdict: claims.ClaimVerdict.Held, holderId: 'entry-1' })
    expect(claim(SECOND, 'other')).to.include({ verdict: claims.ClaimVerdict.Granted })
  })

  it('grants a job again to its holder, and extends the claim', () => {
    const { timers, claim } = createBench()
    claim(FIRST)
    timers.advance(900)
    expect(claim(FIRST).verdict).to.equal(claims.ClaimVerdict.Granted)
    timers.advance(900)
    expect(claim(SECOND).verdict).to.equal(claims.ClaimVerdict.Held)
  })

  it('grants a job to another entry once it is released', () => {
    const { table, claim } = createBench()
    claim(FIRST)
    table.release(FIRST, { jobId: 'job', hasSucceeded: false })
    expect(claim(SECOND).verdict).to.equal(claims.ClaimVerdict.Granted)
  })

  it('ignores the release of an entry that does not hold the job', () => {
    const { table, claim } = createBench()
    claim(FIRST)
    table.release(SECOND, { jobId: 'job', hasSucceeded: false })
    table.release(SECOND, { jobId: 'job', hasSucceeded: true })
    expect(claim(SECOND).verdict).to.equal(claims.ClaimVerdict.Held)
  })

  it('holds a job against the next incarnation of the same entry', () => {
    const { timers, claim } = createBench()
    claim(FIRST)
    const restarted = { ...FIRST, incarnation: 'life-9' }
    expect(claim(restarted)).to.include({ verdict: claims.ClaimVerdict.Held, holderId: 'entry-1' })
    timers.advance(VALID_MS * claims.CLOCK_DRIFT)
    expect(claim(restarted).verdict).to.equal(claims.ClaimVerdict.Granted)
  })

  it('lets a claim expire after its validity by the fastest clock, not before', () => {
    const { timers, claim } = createBench()
    claim(FIRST)
    timers.advance(VALID_MS * claims.CLOCK_DRIFT - 1)
    expect(claim(SECOND).verdict).to.equal(claims.ClaimVerdict.Held)
    timers.advance(1)
    expect(claim(SECOND).verdict).to.equal(claims.ClaimVerdict.Granted)
  })

  it('tells everyone that a job has succeeded, for the retention time', () => {
    const { timers, table, claim } = createBench()
    claim(FIRST)
    table.release(FIRST, { jobId: 'job', hasSucceeded: true })
    timers.advance(claims.SUCCESS_RETENTION_MS - 1)
    for (const claimant of [FIRST, SECOND]) expect(claim(claimant)).to.include({ verdict: claims.ClaimVerdict.Succeeded, holderId: 'entry-1' })
    timers.advance(1)
    expect(claim(SECOND).verdict).to.equal(claims.ClaimVerdict.Granted)
  })

  it('applies releases before claims of the same message', () => {
    const { table, claim } = createBench()
    claim(FIRST)
    const answers = table.apply(FIRST, { claims: [{ jobId: 'job', sequence: 1, validForMs: VALID_MS }], releases: [{ jobId: 'job', hasSucceeded: false }] })
    expect(answers.map(({ verdict }) => verdict)).to.deep.equal([claims.ClaimVerdict.Granted])
    expect(claim(SECOND).verdict).to.equal(claims.ClaimVerdict.Held)
  })

  it('holds the jobs of an entry whose link has ended until its runs have ended', () => {
    const { timers, table } = createBench()
    table.claim(FIRST, { jobId: 'job', sequence: 1, validForMs: 60_000 })
    table.expireClaims(FIRST)
    timers.advance(claims.CLAIMANT_GONE_MS * claims.CLOCK_DRIFT - 1)
    expect(table.claim(SECOND, { jobId: 'job', sequence: 1, validForMs: VALID_MS }).verdict).to.equal(claims.ClaimVerdict.Held)
    timers.advance(1)
    expect(table.claim(SECOND, { jobId: 'job', sequence: 1, validForMs: VALID_MS }).verdict).to.equal(claims.ClaimVerdict.Granted)
  })

  it('does not extend a claim when its link ends', () => {
    const { timers, table, claim } = createBench()
    claim(FIRST)
    timers.advance(500)
    table.expireClaims(FIRST)
    timers.advance(VALID_MS * claims.CLOCK_DRIFT - 500)
    expect(claim(SECOND).verdict).to.equal(claims.ClaimVerdict.Granted)
  })

  it('keeps the jobs that an entry claims again after its link has ended', () => {
    const { timers, table } = createBench()
    table.claim(FIRST, { jobId: 'job', sequence: 1, validForMs: 60_000 })
    table.expireClaims(FIRST)
    timers.advance(500)
    table.claim(FIRST, { jobId: 'job', sequence: 1, validForMs: 60_000 })
    timers.advance(10_000)
    expect(table.claim(SECOND, { jobId: 'job', sequence: 1, validForMs: VALID_MS }).verdict).to.equal(claims.ClaimVerdict.Held)
  })

  it('remembers success beyond the end of the link', () => {
    const { timers, table, claim } = createBench()
    claim(FIRST)
    table.release(FIRST, { jobId: 'job', hasSucceeded: true })
    table.expireClaims(FIRST)
    timers.advance(claims.SUCCESS_RETENTION_MS - 1)
    expect(claim(SECOND).verdict).to.equal(claims.ClaimVerdict.Succeeded)
  })

  it('holds no record for longer than its validity and one sweep', () => {
    const { timers, table, claim } = createBench()
    for (let job = 0; job < 100; job++) claim(FIRST, String(job))
    table.release(FIRST, { jobId: '0', hasSucceeded: true })
    expect(table.size).to.equal(100)
    timers.advance(VALID_MS * claims.CLOCK_DRIFT + claims.SWEEP_PERIOD_MS)
    expect(table.size).to.equal(1)
    timers.advance(claims.SUCCESS_RETENTION_MS)
    expect(table.size).to.equal(0)
  })

  it('sweeps no more once it has stopped', () => {
    const { timers, table, claim } = createBench()
    claim(FIRST)
    table.stop()
    timers.advance(60_000)
    expect(table.size).to.equal(1)
  })

  it('does not grant a job that waits for its holder while the entries claim their jobs again after a restart', () => {
    const { timers, table, claim } = createBench()
    const wait = (): claims.ClaimVerdict => table.claim(SECOND, { jobId: 'job', validForMs: VALID_MS, sequence: 1, wasRefused: true }).verdict
    expect(wait()).to.equal(claims.ClaimVerdict.Held)
    expect(claim(FIRST).verdict).to.equal(claims.ClaimVerdict.Granted)
    table.release(FIRST, { jobId: 'job', hasSucceeded: false })
    timers.advance(claims.RECLAIM_MS)
    expect(wait()).to.equal(claims.ClaimVerdict.Granted)
  })
})
