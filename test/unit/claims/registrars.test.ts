/** The choice of the entries that remember who runs a job. */
import { expect } from 'chai'
import * as claims from '@egretvalve/claims'
import * as protocol from '@egretvalve/protocol'
import * as settings from '@egretvalve/settings'

const PORT: claims.RegistrarPort = { send: () => {}, reset: () => {} }
const ENTRIES = ['entry-a', 'entry-b', 'entry-c', 'entry-d', 'entry-e']
const JOBS = Array.from({ length: 200 }, (_, number) => `job-${number}`)

function createRegistrars (entryIds: readonly string[], timers = new settings.FakeTimers(), upMs = 60_000): claims.Registrars {
  const created = new claims.Registrars(timers)
  for (const entryId of entryIds) created.open(entryId, PORT, upMs)
  return created
}

function choose (registrars: claims.Registrars, jobId: string): string[] {
  return registrars.choose(jobId).map(({ entryId }) => entryId)
}

describe('choice of registrars', () => {
  before(async () => { await protocol.loadHash() })

  it('is the same at two entries, whatever the order of their lists', () => {
    const first = createRegistrars(ENTRIES)
    const second = createRegistrars([...ENTRIES].reverse())
    for (const jobId of JOBS) {
      expect(choose(first, jobId)).to.deep.equal(choose(second, jobId))
      expect(choose(first, jobId)).to.have.length(claims.REGISTRARS_PER_JOB)
    }
  })

  it('spreads the jobs over all entries', () => {
    const registrars = createRegistrars(ENTRIES)
    const counts = new Map<string, number>()
    for (const entryId of JOBS.flatMap(jobId => choose(registrars, jobId))) counts.set(entryId, (counts.get(entryId) ?? 0) + 1)
    for (const entryId of ENTRIES) expect(counts.get(entryId)).to.be.within(40, 120)
  })

  it('has an entry in common with the choice of one that misses an entry, or knows one more', () => {
    const all = createRegistrars(ENTRIES)
    for (const missing of ENTRIES) {
      const fewer = createRegistrars(ENTRIES.filter(each => each !== missing))
      for (const jobId of JOBS) expect(choose(fewer, jobId).some(each => choose(all, jobId).includes(each)), `${jobId} without ${missing}`).to.equal(true)
    }
  })

  it('has an entry in common when two entries each miss another one', () => {
    for (const jobId of JOBS) {
      const [first, second] = choose(createRegistrars(ENTRIES), jobId)
      const left = createRegistrars(ENTRIES.filter(each => each !== first))
      const right = createRegistrars(ENTRIES.filter(each => each !== second))
      expect(choose(left, jobId).some(each => choose(right, jobId).includes(each)), jobId).to.equal(true)
    }
  })

  it('holds what entries without a link to a young one choose, until it has matured', () => {
    const timers = new settings.FakeTimers()
    const registrars = createRegistrars(ENTRIES.slice(1), timers)
    const before = new Map(JOBS.map(jobId => [jobId, choose(registrars, jobId)]))
    registrars.open(ENTRIES[0]!, PORT, 500)
    const after = new Map(JOBS.map(jobId => [jobId, choose(registrars, jobId)]))
    for (const jobId of JOBS) expect(after.get(jobId)).to.include.members(before.get(jobId)!)
    expect([...after.values()].some(each => each.length === claims.REGISTRARS_PER_JOB + 1)).to.equal(true)
    timers.advance(claims.YOUNG_MS - 500)
    const all = createRegistrars(ENTRIES)
    for (const jobId of JOBS) expect(choose(registrars, jobId)).to.deep.equal(choose(all, jobId))
  })

  it('leaves out silent and absent entries, and waits for those whose link reopens', () => {
    const registrars = createRegistrars(ENTRIES)
    for (const jobId of JOBS) {
      const [first, second] = choose(registrars, jobId)
      registrars.setSilent(registrars.get(first!)!, true)
      expect(choose(registrars, jobId)).to.have.length(2).and.not.include(first)
      registrars.setSilent(registrars.get(first!)!, false)
      registrars.close(second!, claims.LinkState.Absent)
      expect(choose(registrars, jobId)).to.have.length(2).and.not.include(second)
      registrars.open(second!, PORT, 60_000)
      registrars.close(second!, claims.LinkState.Reopening)
      expect(choose(registrars, jobId)).to.deep.equal([first, second])
      registrars.open(second!, PORT, 60_000)
    }
  })

  it('is the only entry, or both of two, in a small fleet', () => {
    expect(choose(createRegistrars(['entry-a']), 'job')).to.deep.equal(['entry-a'])
    expect(choose(createRegistrars(['entry-a', 'entry-b']), 'job')).to.have.members(['entry-a', 'entry-b'])
    expect(choose(createRegistrars([]), 'job')).to.deep.equal([])
  })
})
