import { expect } from 'chai'
import * as protocol from '@egretvalve/protocol'
import * as settings from '@egretvalve/settings'
import { EvictedIds } from '../../../packages/entry/src/jobs/evictedIds.ts'
import { JoinKind, JobRegistry } from '../../../packages/entry/src/jobs/registry.ts'

const RETENTION_MS = 600_000
const MAX_BYTES = 10_000
const TEAM = 'shop'

function createSubmission (submissionId: string): protocol.wire.ISubmission {
  const submittedAtMs = protocol.submissionTimeMs(submissionId) ?? 0
  return { key: { team: TEAM, submissionId }, service: 'spares-shop', submittedAtMs, tasks: [{ body: Buffer.from('x') }] }
}

describe('JobRegistry at its memory limit', () => {
  let timers: settings.FakeTimers
  let registry: JobRegistry

  before(async () => { await protocol.loadHash() })

  beforeEach(() => {
    timers = new settings.FakeTimers(Date.now())
    registry = new JobRegistry({ timers, log: settings.createSilentLog(), retentionMs: RETENTION_MS, maxBytes: MAX_BYTES })
  })

  function run (submissionId: string): void {
    const { kind, job } = registry.join(createSubmission(submissionId))
    expect(kind).to.equal(JoinKind.Created)
    job.recordReport({ index: 0, state: protocol.wire.TaskState.TASK_STATE_FINISHED })
    job.finish()
    registry.retain(job)
    timers.advance(1)
  }

  it('reports evicted undated ids as possibly run, and new ones as new', () => {
    for (let index = 0; index < 100; index++) run(`order-${index}`)
    expect(registry.find({ team: TEAM, submissionId: 'order-0' }), 'evicted').to.equal(undefined)
    expect(registry.mayHaveEvicted(createSubmission('order-0'))).to.equal(true)
    expect(registry.mayHaveEvicted(createSubmission('order-100'))).to.equal(false)
  })

  it('reports dated ids as possibly run only up to the date of the last eviction plus the clock bound', () => {
    const first = protocol.createSubmissionId()
    run(first)
    for (let index = 0; index < 100; index++) run(`order-${index}`)
    expect(registry.mayHaveEvicted(createSubmission(first))).to.equal(true)
    expect(registry.mayHaveEvicted({ ...createSubmission('later'), submittedAtMs: timers.wallClockMs() + protocol.MAX_CLOCK_SKEW_MS })).to.equal(false)
  })

  it('joins a resubmission to its retained answer, and reports other work under the same id as a conflict', () => {
    run('order-1')
    expect(registry.join(createSubmission('order-1')).kind).to.equal(JoinKind.Joined)
    expect(registry.join({ ...createSubmission('order-1'), tasks: [{}, {}] }).kind).to.equal(JoinKind.Conflict)
  })
})

describe('EvictedIds', () => {
  const MAX_IDS = 10

  it('reports every undated id as possibly run after an early removal, until the retention time has passed', () => {
    const timers = new settings.FakeTimers()
    const evicted = new EvictedIds(timers, RETENTION_MS, MAX_IDS)
    for (let index = 0; index <= MAX_IDS; index++) evicted.add(`shop/${index}`)
    expect(evicted.mayContain('shop/new')).to.equal(true)
    timers.advance(RETENTION_MS)
    expect(evicted.mayContain('shop/new')).to.equal(false)
  })

  it('removes fingerprints after the retention time', () => {
    const timers = new settings.FakeTimers()
    const evicted = new EvictedIds(timers, RETENTION_MS, MAX_IDS)
    evicted.add('shop/1')
    timers.advance(RETENTION_MS - 1)
    evicted.add('shop/2')
    expect(evicted.mayContain('shop/1')).to.equal(true)
    timers.advance(RETENTION_MS)
    evicted.add('shop/3')
    expect(evicted.mayContain('shop/1')).to.equal(false)
    expect(evicted.mayContain('shop/2')).to.equal(true)
  })
})
