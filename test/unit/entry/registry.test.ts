import { expect } from 'chai'
import * as protocol from '@egretvalve/protocol'
import * as settings from '@egretvalve/settings'
import { ForgottenIds } from '../../../packages/entry/src/jobs/forgottenIds.ts'
import { JoinKind, JobRegistry } from '../../../packages/entry/src/jobs/registry.ts'

const RETENTION_MS = 600_000
const MAX_BYTES = 10_000
const TEAM = 'shop'

function createSubmission (submissionId: string): protocol.wire.ISubmission {
  const submittedAtMs = protocol.submissionTimeMs(submissionId) ?? 0
  return { key: { team: TEAM, submissionId }, service: 'spares-shop', submittedAtMs, tasks: [{ body: Buffer.from('x') }] }
}

describe('JobRegistry at its memory bound', () => {
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
    job.settle({ index: 0, state: protocol.wire.TaskState.TASK_STATE_FINISHED })
    job.finish()
    registry.retain(job)
    timers.advance(1)
  }

  it('knows which undated ids may have run, and takes new ones', () => {
    for (let index = 0; index < 100; index++) run(`order-${index}`)
    expect(registry.find({ team: TEAM, submissionId: 'order-0' }), 'dropped').to.equal(undefined)
    expect(registry.mayHaveForgotten(createSubmission('order-0'))).to.equal(true)
    expect(registry.mayHaveForgotten(createSubmission('order-100'))).to.equal(false)
  })

  it('takes dated ids that are younger than the oldest answer that it dropped', () => {
    const first = protocol.createSubmissionId()
    run(first)
    for (let index = 0; index < 100; index++) run(`order-${index}`)
    expect(registry.mayHaveForgotten(createSubmission(first))).to.equal(true)
    expect(registry.mayHaveForgotten({ ...createSubmission('later'), submittedAtMs: timers.wallClockMs() + protocol.CLOCK_BOUND_MS })).to.equal(false)
  })

  it('joins a resubmission of a kept answer and refuses other work under its id', () => {
    run('order-1')
    expect(registry.join(createSubmission('order-1')).kind).to.equal(JoinKind.Joined)
    expect(registry.join({ ...createSubmission('order-1'), tasks: [{}, {}] }).kind).to.equal(JoinKind.Conflict)
  })
})

describe('ForgottenIds', () => {
  const MAX_IDS = 10

  it('takes no undated id after it dropped fingerprints early, until the retention time has passed', () => {
    const timers = new settings.FakeTimers()
    const forgotten = new ForgottenIds(timers, RETENTION_MS, MAX_IDS)
    for (let index = 0; index <= MAX_IDS; index++) forgotten.add(`shop/${index}`)
    expect(forgotten.mayHold('shop/new')).to.equal(true)
    timers.advance(RETENTION_MS)
    expect(forgotten.mayHold('shop/new')).to.equal(false)
  })

  it('forgets fingerprints after the retention time', () => {
    const timers = new settings.FakeTimers()
    const forgotten = new ForgottenIds(timers, RETENTION_MS, MAX_IDS)
    forgotten.add('shop/1')
    timers.advance(RETENTION_MS - 1)
    forgotten.add('shop/2')
    expect(forgotten.mayHold('shop/1')).to.equal(true)
    timers.advance(RETENTION_MS)
    forgotten.add('shop/3')
    expect(forgotten.mayHold('shop/1')).to.equal(false)
    expect(forgotten.mayHold('shop/2')).to.equal(true)
  })
})
