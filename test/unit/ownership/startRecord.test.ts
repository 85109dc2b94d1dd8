import { expect } from 'chai'
import * as ownership from '@egretvalve/ownership'
import * as protocol from '@egretvalve/protocol'
import * as settings from '@egretvalve/settings'

const { RefusalReason, TaskState } = protocol.wire
const key = { team: 'rozet', submissionId: 'badge-1' }

describe('StartRecord', () => {
  let timers: settings.FakeTimers
  let record: ownership.StartRecord

  function createStart (epoch: number): protocol.wire.IJobStart {
    return { key, taskCount: 2, owned: true, partition: 7, epoch, leaseExpiresAtMs: timers.wallClockMs() + 5_000 }
  }

  beforeEach(() => {
    timers = new settings.FakeTimers()
    record = new ownership.StartRecord(ownership.resolveStartRecordDefaults({ maxTasks: 2, maxResultBytes: 10 }), timers)
  })

  it('admits a task once and answers a duplicate start with the state of the task', () => {
    const start = createStart(1)
    expect(record.admit(start, { index: 0, attempt: 0 }).ok).to.equal(true)
    record.recordEnd({ key, index: 0 }, { index: 0, state: TaskState.TASK_STATE_FINISHED, body: Buffer.from('done') })
    timers.advance(10_000)
    const duplicate = record.admit(start, { index: 0, attempt: 0 }).val as ownership.Refusal
    expect(duplicate.reason).to.equal(RefusalReason.REFUSAL_REASON_ALREADY_STARTED)
    expect(duplicate.report?.state).to.equal(TaskState.TASK_STATE_FINISHED)
  })

  it('refuses starts with a lower epoch after a fence and starts with an expired lease', () => {
    const start = createStart(1)
    record.fence([{ partition: 7, epoch: 2 }])
    expect((record.admit(start, { index: 0 }).val as ownership.Refusal).reason).to.equal(RefusalReason.REFUSAL_REASON_STALE_EPOCH)
    const newer = createStart(2)
    timers.advance(5_000)
    expect((record.admit(newer, { index: 0 }).val as ownership.Refusal).reason).to.equal(RefusalReason.REFUSAL_REASON_LEASE_EXPIRED)
  })

  it('refuses an attempt that an inquiry has reported as not received, and admits the next attempt', () => {
    const answer = record.inquire({ key, partition: 7, tasks: [{ index: 0, attempt: 1 }] })
    expect(answer.tasks?.[0]?.refusal).to.equal(RefusalReason.REFUSAL_REASON_NOT_RECEIVED)
    expect(record.admit(createStart(1), { index: 0, attempt: 1 }).ok).to.equal(false)
    expect(record.admit(createStart(1), { index: 0, attempt: 2 }).ok).to.equal(true)
  })

  it('retains the record of a start when its result is dropped at the memory limit, and refuses new tasks when full', () => {
    for (const index of [0, 1]) {
      record.admit(createStart(1), { index }).unwrap()
      record.recordEnd({ key, index }, { index, state: TaskState.TASK_STATE_FINISHED, body: Buffer.alloc(8) })
    }
    expect((record.admit(createStart(1), { index: 0 }).val as ownership.Refusal).report?.state).to.equal(TaskState.TASK_STATE_UNKNOWN)
    expect((record.admit(createStart(1), { index: 1 }).val as ownership.Refusal).report?.state).to.equal(TaskState.TASK_STATE_FINISHED)
    expect((record.admit({ ...createStart(1), key: { team: 'rozet', submissionId: 'badge-2' } }, { index: 0 }).val as ownership.Refusal).reason)
      .to.equal(RefusalReason.REFUSAL_REASON_RECORD_FULL)
    timers.advance(protocol.RETENTION_MS)
    record.sweep()
    expect(record.size).to.equal(0)
  })

  it('gathers the tasks of the requested partitions in pages', () => {
    record.admit(createStart(1), { index: 0 }).unwrap()
    record.admit(createStart(1), { index: 1 }).unwrap()
    expect(record.gather([6])).to.deep.equal([[]])
    expect(record.gather([7])[0]?.[0]?.tasks).to.have.length(2)
  })
})
