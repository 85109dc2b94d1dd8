import { expect } from 'chai'
import * as platform from '@egretvalve/platform'
import * as settings from '@egretvalve/settings'
import * as standin from '@egretvalve/standin'

describe('createStoreClient', () => {
  const timers = new settings.TimerService()
  let server: standin.StandinStore
  let client: platform.StoreClient

  beforeEach(async () => {
    server = standin.createStandinStore({ listen: '127.0.0.1:0', timers, log: settings.createSilentLog() })
    await server.start()
    client = platform.createStoreClient({ address: server.address, timeoutMs: 2_000, timers })
  })

  afterEach(async () => {
    await client.close()
    await server.stop()
  })

  it('writes by compare-and-swap and returns the current value on a mismatch', async () => {
    const written = (await client.compareAndSwap('a', 0, 'one')).unwrap()
    expect((await client.get('a')).unwrap()).to.deep.equal({ key: 'a', value: 'one', revision: written.revision })
    const mismatch = await client.compareAndSwap('a', 0, 'two')
    expect(mismatch.err).to.equal(true)
    const problem = mismatch.val as platform.StoreProblem
    expect(problem.failure).to.equal(platform.StoreFailure.Mismatch)
    expect(problem.current?.value).to.equal('one')
    expect(client.counts).to.deep.equal({ reads: 1, writes: 2 })
  })

  it('reports AnswerLost for a write that took effect but whose answer was lost', async () => {
    server.store.faults = { down: false, slowMs: 0, loseAnswers: true }
    const lost = (await client.compareAndSwap('a', 0, 'one')).val as platform.StoreProblem
    expect(lost.failure).to.equal(platform.StoreFailure.AnswerLost)
    expect((await client.get('a')).unwrap().value).to.equal('one')
  })

  it('reports an unanswered read and a write over a refused connection as unavailable', async () => {
    server.store.faults = { down: true, slowMs: 0, loseAnswers: false }
    const read = (await client.get('a')).val as platform.StoreProblem
    expect(read.failure).to.equal(platform.StoreFailure.Unavailable)
    await server.stop()
    const write = (await client.compareAndSwap('a', 0, 'one')).val as platform.StoreProblem
    expect(write.failure).to.equal(platform.StoreFailure.Unavailable)
  })

  it('answers a watch when a key with its prefix changes', async () => {
    const change = client.watch('team/', 0, 60_000)
    ;(await client.compareAndSwap('team/rozet', 0, 'x')).unwrap()
    expect((await change).unwrap().values.map(value => value.key)).to.deep.equal(['team/rozet'])
  })
})

describe('MemoryStore', () => {
  it('removes the keys of a lease that expires and reports them with revision 0', async () => {
    const timers = new settings.FakeTimers()
    const store = new standin.MemoryStore(timers)
    const lease = (await store.grantLease(6_000)).unwrap()
    const written = (await store.compareAndSwap('member', 0, 'x', lease.leaseId)).unwrap()
    timers.advance(4_000)
    ;(await store.renewLease(lease.leaseId)).unwrap()
    timers.advance(5_999)
    expect((await store.get('member')).unwrap().revision).to.equal(written.revision)
    timers.advance(1)
    const changes = (await store.watch('member', written.revision, 0)).unwrap()
    expect(changes.values).to.deep.equal([{ key: 'member', value: '', revision: 0 }])
    expect(((await store.renewLease(lease.leaseId)).val as platform.StoreProblem).failure).to.equal(platform.StoreFailure.Mismatch)
  })

  it('refuses writes above the rate limit without effect', async () => {
    const timers = new settings.FakeTimers()
    const store = new standin.MemoryStore(timers)
    for (let index = 0; index < standin.STORE_WRITES_PER_SECOND; index++) (await store.compareAndSwap(`key-${index}`, 0, '')).unwrap()
    const refused = (await store.compareAndSwap('late', 0, '')).val as platform.StoreProblem
    expect(refused.failure).to.equal(platform.StoreFailure.RateLimited)
    expect((await store.get('late')).unwrap().revision).to.equal(0)
    timers.advance(1_000)
    expect((await store.compareAndSwap('late', 0, '')).ok).to.equal(true)
  })
})
