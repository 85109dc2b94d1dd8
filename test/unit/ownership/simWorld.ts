/** A simulated region: a store, entries and agents, which a schedule runs. */
import * as ownership from '@egretvalve/ownership'
import type * as platform from '@egretvalve/platform'
import * as protocol from '@egretvalve/protocol'
import * as settings from '@egretvalve/settings'
import * as standin from '@egretvalve/standin'
import { createRecord, SimAgent } from './simAgent.ts'
import type { RecordFactory } from './simAgent.ts'
import { SimEntry } from './simEntry.ts'
import { SimNetwork } from './simNetwork.ts'
import { Oracle } from './simOracle.ts'
import { Random } from './simRandom.ts'
import { SimStore } from './simStore.ts'
import type { SimStoreState } from './simStore.ts'
import { NodeClock, SimTime } from './simTimers.ts'
import { createFences, createPeerLeases } from './simTransports.ts'

const UNLIMITED_RATE = 1_000_000
const PARTITION_COUNT = 2
const AGENT_COUNT = 3
const CLOCK_BOUND_MS = protocol.MAX_CLOCK_SKEW_MS

/** Parts of the simulated region that a mutation replaces. */
export interface Mutation {
  createRecord: RecordFactory
  wrapFences: (fences: ownership.FenceTransport) => ownership.FenceTransport
  wrapPeerLeases: (peerLeases: ownership.PeerLeaseTransport) => ownership.PeerLeaseTransport
}

/** Leaves the code under test unchanged. */
export const unmutated: Mutation = { createRecord, wrapFences: fences => fences, wrapPeerLeases: peerLeases => peerLeases }

export class SimWorld {
  readonly freshness = ownership.Freshness
  readonly time = new SimTime()
  readonly random: Random
  readonly network: SimNetwork
  readonly oracle = new Oracle()
  readonly storeState: SimStoreState = { isDown: false, losesAnswers: false }
  readonly entries = new Map<string, SimEntry>()
  readonly agents = new Map<string, SimAgent>()
  private readonly backing: platform.Store
  private readonly storeClock: NodeClock
  private entryNumber = 0

  constructor (seed: number, private readonly mutation: Mutation) {
    this.random = new Random(seed)
    this.network = new SimNetwork(this.time, this.random)
    this.storeClock = new NodeClock(this.time, 0)
    this.backing = new standin.MemoryStore(this.storeClock, UNLIMITED_RATE, UNLIMITED_RATE)
    for (let index = 0; index < AGENT_COUNT; index++) this.addAgent(`agent-${index}`, 1)
  }

  partitionOf (key: protocol.wire.ISubmissionKey): number {
    return protocol.hashText(protocol.submissionKeyText(key)) % PARTITION_COUNT
  }

  pickAgent (): SimAgent {
    return this.random.pick([...this.agents.values()])
  }

  /** Adds an entry and starts its ownership. */
  addEntry (): SimEntry {
    const incarnation = `entry-${this.entryNumber++}`
    const clock = new NodeClock(this.time, this.randomOffsetMs())
    const entry = new SimEntry(incarnation, clock, this)
    const options = ownership.resolveOwnershipDefaults({ region: 'r', partitionCount: PARTITION_COUNT, takeoverCheckMs: 1_000 })
    entry.ownership = new ownership.Ownership({ entryId: incarnation, incarnation, peerAddress: incarnation, failureDomain: 'a' }, options, {
      store: new SimStore(incarnation, this.backing, this.storeState, this.time, clock, this.network, this.random),
      timers: clock,
      log: settings.createSilentLog(),
      fences: this.mutation.wrapFences(createFences(this, entry)),
      peerLeases: this.mutation.wrapPeerLeases(createPeerLeases(this, entry)),
      listener: {
        acquired: acquisition => { entry.adopt(acquisition) },
        lost: partitions => { entry.drop(partitions) },
        assignmentChanged: () => {}
      }
    })
    this.entries.set(incarnation, entry)
    entry.ownership.start()
    return entry
  }

  /** Replaces an agent with its next incarnation, whose start record is empty. */
  restartAgent (agentId: string): void {
    const old = this.agents.get(agentId)
    if (old === undefined) return
    old.clock.isStopped = true
    this.addAgent(agentId, old.incarnation + 1)
  }

  /** Submits a caller's job to an entry and checks the answer. */
  call (entry: SimEntry, key: protocol.wire.ISubmissionKey, taskCount: number): void {
    this.oracle.recordSubmission(key)
    entry.clock.run(() => {
      entry.submit(key, taskCount, answer => { this.oracle.recordAnswer(answer, taskCount) })
    })
  }

  /** Stops every node, so that no callback of the simulation runs any more. */
  stop (): void {
    for (const entry of this.entries.values()) entry.clock.isStopped = true
    for (const agent of this.agents.values()) agent.clock.isStopped = true
    this.storeClock.isStopped = true
  }

  private addAgent (agentId: string, incarnation: number): void {
    this.agents.set(agentId, new SimAgent(agentId, incarnation, this.time, this.randomOffsetMs(), this.random, this.oracle, this.mutation.createRecord))
  }

  /** Wall clocks are off by half of the clock bound at most, so two of them differ by at most the bound. */
  private randomOffsetMs (): number {
    return this.random.below(CLOCK_BOUND_MS) - CLOCK_BOUND_MS / 2
  }
}
