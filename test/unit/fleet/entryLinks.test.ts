import { expect } from 'chai'
import * as fleet from '@egretvalve/fleet'
import * as protocol from '@egretvalve/protocol'
import * as settings from '@egretvalve/settings'
import { EntryLinks } from '../../../packages/fleet/src/entryLinks.ts'
import type { EntryConnection } from '../../../packages/fleet/src/entryConnection.ts'

const DOMAINS = ['a', 'b', 'c', 'd', 'e']

function listEntries (count: number): fleet.ListedEntry[] {
  return Array.from({ length: count }, (_, index) => ({ address: `10.0.0.${index}:1`, failureDomain: DOMAINS[index % DOMAINS.length]! }))
}

/** Links of one agent over connections that open and break by hand. */
class LinksBench {
  readonly timers = new settings.FakeTimers()
  readonly dialed = new Map<string, FakeConnection>()
  readonly holding = new Set<string>()
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
      isHolding: connection => this.holding.has(connection.address),
      onLeavingChanged: connection => { this.notices.push(`${connection.address} ${connection.leavingSinceMs === undefined ? 'stays' : 'leaves'}`) }
    })
    this.timers.every(100, () => { this.links.review() })
  }

  get openAddresses (): string[] {
    return this.links.open.map(connection => connection.address)
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

describe('links of an agent', () => {
  before(async () => { await protocol.loadHash() })

  it('go to every entry of a small fleet', () => {
    const bench = new LinksBench()
    bench.links.learn(listEntries(3))
    expect(bench.openAddresses).to.have.length(3)
  })

  it('stay bounded in a large fleet, half of them in the own failure domain', () => {
    const bench = new LinksBench()
    const entries = listEntries(35)
    bench.links.learn(entries)
    const domains = bench.openAddresses.map(address => entries.find(entry => entry.address === address)!.failureDomain)
    expect(domains).to.have.length(fleet.LINKS_PER_AGENT)
    expect(domains.filter(domain => domain === 'a')).to.have.length(fleet.LINKS_PER_AGENT / 2)
    expect(new Set(domains).size).to.equal(1 + fleet.LINKS_PER_AGENT / 2)
  })

  it('give each of 35 entries between half and twice its share of 160 agents', () => {
    const entries = listEntries(35)
    const counts = new Map(entries.map(entry => [entry.address, 0]))
    for (let agent = 0; agent < 160; agent++) {
      for (const address of fleet.chooseEntries({ agentId: `agent-${agent}`, failureDomain: DOMAINS[agent % DOMAINS.length]! }, entries, new Set())) counts.set(address, counts.get(address)! + 1)
    }
    const mean = 160 * fleet.LINKS_PER_AGENT / 35
    for (const count of counts.values()) expect(count).to.be.within(mean / 2, mean * 2)
  })

  it('replace an entry that can not be reached, and return to it', () => {
    const bench = new LinksBench()
    bench.links.learn(listEntries(35))
    const [lost] = bench.openAddresses
    bench.unreachable.add(lost!)
    bench.timers.advance(1_000)
    expect(bench.openAddresses).to.have.length(fleet.LINKS_PER_AGENT)
    bench.unreachable.delete(lost!)
    bench.timers.advance(fleet.LEAVE_AFTER_MS + 500)
    expect(bench.openAddresses).to.have.length(fleet.LINKS_PER_AGENT).and.to.include(lost)
  })

  it('reach those that live after a herd of entries died', () => {
    const bench = new LinksBench()
    const entries = listEntries(35)
    for (const { address } of entries.slice(0, 30)) bench.unreachable.add(address)
    bench.links.learn(entries)
    bench.timers.advance(3_000)
    expect(bench.openAddresses.length).to.be.within(4, fleet.LINKS_PER_AGENT)
  })

  it('are given up only after notice and when nothing is held', () => {
    const bench = new LinksBench()
    bench.links.learn(listEntries(6))
    bench.links.learn(listEntries(35))
    const leaving = bench.notices.map(notice => notice.split(' ')[0]!)
    expect(leaving).to.not.deep.equal([])
    bench.holding.add(leaving[0]!)
    bench.timers.advance(fleet.LEAVE_AFTER_MS + 500)
    expect(bench.openAddresses).to.include(leaving[0]).and.to.have.length(fleet.LINKS_PER_AGENT + 1)
    bench.holding.clear()
    bench.timers.advance(200)
    expect(bench.openAddresses).to.have.length(fleet.LINKS_PER_AGENT)
  })

  it('to listed entries stay while no list arrives, and those that newer lists leave out are forgotten', () => {
    const bench = new LinksBench()
    const entries = listEntries(8)
    bench.links.learn(entries)
    bench.timers.advance(60_000)
    expect(bench.openAddresses).to.have.length(fleet.LINKS_PER_AGENT)
    const [lost] = bench.openAddresses
    bench.unreachable.add(lost!)
    for (let round = 0; round < 4; round++) {
      bench.links.learn(entries.filter(entry => entry.address !== lost))
      bench.timers.advance(5_000)
    }
    expect(bench.dialed.get(lost!)!.isClosed).to.equal(true)
  })

  it('try the seeds while nothing is listed, and keep an entry that is linked but not listed', () => {
    const bench = new LinksBench()
    bench.links.setSeeds(['10.0.0.1:1'])
    bench.links.noteOpen(bench.links.open[0]!)
    bench.timers.advance(5_000)
    expect(bench.openAddresses).to.deep.equal(['10.0.0.1:1'])
    expect(bench.notices).to.deep.equal([])
  })
})
