import { expect } from 'chai'
import * as config from '@egretvalve/config'
import type * as platform from '@egretvalve/platform'
import * as settings from '@egretvalve/settings'
import * as standin from '@egretvalve/standin'
import { awaitWithTime, createFleetAgent, createFleetEntry, linkNodes, advanceTime, type FleetLink, type FleetNode } from '../support/configFleet.ts'

const TEAM = 'rozet'
/** Maximum time until an accepted version is in force on all nodes, in milliseconds. */
const IN_FORCE_MS = 5_000
const LINK_DELAY_MS = 10
const DOMAINS = ['marmara-a', 'marmara-b', 'marmara-c']
const base = config.createExampleDocument(config.ExampleName.Rozet)

/** A fleet with one in-memory store. A test may give an entry a switchable access to the store instead of the store itself. */
class Fleet {
  readonly timers = new settings.FakeTimers()
  readonly store = new standin.MemoryStore(this.timers)
  readonly entries: FleetNode[] = []
  readonly agents: FleetNode[] = []
  private links: Array<{ nodes: [FleetNode, FleetNode], link: FleetLink }> = []
  private changes = 0

  addEntry (nodeId: string, store: platform.Store = this.store): FleetNode {
    const domain = DOMAINS[this.entries.length % DOMAINS.length]!
    const entry = createFleetEntry(nodeId, domain, store, this.timers)
    for (const other of this.entries) this.link(entry, other)
    for (const agent of this.agents) this.link(agent, entry)
    this.entries.push(entry)
    return entry
  }

  addAgent (nodeId: string): FleetNode {
    const agent = createFleetAgent(nodeId, DOMAINS[this.agents.length % DOMAINS.length]!, this.timers)
    for (const entry of this.entries) this.link(agent, entry)
    this.agents.push(agent)
    return agent
  }

  link (left: FleetNode, right: FleetNode): void {
    this.links.push({ nodes: [left, right], link: linkNodes(left, right, this.timers, LINK_DELAY_MS) })
  }

  /** Breaks all links of a node, or only those to another node. */
  cut (node: FleetNode, other?: FleetNode): void {
    const isCut = ({ nodes }: { nodes: [FleetNode, FleetNode] }): boolean => nodes.includes(node) && (other === undefined || nodes.includes(other))
    for (const entry of this.links.filter(isCut)) entry.link.close(false)
    this.links = this.links.filter(entry => !isCut(entry))
  }

  /** Stops an entry without a goodbye. */
  async crash (entry: FleetNode): Promise<void> {
    this.cut(entry)
    this.entries.splice(this.entries.indexOf(entry), 1)
    await awaitWithTime(this.timers, entry.entryConfig!.stop())
  }

  async apply (entry: FleetNode, weight: number): Promise<config.ChangeOutcome> {
    this.changes++
    const order = { team: TEAM, changeId: `change-${this.changes}`, seenVersion: entry.registry.versionOf(TEAM), operator: 'ayşe' }
    return await awaitWithTime(this.timers, entry.entryConfig!.apply(order, { ...base, quota: { ...base.quota, weight } }))
  }

  versions (): number[] {
    return [...this.entries, ...this.agents].map(node => node.registry.versionOf(TEAM))
  }

  async advance (durationMs: number): Promise<void> {
    await advanceTime(this.timers, durationMs)
  }

  async stop (): Promise<void> {
    for (const entry of [...this.entries]) await this.crash(entry)
  }
}

/** Wraps a store so that one client can lose access to it; a pending watch fails too. */
function createSwitchableStore (store: standin.MemoryStore, faults: { down: boolean }, timers: settings.Timers): platform.Store {
  const broken = new standin.MemoryStore(timers)
  broken.faults = { ...broken.faults, down: true }
  const select = (): platform.Store => faults.down ? broken : store
  return {
    get: async key => await select().get(key),
    list: async prefix => await select().list(prefix),
    compareAndSwap: async (key, expectedRevision, value, leaseId) => await select().compareAndSwap(key, expectedRevision, value, leaseId),
    watch: async (prefix, afterRevision, waitMs, signal) => {
      const change = await select().watch(prefix, afterRevision, waitMs, signal)
      return faults.down ? await broken.watch(prefix, afterRevision, waitMs, signal) : change
    },
    grantLease: async ttlMs => await select().grantLease(ttlMs),
    renewLease: async leaseId => await select().renewLease(leaseId),
    revokeLease: async leaseId => await select().revokeLease(leaseId)
  }
}

function createFleet (entries: number, agents: number): Fleet {
  const fleet = new Fleet()
  for (let index = 0; index < entries; index++) fleet.addEntry(`entry-${index}`)
  for (let index = 0; index < agents; index++) fleet.addAgent(`agent-${index}`)
  return fleet
}

