import { expect } from 'chai'
import * as fleet from '@egretvalve/fleet'
import * as protocol from '@egretvalve/protocol'
import * as settings from '@egretvalve/settings'
import { redialDelayMs } from '../../../packages/fleet/src/entryConnection.ts'
import { EntryLinks } from '../../../packages/fleet/src/entryLinks.ts'
import type { EntryConnection } from '../../../packages/fleet/src/entryConnection.ts'

const DOMAINS = ['a', 'b', 'c', 'd', 'e']

function listEntries (count: number): fleet.RegisteredEntry[] {
  return Array.from({ length: count }, (_, index) => ({ address: `10.0.0.${index}:1`, failureDomain: DOMAINS[index % DOMAINS.length]! }))
}

/** Links of one agent over fake connections whose reachability the test controls. */
class LinksBench {
  readonly timers = new settings.FakeTimers()
  readonly dialed = new Map<string, FakeConnection>()
  readonly pendingWork = new Set<string>()
  readonly unreachable = new Set<string>()
  readonly notices: string[] = []
  readonly links: EntryLinks

  constructor (agentId = 'agent-1', failureDomain = 'a') {
    this.links = new EntryLinks({
      agentId,
      failureDomain,
      timers: this.timers,
      dial: address => {
        const connection = new FakeConnection(address, this)
        this.dialed.set(address, connection)
        return connection as unknown as EntryConnection
      },
      hasPendingWork: connection => this.pendingWork.has(connection.address),
      onClosingChanged: connection => { this.notices.push(`${connection.address} ${connection.closingSinceMs === undefined ? 'stays' : 'closes'}`) }
    })
    this.timers.every(100, () => { this.links.reconcile() })
  }

  get openAddresses (): string[] {
    return this.links.openLinks.map(connection => connection.address)
  }
}

class FakeConnection {
  leavingSinceMs: number | undefined
  isClosed = false
  private readonly dialedAtMs: number

  constructor (readonly address: string, private readonly bench: LinksBench) {
    this.dialedAtMs = bench.timers.nowMs()
  }

  get isOpen (): boolean {
    return !this.isClosed && !this.bench.unreachable.has(this.address)
  }

  get closedMs (): number {
    return this.isOpen ? 0 : this.bench.timers.nowMs() - this.dialedAtMs
  }

  close (): void {
    this.isClosed = true
  }
}

