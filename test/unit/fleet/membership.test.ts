/** Guards against an entry of another writer that stops a node from following the list of entries, or that is passed on to other nodes. */
import { expect } from 'chai'
import * as fleet from '@egretvalve/fleet'
import type * as protocol from '@egretvalve/protocol'
import * as settings from '@egretvalve/settings'
import * as standin from '@egretvalve/standin'
import { passTime } from '../../support/simulatedTime.ts'

const IDENTITY: fleet.EntryIdentity = { entryId: 'entry-0', life: 'life-0', address: '10.0.0.1:7000', failureDomain: 'a' }
const DEPTH = 100_000
const ODD_ENTRY_COUNT = 5_000
/** Log lines that a list may cost, however many of its entries are odd. */
const MAX_LINES_PER_LIST = 20

function encodeEntry (fields: object): string {
  return JSON.stringify({ entryId: 'other', life: 'life', address: '10.0.0.9:7000', failureDomain: 'a', ...fields })
}

/** Values of other writers that name no entry to use. */
const ODD_VALUES: Readonly<Record<string, string>> = {
  'nested 100,000 levels deep': `{"entryId":{"a":${'['.repeat(DEPTH)}${']'.repeat(DEPTH)}}}`,
  'that is nothing but a nesting of 100,000 levels': `${'['.repeat(DEPTH)}${']'.repeat(DEPTH)}`,
  'nested 100,000 levels deep in a field that is not read': `{"other":${'{"a":'.repeat(DEPTH)}1${'}'.repeat(DEPTH)},"entryId":"e","life":"l","address":"10.0.0.9:7000"}`,
  'without JSON': '\u0000\u0001',
  'with a number too large in place of a text': '{"entryId":1e400,"life":"l","address":"10.0.0.9:7000"}',
  'with port 0': encodeEntry({ address: '10.0.0.9:0' }),
  'with port 70000': encodeEntry({ address: '10.0.0.9:70000' }),
  'with port 1e9': encodeEntry({ address: '10.0.0.9:1e9' }),
  'with port 1e3': encodeEntry({ address: '10.0.0.9:1e3' }),
  'with port -1': encodeEntry({ address: '10.0.0.9:-1' }),
  'with a fractional port': encodeEntry({ address: '10.0.0.9:80.5' }),
  'without a port': encodeEntry({ address: '10.0.0.9' }),
  'with a host name': encodeEntry({ address: 'entry.example:7000' }),
  'with an IP number out of range': encodeEntry({ address: '10.0.0.999:7000' }),
  'with a failure domain of 100,000 characters': encodeEntry({ failureDomain: 'd'.repeat(DEPTH) }),
  'with a replaced prototype instead of fields': '{"__proto__":{"entryId":"e","life":"l","address":"10.0.0.9:7000"}}'
}

class MembershipBench {
  readonly timers = new settings.FakeTimers()
  readonly store = new standin.MemoryStore(this.timers)
  readonly lines: Array<{ code: number, fields: settings.LogFields }> = []
  readonly log: settings.Log = { event: ({ code }, fields = {}) => { this.lines.push({ code, fields }) }, close: async () => {} }
  readonly services: fleet.MembershipServices = { timers: this.timers, log: this.log, store: this.store }
  /** Addresses of each list handed on. */
  readonly lists: string[][] = []
  readonly membership = new fleet.EntryMembership(IDENTITY, this.services, entries => { this.handleEntries(entries) })
  handleEntries = (entries: readonly protocol.runs.IEntryAddress[]): void => { this.lists.push(entries.map(entry => entry.address!)) }

  async plant (name: string, value: string): Promise<void> {
    const key = fleet.ENTRY_PREFIX + name
    const { revision } = (await this.store.get(key)).unwrap()
    ;(await this.store.compareAndSwap(key, revision, value)).unwrap()
  }

  countLines (code: number): number {
    return this.lines.filter(line => line.code === code).length
  }

  async pass (durationMs: number): Promise<void> {
    await passTime(this.timers, durationMs)
  }
}