describe('configuration propagation', () => {
  it('puts an accepted version into force on every node within the time limit and shows it in the status', async () => {
    const fleet = createFleet(3, 6)
    await fleet.advance(100)
    const outcome = await fleet.apply(fleet.entries[0]!, 7)
    expect(outcome.kind).to.equal(config.ChangeOutcomeKind.Accepted)
    await fleet.advance(IN_FORCE_MS)
    expect(fleet.versions()).to.deep.equal(Array(9).fill(1))
    const status = (await awaitWithTime(fleet.timers, fleet.entries[1]!.entryConfig!.collectStatus())).unwrap()
    expect(status.nodes).to.have.length(9)
    expect(status.teams).to.deep.equal([{
      team: TEAM,
      version: 1,
      inForceEverywhere: true,
      domains: DOMAINS.map(failureDomain => ({ failureDomain, nodes: 3, nodesInForce: 3 })),
      lagging: []
    }])
    await fleet.stop()
  })

  it('ignores the older version of a reconnected peer and updates the peer', async () => {
    const fleet = createFleet(2, 2)
    await fleet.advance(100)
    await fleet.apply(fleet.entries[0]!, 2)
    const old = createFleetAgent('old', 'marmara-a', fleet.timers)
    fleet.agents.push(old)
    fleet.link(old, fleet.entries[0]!)
    await fleet.advance(1_000)
    fleet.cut(old)
    await fleet.apply(fleet.entries[0]!, 3)
    await fleet.advance(1_000)
    expect(old.registry.versionOf(TEAM)).to.equal(1)
    fleet.link(old, fleet.entries[1]!)
    await fleet.advance(IN_FORCE_MS)
    expect(fleet.versions()).to.deep.equal(Array(5).fill(2))
    await fleet.stop()
  })

  it('reports a version that came into force after the hello was sent', async () => {
    const fleet = createFleet(2, 0)
    await fleet.advance(100)
    await fleet.apply(fleet.entries[0]!, 2)
    fleet.store.faults = { ...fleet.store.faults, down: true }
    const late = fleet.addEntry('entry-2')
    fleet.cut(late)
    const agent = createFleetAgent('agent-0', 'marmara-c', fleet.timers)
    fleet.link(agent, late)
    agent.registry.offer(fleet.entries[0]!.registry.get(TEAM)!, config.ConfigSource.Entry)
    await fleet.advance(IN_FORCE_MS)
    expect(late.registry.versionOf(TEAM)).to.equal(1)
    await fleet.stop()
  })

  it('ignores a watch event with an older version', async () => {
    const fleet = createFleet(2, 1)
    await fleet.advance(100)
    await fleet.apply(fleet.entries[0]!, 2)
    const earlier = (await awaitWithTime(fleet.timers, fleet.store.get(config.teamKey(TEAM)))).unwrap()
    await fleet.apply(fleet.entries[0]!, 3)
    await fleet.advance(IN_FORCE_MS)
    const watch = fleet.store.watch.bind(fleet.store)
    let repeats = 0
    fleet.store.watch = async (prefix, afterRevision, waitMs, signal) => {
      const change = await watch(prefix, afterRevision, waitMs, signal)
      if (change.ok && repeats++ < 5) change.val.values.push(earlier)
      return change
    }
    await fleet.apply(fleet.entries[1]!, 4)
    await fleet.advance(100)
    await fleet.apply(fleet.entries[1]!, 5)
    await fleet.advance(IN_FORCE_MS)
    expect(repeats).to.be.greaterThan(0)
    expect(fleet.versions()).to.deep.equal([4, 4, 4])
    await fleet.stop()
  })

  it('updates entries without access to the store through the other entries', async () => {
    const fleet = new Fleet()
    const faults = { down: false }
    fleet.addEntry('entry-0')
    fleet.addEntry('entry-1', createSwitchableStore(fleet.store, faults, fleet.timers))
    fleet.addAgent('agent-0')
    await fleet.advance(100)
    faults.down = true
    fleet.cut(fleet.entries[1]!, fleet.agents[0]!)
    await fleet.apply(fleet.entries[0]!, 2)
    await fleet.advance(IN_FORCE_MS)
    expect(fleet.versions()).to.deep.equal([1, 1, 1])
    await fleet.stop()
  })

  it('updates a region from the store alone after minutes of full isolation', async () => {
    const fleet = new Fleet()
    const faults = { down: false }
    const near = fleet.addEntry('entry-0')
    const far = fleet.addEntry('entry-1', createSwitchableStore(fleet.store, faults, fleet.timers))
    const agent = fleet.addAgent('agent-0')
    await fleet.advance(100)
    await fleet.apply(near, 2)
    await fleet.advance(1_000)
    faults.down = true
    fleet.cut(far, near)
    fleet.cut(agent, near)
    await fleet.apply(near, 3)
    await fleet.apply(near, 4)
    await fleet.advance(180_000)
    expect([near, far, agent].map(node => node.registry.versionOf(TEAM))).to.deep.equal([3, 1, 1])
    faults.down = false
    await fleet.advance(35_000)
    expect(fleet.versions(), 'the region is updated from the store alone').to.deep.equal([3, 3, 3])
    await fleet.stop()
  })
})

