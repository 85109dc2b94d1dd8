/** Guards against a cancelled job that another entry runs on or runs again, whatever the store does meanwhile. */
import { expect } from 'chai'
import * as fleet from '@egretvalve/fleet'
import * as settings from '@egretvalve/settings'
import * as standin from '@egretvalve/standin'
import { passTime } from '../../support/simulatedTime.ts'

/** Time after the answer to a cancellation until no task of the job may start, in milliseconds. */
const CANCEL_LIMIT_MS = 3_000
const PUBLISH_LIMIT_MS = 1_000

class Bench {
  readonly timers = new settings.FakeTimers()
  readonly store = new standin.MemoryStore(this.timers)
  readonly cancelled: string[] = []
  readonly members = ['entry-0', 'entry-1'].map(entryId => new fleet.EntryMembership({ entryId, life: 'life', address: '10.0.0.1:7000', failureDomain: 'a' }, { timers: this.timers, log: settings.createSilentLog(), store: this.store }, () => {}, jobId => { if (entryId === 'entry-1') this.cancelled.push(jobId) }))

  async start (): Promise<void> {
    for (const member of this.members) member.start()
    await passTime(this.timers, fleet.MEMBER_READ_MS)
  }

  async stop (): Promise<void> {
    for (const member of this.members) await member.stop()
    this.store.close()
  }

  /** Cancels a job at the first entry and lets time pass. Returns whether the entry could tell the others of it. */
  async cancel (jobId: string, durationMs = 50): Promise<boolean> {
    const published = this.members[0]!.publishCancellation(jobId, PUBLISH_LIMIT_MS)
    await passTime(this.timers, durationMs)
    return await published
  }
}

describe('cancellations', () => {
  let bench: Bench

  beforeEach(async () => {
    bench = new Bench()
    await bench.start()
  })

  afterEach(async () => { await bench.stop() })

  it('reach the other entries once each, before no task may start any more', async () => {
    expect(await bench.cancel('job-1')).to.equal(true)
    await passTime(bench.timers, CANCEL_LIMIT_MS - 500)
    expect(bench.cancelled).to.deep.equal(['job-1'])
    expect(await bench.cancel('job-2')).to.equal(true)
    await passTime(bench.timers, 3 * CANCEL_LIMIT_MS)
    expect(bench.cancelled).to.deep.equal(['job-1', 'job-2'])
  })

  it('reach the other entries although their entry stops right after the answer', async () => {
    await bench.cancel('job')
    await bench.members[0]!.stop()
    await passTime(bench.timers, CANCEL_LIMIT_MS - 500)
    expect(bench.cancelled).to.deep.equal(['job'])
  })

  it('share store calls when many come at once', async () => {
    await bench.cancel('first')
    const before = bench.store.counts.writes
    await Promise.all(Array.from({ length: 200 }, async (_, number) => await bench.members[0]!.publishCancellation(`job-${number}`, PUBLISH_LIMIT_MS)))
    expect(bench.store.counts.writes - before).to.be.at.most(2)
    await passTime(bench.timers, CANCEL_LIMIT_MS - 500)
    expect(bench.cancelled).to.have.length(201)
  })

  it('are written once the store is back, and not said to be while it is away', async () => {
    bench.store.faults.down = true
    expect(await bench.cancel('job', PUBLISH_LIMIT_MS + 100)).to.equal(false)
    bench.store.faults.down = false
    await passTime(bench.timers, 2 * CANCEL_LIMIT_MS)
    expect(bench.cancelled).to.deep.equal(['job'])
  })

  // Guards against a caller that waits for its answer as long as the store is silent.
  it('are answered within their limit while the store does not answer', async () => {
    bench.store.faults.slowMs = 60_000
    const startedAtMs = bench.timers.nowMs()
    let answeredAtMs = Number.POSITIVE_INFINITY
    const published = bench.members[0]!.publishCancellation('job', PUBLISH_LIMIT_MS).then(isPublished => {
      answeredAtMs = bench.timers.nowMs()
      return isPublished
    })
    await passTime(bench.timers, PUBLISH_LIMIT_MS + 50)
    expect(answeredAtMs - startedAtMs).to.be.at.most(PUBLISH_LIMIT_MS + 50)
    expect(await published).to.equal(false)
    bench.store.faults.slowMs = 0
  })

  it('are written again after an answer of the store was lost', async () => {
    bench.store.faults.loseAnswers = true
    bench.timers.after(100, () => { bench.store.faults.loseAnswers = false })
    expect(await bench.cancel('job', 200)).to.equal(true)
    await passTime(bench.timers, CANCEL_LIMIT_MS - 500)
    expect(bench.cancelled).to.deep.equal(['job'])
  })

  it('leave the store after their retention, and those of others are read beside an odd value', async () => {
    await bench.store.compareAndSwap(`${fleet.CANCELLATION_PREFIX}aa-odd`, 0, '{"no":"list"}')
    await bench.cancel('job')
    await passTime(bench.timers, CANCEL_LIMIT_MS - 500)
    expect(bench.cancelled).to.deep.equal(['job'])
    await passTime(bench.timers, 2 * fleet.CANCELLATION_RETENTION_MS)
    const left = (await bench.store.list(fleet.CANCELLATION_PREFIX)).unwrap().values
    expect(left.map(({ key }) => key)).to.deep.equal([`${fleet.CANCELLATION_PREFIX}aa-odd`])
  })
})