describe('EntryLinks', () => {
  before(async () => { await protocol.loadHash() })

  it('links to every entry of a small fleet', () => {
    const bench = new LinksBench()
    bench.links.updateEntries(listEntries(3))
    expect(bench.openAddresses).to.have.length(3)
  })

  it('limits the links in a large fleet and keeps half of them in the own failure domain', () => {
    const bench = new LinksBench()
    const entries = listEntries(35)
    bench.links.updateEntries(entries)
    const domains = bench.openAddresses.map(address => entries.find(entry => entry.address === address)!.failureDomain)
    expect(domains).to.have.length(fleet.LINKS_PER_AGENT)
    expect(domains.filter(domain => domain === 'a')).to.have.length(fleet.LINKS_PER_AGENT / 2)
    expect(new Set(domains).size).to.equal(1 + fleet.LINKS_PER_AGENT / 2)
  })

  it('gives each of 35 entries between half and twice the mean number of links from 160 agents', () => {
    const entries = listEntries(35)
    const counts = new Map(entries.map(entry => [entry.address, 0]))
    for (let agent = 0; agent < 160; agent++) {
      for (const address of fleet.chooseEntries({ agentId: `agent-${agent}`, failureDomain: DOMAINS[agent % DOMAINS.length]! }, entries, new Set())) counts.set(address, counts.get(address)! + 1)
    }
    const mean = 160 * fleet.LINKS_PER_AGENT / 35
    for (const count of counts.values()) expect(count).to.be.within(mean / 2, mean * 2)
  })

  it('replaces an unreachable entry and returns to it once it is reachable', () => {
    const bench = new LinksBench()
    bench.links.updateEntries(listEntries(35))
    const [lost] = bench.openAddresses
    bench.unreachable.add(lost!)
    bench.timers.advance(1_000)
    expect(bench.openAddresses).to.have.length(fleet.LINKS_PER_AGENT)
    bench.unreachable.delete(lost!)
    bench.timers.advance(fleet.LINK_CLOSE_NOTICE_MS + 500)
    expect(bench.openAddresses).to.have.length(fleet.LINKS_PER_AGENT).and.to.include(lost)
  })

  it('links to the remaining entries when 30 of 35 are unreachable', () => {
    const bench = new LinksBench()
    const entries = listEntries(35)
    for (const { address } of entries.slice(0, 30)) bench.unreachable.add(address)
    bench.links.updateEntries(entries)
    bench.timers.advance(3_000)
    expect(bench.openAddresses.length).to.be.within(4, fleet.LINKS_PER_AGENT)
  })

  it('closes a link only after notice and without pending work', () => {
    const bench = new LinksBench()
    bench.links.updateEntries(listEntries(6))
    bench.links.updateEntries(listEntries(35))
    const closing = bench.notices.map(notice => notice.split(' ')[0]!)
    expect(closing).to.not.deep.equal([])
    bench.pendingWork.add(closing[0]!)
    bench.timers.advance(fleet.LINK_CLOSE_NOTICE_MS + 500)
    expect(bench.openAddresses).to.include(closing[0]).and.to.have.length(fleet.LINKS_PER_AGENT + 1)
    bench.pendingWork.clear()
    bench.timers.advance(200)
    expect(bench.openAddresses).to.have.length(fleet.LINKS_PER_AGENT)
  })

  it('retains links while no list arrives and closes those to unreachable entries that newer lists omit', () => {
    const bench = new LinksBench()
    const entries = listEntries(8)
    bench.links.updateEntries(entries)
    bench.timers.advance(60_000)
    expect(bench.openAddresses).to.have.length(fleet.LINKS_PER_AGENT)
    const [lost] = bench.openAddresses
    bench.unreachable.add(lost!)
    for (let round = 0; round < 4; round++) {
      bench.links.updateEntries(entries.filter(entry => entry.address !== lost))
      bench.timers.advance(5_000)
    }
    expect(bench.dialed.get(lost!)!.isClosed).to.equal(true)
  })

  it('dials the seeds while no entry is known and keeps the link to an unregistered entry', () => {
    const bench = new LinksBench()
    bench.links.setSeeds(['10.0.0.1:1'])
    bench.links.recordOpen(bench.links.openLinks[0]!)
    bench.timers.advance(5_000)
    expect(bench.openAddresses).to.deep.equal(['10.0.0.1:1'])
    expect(bench.notices).to.deep.equal([])
  })

  it('dials an entry soon after it was unreachable while no link is open at all', () => {
    const bench = new LinksBench()
    const entries = listEntries(24)
    for (const { address } of entries) bench.unreachable.add(address)
    bench.links.updateEntries(entries)
    const chosen = new Set(bench.dialed.keys())
    bench.timers.advance(2_000)
    for (const { address } of entries) if (!chosen.has(address)) bench.unreachable.delete(address)
    bench.timers.advance(500)
    expect(bench.openAddresses).to.have.length.of.at.least(fleet.LINKS_PER_AGENT)
  })
})

describe('redials of a link', () => {
  it('reach an entry that was away for 0.5 to 2 s within a quarter of that time, and an entry that stays away about once a second', () => {
    for (const awayMs of [500, 1_000, 2_000]) {
      let dialedAtMs = 0
      while (dialedAtMs < awayMs) dialedAtMs += redialDelayMs(dialedAtMs, 1)
      expect(dialedAtMs).to.be.below(awayMs * 1.25)
    }
    expect(redialDelayMs(60_000, 0.5)).to.equal(fleet.MAX_REDIAL_MS)
  })
})