describe('starting while the store is down', () => {
  it('loads the highest version from peers when half of the entries are replaced', async () => {
    const fleet = createFleet(4, 4)
    await fleet.advance(100)
    await fleet.apply(fleet.entries[0]!, 2)
    await fleet.apply(fleet.entries[0]!, 3)
    await fleet.advance(1_000)
    fleet.store.faults = { ...fleet.store.faults, down: true }
    for (const entry of fleet.entries.slice(0, 2)) await fleet.crash(entry)
    const replacements = [fleet.addEntry('entry-4'), fleet.addEntry('entry-5')]
    for (const entry of replacements) {
      expect(await awaitWithTime(fleet.timers, entry.entryConfig!.waitUntilReady(IN_FORCE_MS))).to.equal(true)
      expect(entry.registry.versionOf(TEAM)).to.equal(2)
    }
    await fleet.stop()
  })

  it('loads the versions from agents when every entry is replaced', async () => {
    const fleet = createFleet(2, 3)
    await fleet.advance(100)
    await fleet.apply(fleet.entries[0]!, 2)
    await fleet.advance(1_000)
    fleet.store.faults = { ...fleet.store.faults, down: true }
    for (const entry of [...fleet.entries]) await fleet.crash(entry)
    const entry = fleet.addEntry('entry-2')
    expect(await awaitWithTime(fleet.timers, entry.entryConfig!.waitUntilReady(IN_FORCE_MS))).to.equal(true)
    expect(entry.registry.versionOf(TEAM)).to.equal(1)
    await fleet.stop()
  })

  it('is not ready while neither the store nor a linked node provides the configuration', async () => {
    const fleet = new Fleet()
    fleet.store.faults = { ...fleet.store.faults, down: true }
    const entry = fleet.addEntry('entry-0')
    expect(await awaitWithTime(fleet.timers, entry.entryConfig!.waitUntilReady(IN_FORCE_MS))).to.equal(false)
    await fleet.stop()
  })

  it('keeps an accepted version across a restart of every entry', async () => {
    const fleet = createFleet(3, 0)
    await fleet.advance(100)
    await fleet.apply(fleet.entries[0]!, 2)
    for (const entry of [...fleet.entries]) await fleet.crash(entry)
    const entry = fleet.addEntry('entry-3')
    expect(await awaitWithTime(fleet.timers, entry.entryConfig!.waitUntilReady(IN_FORCE_MS))).to.equal(true)
    expect(entry.registry.versionOf(TEAM)).to.equal(1)
    await fleet.stop()
  })
})

describe('membership', () => {
  it('shows a disconnected node as lost and replaces a node by a later incarnation with the same id', async () => {
    const fleet = createFleet(2, 2)
    await fleet.advance(100)
    fleet.cut(fleet.agents[0]!)
    const replacement = createFleetAgent('agent-1', 'marmara-b', fleet.timers)
    fleet.link(replacement, fleet.entries[0]!)
    await fleet.advance(100)
    fleet.cut(fleet.agents[1]!)
    await fleet.advance(100)
    const status = (await awaitWithTime(fleet.timers, fleet.entries[0]!.entryConfig!.collectStatus())).unwrap()
    const agents = status.nodes.filter(node => node.role === config.NodeRole.Agent)
    expect(agents.map(node => [node.nodeId, node.condition, node.incarnation])).to.deep.equal([
      ['agent-0', config.NodeCondition.Lost, fleet.agents[0]!.identity.incarnation],
      ['agent-1', config.NodeCondition.Joined, replacement.identity.incarnation]
    ])
    await fleet.stop()
  })
})

describe('two streams between two entries', () => {
  it('transfer each document once and keep the peer joined when one of them is lost', async () => {
    const fleet = new Fleet()
    const left = fleet.addEntry('entry-0')
    const right = fleet.addEntry('entry-1', createSwitchableStore(fleet.store, { down: true }, fleet.timers))
    const second = linkNodes(right, left, fleet.timers, LINK_DELAY_MS)
    await fleet.advance(100)
    const beforeBytes = left.traffic.bytes
    await fleet.apply(left, 2)
    await fleet.advance(1_000)
    const documentBytes = JSON.stringify(left.registry.get(TEAM)!.document).length
    expect(right.registry.versionOf(TEAM)).to.equal(1)
    expect(left.traffic.bytes - beforeBytes).to.be.within(documentBytes, 2 * documentBytes)
    second.close(false)
    await fleet.advance(100)
    const status = (await awaitWithTime(fleet.timers, left.entryConfig!.collectStatus())).unwrap()
    expect(status.nodes.map(node => [node.nodeId, node.condition])).to.deep.equal([['entry-0', 'joined'], ['entry-1', 'joined']])
    await fleet.stop()
  })
})
