/** Connects partition ownership to an entry with a store: streams to other entries, fences, adoption and call routing. */
import * as ownership from '@egretvalve/ownership'
import type * as config from '@egretvalve/config'
import type * as platform from '@egretvalve/platform'
import * as protocol from '@egretvalve/protocol'
import type * as runtime from '@egretvalve/runtime'
import type * as settings from '@egretvalve/settings'
import type { CallerGateway } from '../api/routes.ts'
import { PeerConfigExchange } from '../config/peerExchange.ts'
import type { Dispatcher } from '../dispatch/dispatcher.ts'
import type { Job } from '../jobs/job.ts'
import type { JobRegistry } from '../jobs/registry.ts'
import { RoutedGateway } from '../jobs/routedGateway.ts'
import type { AgentLinks } from '../links/agentLinks.ts'
import { PeerLink } from '../peers/peerLink.ts'
import { PeerLinks } from '../peers/peerLinks.ts'
import { createPeerServer } from '../peers/peerServer.ts'
import type { PeerServices, SendFrame } from '../peers/services.ts'
import { Adoption } from './adoption.ts'
import type { AgentRoster } from './agentRoster.ts'
import { Fences } from './fences.ts'
import type { StartGrant } from './router.ts'

/** Dependencies of the ownership. */
export interface EntryOwnershipOptions {
  store: platform.Store
  timers: settings.Timers
  log: settings.Log
  tls: runtime.LinkTls | undefined
  identity: ownership.EntryIdentity
  region: string
  retentionMs: number
  /** Link addresses of other entries, from the settings. */
  peerAddresses: readonly string[]
  registry: JobRegistry
  dispatcher: Dispatcher
  agentLinks: AgentLinks
  roster: AgentRoster
  local: CallerGateway
  propagator: config.ConfigPropagator
  createHello: () => protocol.wire.IEntryHello
}

/** Partition ownership of one entry. */
export class EntryOwnership {
  readonly gateway: RoutedGateway
  readonly fences: Fences
  readonly ownership: ownership.Ownership
  private readonly peers: PeerLinks
  private readonly adoption: Adoption
  /** Streams to the entries named in the settings, through which this entry finds others if it starts while the store is down. */
  private readonly seedLinks: PeerLink[]

  constructor (private readonly options: EntryOwnershipOptions) {
    const { timers, log, store, registry, dispatcher, agentLinks } = options
    this.peers = new PeerLinks(this.createPeerServices(new Map()))
    this.seedLinks = options.peerAddresses.map(address => new PeerLink(address, this.createPeerServices(new Map())))
    this.fences = new Fences({
      timers,
      roster: options.roster,
      retentionMs: options.retentionMs,
      sessions: () => agentLinks.sessions,
      assignmentCreatedAtMs: () => this.ownership.assignment.createdAtMs
    })
    this.adoption = new Adoption({ timers, registry, dispatcher, agentLinks, checkFreshness: job => this.ownership.checkFreshness(job.partition, job.key.submissionId ?? '') })
    const ownershipSettings = ownership.resolveOwnershipDefaults({ region: options.region, retentionMs: options.retentionMs })
    this.ownership = new ownership.Ownership(options.identity, ownershipSettings, {
      store,
      timers,
      log,
      fences: this.fences,
      peerLeases: this.peers,
      listener: {
        acquired: acquisition => { this.adoption.adopt(acquisition) },
        lost: partitions => { this.resubmitToNewOwner(this.adoption.release(partitions)) },
        assignmentChanged: () => { this.updatePeers() }
      }
    })
    this.gateway = new RoutedGateway({ timers, local: options.local, registry, ownership: this.ownership, peers: this.peers, adoption: this.adoption })
  }

  start (): void {
    this.ownership.start()
    for (const link of this.seedLinks) link.run().catch(() => {})
  }

  /** True if another member is connected that can take over the partitions. */
  get hasSuccessor (): boolean {
    return this.otherMembers().some(member => this.peers.isConnected(member))
  }

  /** Addresses of all members of the current assignment, for agents and other entries. */
  get entryAddresses (): protocol.wire.IEntryAddress[] {
    return this.ownership.assignment.members.map(({ entryId, incarnation, peerAddress, failureDomain }) => ({ entryId, incarnation, peerAddress, failureDomain }))
  }

  /** Hands the partitions over to the other entries. The streams to them stay open for forwarded calls. */
  async leave (): Promise<void> {
    await this.ownership.leave()
  }

  stop (): void {
    this.peers.stop()
    for (const link of this.seedLinks) link.stop()
  }

  /** Returns the grant to start tasks of a partition, or undefined if this entry may not start them now. */
  checkStart (partition: number): StartGrant | undefined {
    const checked = this.ownership.checkStart(partition)
    return checked.ok ? checked.val : undefined
  }

  /** Creates the handler of a stream that another entry opens. */
  createPeerHandler (): runtime.LinkHandler<protocol.wire.PeerFrame, protocol.wire.IPeerFrame> {
    return createPeerServer({
      handleForward: async (forward, signal) => await this.gateway.handleForward(forward, signal),
      handlePeerLeaseRequest: (incarnation, request) => this.ownership.handlePeerLeaseRequest(incarnation, request)
    }, this.createPeerServices(new Map()))
  }

  /** Resubmits released jobs to the new owner of their partition, so that callers find them there later. Best effort: errors are ignored. */
  private resubmitToNewOwner (jobs: readonly Job[]): void {
    for (const job of jobs) {
      if (!job.needsSubmission) this.gateway.submit(job.submission, 0, new AbortController().signal).catch(() => {})
    }
  }

  private updatePeers (): void {
    const others = this.otherMembers()
    const isMember = others.length < this.ownership.assignment.members.length
    if (isMember) this.peers.update(others)
    this.options.agentLinks.sendEntries()
  }

  private otherMembers (): ownership.Member[] {
    return this.ownership.assignment.members.filter(member => member.incarnation !== this.options.identity.incarnation)
  }

  /**
   * `exchanges` holds the configuration exchanges of the streams that use these services, by incarnation of the other entry. Configuration is
   * exchanged on each stream; of several streams to the same entry, the propagator sends on one.
   */
  private createPeerServices (exchanges: Map<string, PeerConfigExchange>): PeerServices {
    const { timers, log, tls, createHello, propagator } = this.options
    return {
      timers,
      log,
      tls,
      createHello,
      onOpen: (hello: protocol.wire.IEntryHello, send: SendFrame) => {
        exchanges.get(hello.incarnation ?? '')?.close()
        exchanges.set(hello.incarnation ?? '', new PeerConfigExchange(propagator, hello, send))
      },
      onFrame: (hello, frame) => { exchanges.get(hello?.incarnation ?? '')?.receive(frame) },
      onClosed: hello => {
        exchanges.get(hello.incarnation ?? '')?.close()
        exchanges.delete(hello.incarnation ?? '')
      }
    }
  }
}