describe('EntryMembership', () => {
  let bench: MembershipBench

  beforeEach(() => { bench = new MembershipBench() })

  afterEach(async () => {
    await bench.membership.stop()
    bench.store.close()
  })

  for (const [name, value] of Object.entries(ODD_VALUES)) {
    it(`keeps following the list of entries and passes on no entry ${name}`, async () => {
      await bench.plant('aa-odd', value)
      bench.membership.start()
      await bench.pass(fleet.MEMBER_READ_MS * 2)
      await bench.plant('good', encodeEntry({ address: '10.0.0.2:7000' }))
      await bench.pass(fleet.MEMBER_READ_MS * 2)
      expect(bench.lists.at(-1)).to.have.members([IDENTITY.address, '10.0.0.2:7000'])
    })
  }

  it('logs an odd entry once, and again when it changes', async () => {
    await bench.plant('odd', 'one')
    bench.membership.start()
    await bench.pass(fleet.MEMBER_READ_MS * 5)
    expect(bench.countLines(fleet.events.EntryUnusable.code)).to.equal(1)
    await bench.plant('odd', 'two')
    await bench.pass(fleet.MEMBER_READ_MS * 5)
    expect(bench.countLines(fleet.events.EntryUnusable.code)).to.equal(2)
  })

  it('logs a bounded number of lines for a list of 5,000 odd entries, and finds the good one', async () => {
    const odd = Array.from({ length: ODD_ENTRY_COUNT }, (_, index) => ({ key: `${fleet.ENTRY_PREFIX}odd-${index}`, value: 'odd', revision: index + 1 }))
    const list = bench.store.list.bind(bench.store)
    bench.store.list = async prefix => (await list(prefix)).map(read => ({ ...read, values: [...odd, ...read.values] }))
    bench.membership.start()
    await bench.pass(fleet.MEMBER_READ_MS * 5)
    expect(bench.lists.at(-1)).to.deep.equal([IDENTITY.address])
    expect(bench.countLines(fleet.events.EntryUnusable.code)).to.be.within(1, MAX_LINES_PER_LIST)
  })

  it('reads a list that could not be read, or lacks entries that start at the same time, again within fractions of a second', async () => {
    bench.store.faults.down = true
    bench.membership.start()
    await bench.pass(100)
    bench.store.faults.down = false
    await bench.pass(600)
    await bench.plant('other', encodeEntry({ address: '10.0.0.2:7000' }))
    await bench.pass(300)
    expect(bench.lists.at(-1)).to.have.members([IDENTITY.address, '10.0.0.2:7000'])
  })

  it('keeps following the list and keeps its registration after a call that threw', async () => {
    bench.membership.start()
    await bench.pass(fleet.MEMBER_READ_MS * 2)
    const { list, renewLease } = bench.store
    bench.store.list = async () => { throw new RangeError('list') }
    bench.store.renewLease = async () => { throw new RangeError('renew') }
    await bench.pass(fleet.MEMBER_RENEW_MS * 2)
    Object.assign(bench.store, { list, renewLease })
    await bench.plant('good', encodeEntry({ address: '10.0.0.2:7000' }))
    await bench.pass(fleet.MEMBER_LEASE_MS * 2)
    expect(bench.lists.at(-1)).to.have.members([IDENTITY.address, '10.0.0.2:7000'])
    expect((await bench.store.get(fleet.ENTRY_PREFIX + IDENTITY.entryId)).unwrap().revision).to.be.above(0)
  })

  it('keeps following the list after a list that could not be handled', async () => {
    const { handleEntries } = bench
    bench.handleEntries = () => { throw new RangeError('handle') }
    bench.membership.start()
    await bench.pass(fleet.MEMBER_READ_MS * 2)
    bench.handleEntries = handleEntries
    await bench.pass(fleet.MEMBER_READ_MS * 2)
    expect(bench.lists.at(-1)).to.deep.equal([IDENTITY.address])
  })
})

describe('discoverEntries', () => {
  let bench: MembershipBench
  let found: string[][]
  let abort: AbortController

  async function start (): Promise<void> {
    const node = { isLinked: false, updateEntries: (entries: readonly fleet.RegisteredEntry[]) => { found.push(entries.map(entry => entry.address)) }, setSeeds: () => {} }
    fleet.discoverEntries(node as unknown as fleet.AgentNode, [], bench.services, abort.signal)
    await bench.pass(fleet.UNLINKED_DISCOVERY_PERIOD_MS * 2)
  }

  beforeEach(() => {
    bench = new MembershipBench()
    found = []
    abort = new AbortController()
  })

  afterEach(async () => {
    abort.abort()
    await bench.pass(fleet.UNLINKED_DISCOVERY_PERIOD_MS)
    bench.store.close()
  })

  async function expectFound (): Promise<void> {
    await bench.plant('good', encodeEntry({ address: '10.0.0.2:7000' }))
    await bench.pass(fleet.UNLINKED_DISCOVERY_PERIOD_MS * 2)
    expect(found.at(-1)).to.deep.equal(['10.0.0.2:7000'])
  }

  it('keeps following the list of entries when one entry is nested 100,000 levels deep', async () => {
    await bench.plant('aa-odd', ODD_VALUES['nested 100,000 levels deep']!)
    await start()
    await expectFound()
  })

  it('keeps following the list of entries after a call that threw', async () => {
    const { list } = bench.store
    bench.store.list = async () => { throw new RangeError('list') }
    await start()
    bench.store.list = list
    await expectFound()
  })
})
