/** Partition ownership as one entry sees it: membership, authority to start tasks, takeover and handover. */
import { setMaxListeners } from 'node:events'
import type * as platform from '@egretvalve/platform'
import * as protocol from '@egretvalve/protocol'
import type * as settings from '@egretvalve/settings'
import * as results from 'ts-results'
import { acquirePartitions } from './acquisition.ts'
import { createAssignment, encodeAssignment, findMember } from './assignment.ts'
import type { Assignment, Member } from './assignment.ts'
import { AssignmentStore, memberPrefix } from './assignmentStore.ts'
import type { Snapshot } from './assignmentStore.ts'
import { Authority } from './authority.ts'
import type { OwnershipSettings } from './defaults.ts'
import { ownershipEvents } from './events.ts'
import { checkFreshness } from './freshness.ts'
import type { Freshness } from './freshness.ts'
import { LeaseHolder } from './leaseHolder.ts'
import { Membership } from './membership.ts'
import { PartitionPhase, unknownBeforeMs } from './partitionState.ts'
import type { OwnedPartition } from './partitionState.ts'
import { GrantedPeerLeases } from './peerLeases.ts'
import type { FenceTransport, OwnershipListener, PeerLeaseTransport } from './transports.ts'
import { isPeerLeaseRequired } from './stopEvidence.ts'

/** Identifies an entry to the other members. */
export interface EntryIdentity {
  entryId: string
  incarnation: string
  peerAddress: string
  failureDomain: string
}

/** Dependencies of `Ownership`. */
export interface OwnershipServices {
  store: platform.Store
  timers: settings.Timers
  log: settings.Log
  fences: FenceTransport
  peerLeases: PeerLeaseTransport
  listener: OwnershipListener
}

/** Permission to start tasks of a partition. */
export interface StartGrant {
  epoch: number
  /** Wall-clock time from which agents refuse the start. */
  leaseExpiresAtMs: number
}

/** Why this entry may not start tasks of a partition. */
export enum StartDenial {
  /** Another member owns the partition, or none does. */
  NotOwner = 'not-owner',
  /** The agents are being fenced and their records gathered. */
  Acquiring = 'acquiring',
  /** The partition is being handed over to another member. */
  Leaving = 'leaving',
  /** Neither the store lease nor the peer leases of all other members are valid. */
  NoAuthority = 'no-authority'
}

/** Manages the partitions that one entry owns. */
export class Ownership {
  private readonly lease: LeaseHolder
  private readonly authority: Authority
  private readonly assignments: AssignmentStore
  private readonly grantedPeerLeases: GrantedPeerLeases
  private readonly membership: Membership
  private readonly owned = new Map<number, OwnedPartition>()
  private readonly versionsSeen = new Map<string, number>()
  private readonly stopping = new AbortController()
  private readonly loops: Array<Promise<void>> = []
  private snapshot: Snapshot

  constructor (
    readonly identity: EntryIdentity,
    private readonly options: OwnershipSettings,
    private readonly services: OwnershipServices
  ) {
    const { store, timers, log } = services
    // Each pending sleep has an abort listener; their number is not a leak.
    setMaxListeners(0, this.stopping.signal)
    this.snapshot = { assignment: createAssignment(options.partitionCount), revision: 0, storeRevision: 0, liveIncarnations: new Set() }
    this.assignments = new AssignmentStore(store, options.region, options.partitionCount, log)
    this.grantedPeerLeases = new GrantedPeerLeases(options, timers)
    this.lease = new LeaseHolder(memberPrefix(options.region) + identity.incarnation, options, services, () => { this.membership.wake() })
    this.authority = new Authority(this.lease, options, timers)
    this.membership = new Membership({
      identity,
      options,
      services,
      assignments: this.assignments,
      authority: this.authority,
      lease: this.lease,
      grantedPeerLeases: this.grantedPeerLeases,
      signal: this.stopping.signal,
      versionSeenBy: incarnation => this.versionsSeen.get(incarnation) ?? 0,
      recordVersion: (incarnation, version) => { this.recordVersion(incarnation, version) },
      snapshot: () => this.snapshot,
      apply: snapshot => { this.apply(snapshot) },
      setLeaving: (partitions, isLeaving) => { this.setLeaving(partitions, isLeaving) }
    })
  }

  /** Joins the assignment and renews the lease until `leave` or `stop`. */
  start (): void {
    this.lease.start()
    this.loops.push(...this.membership.start())
  }

  /** Hands all partitions over to the other members and leaves the assignment. */
  async leave (): Promise<void> {
    this.setLeaving([...this.owned.keys()], true)
    await this.membership.leave()
    await this.stop()
  }

  /** Stops without a handover: other members take the partitions over once the lease is revoked or has expired. */
  async stop (): Promise<void> {
    this.stopping.abort()
    this.membership.wake()
    await this.lease.stop()
    await Promise.all(this.loops)
  }

  /** The latest assignment that this entry knows, from the store or from a peer. */
  get assignment (): Assignment {
    return this.snapshot.assignment
  }

  /** Returns the member that owns a partition, or undefined when none does. */
  ownerOf (partition: number): Member | undefined {
    const owner = this.snapshot.assignment.grants[partition]?.owner
    return owner === undefined ? undefined : findMember(this.snapshot.assignment, owner)
  }

  /** Returns the partitions that this entry owns, in any phase. */
  ownedPartitions (): number[] {
    return [...this.owned.keys()]
  }

  /**
   * Checks that tasks of a partition may be started. Must be called immediately before each batch of starts is sent: the
   * returned expiry is the end of the current authority.
   */
  checkStart (partition: number): results.Result<StartGrant, StartDenial> {
    const owned = this.owned.get(partition)
    if (owned === undefined) return results.Err(StartDenial.NotOwner)
    if (owned.phase === PartitionPhase.Acquiring) return results.Err(StartDenial.Acquiring)
    if (owned.phase === PartitionPhase.Leaving) return results.Err(StartDenial.Leaving)
    const remainingMs = this.authority.endsAtMs(this.otherMembers()) - this.services.timers.nowMs()
    if (remainingMs <= 0) return results.Err(StartDenial.NoAuthority)
    return results.Ok({ epoch: owned.epoch, leaseExpiresAtMs: this.services.timers.wallClockMs() + remainingMs })
  }

  /** Checks whether a submission of an owned partition that this entry has no record of may be started. */
  checkFreshness (partition: number, submissionId: string): Freshness {
    const owned = this.owned.get(partition)
    return checkFreshness(submissionId, {
      nowMs: this.services.timers.wallClockMs(),
      unknownBeforeMs: owned === undefined ? 0 : unknownBeforeMs(owned),
      clockBoundMs: this.options.clockBoundMs,
      retentionMs: this.options.retentionMs
    })
  }

  /** Handles another member's request for a peer lease, or for the release of a third member's lease. */
  handlePeerLeaseRequest (fromIncarnation: string, request: protocol.wire.IPromiseRequest): protocol.wire.IStorePromise {
    this.recordVersion(fromIncarnation, request.assignmentVersion ?? 0)
    const answer = this.createPeerLeaseAnswer(request)
    if (request.releaseIncarnation) return { ...answer, released: this.release(request.releaseIncarnation, request.releaseLeaseCount ?? 0) }
    const lease = { incarnation: fromIncarnation, leaseCount: request.leaseCount ?? 0 }
    const isLeaseHeld = this.snapshot.liveIncarnations.has(fromIncarnation)
    return { ...answer, holdsForMs: this.grantedPeerLeases.grant(lease, isLeaseHeld, this.lease.reachableSinceMs) }
  }

  /** Includes the assignment if the sender's version is older, for members that can't reach the store. */
  private createPeerLeaseAnswer (request: protocol.wire.IPromiseRequest): protocol.wire.IStorePromise {
    const { assignment, revision } = this.snapshot
    const answer = { sequence: request.sequence, assignmentVersion: assignment.version, holdsForMs: 0 }
    if ((request.assignmentVersion ?? 0) >= assignment.version) return answer
    return { ...answer, assignmentJson: encodeAssignment(assignment), assignmentRevision: revision }
  }

  private release (incarnation: string, leaseCount: number): boolean {
    const own = findMember(this.snapshot.assignment, this.identity.incarnation)
    const suspect = findMember(this.snapshot.assignment, incarnation)
    if (own === undefined || suspect === undefined || suspect.leaseCount !== leaseCount) return false
    if (!isPeerLeaseRequired(own, suspect, this.versionsSeen.get(incarnation) ?? 0)) return false
    return this.grantedPeerLeases.tryRelease({ incarnation, leaseCount })
  }

  private otherMembers (): Member[] {
    return this.snapshot.assignment.members.filter(member => member.incarnation !== this.identity.incarnation)
  }

  private recordVersion (incarnation: string, version: number): void {
    if (version > (this.versionsSeen.get(incarnation) ?? 0)) this.versionsSeen.set(incarnation, version)
  }

  /** Replaces the snapshot unless it is older than the current one. */
  private apply (snapshot: Snapshot): void {
    if (snapshot.revision < this.snapshot.revision) return
    const isNewer = snapshot.revision > this.snapshot.revision
    this.snapshot = snapshot
    if (!isNewer) return
    this.removeLost(snapshot.assignment)
    this.addGranted(snapshot.assignment)
    this.services.listener.assignmentChanged()
  }

  private removeLost (assignment: Assignment): void {
    const lost = [...this.owned].filter(([partition, owned]) => !this.isGrantedAt(assignment, partition, owned.epoch)).map(([partition]) => partition)
    for (const partition of lost) this.owned.delete(partition)
    if (lost.length === 0) return
    this.services.log.event(ownershipEvents.lost, { partitions: lost.length })
    this.services.listener.lost(lost)
  }

  private addGranted (assignment: Assignment): void {
    const granted = new Map<number, OwnedPartition>()
    assignment.grants.forEach((grant, partition) => {
      if (grant.owner !== this.identity.incarnation || this.owned.has(partition)) return
      granted.set(partition, { epoch: grant.epoch, phase: PartitionPhase.Acquiring, unknownBeforeMsByAgent: new Map() })
    })
    if (granted.size === 0) return
    for (const [partition, owned] of granted) this.owned.set(partition, owned)
    this.acquire(granted).catch(thrown => {
      this.services.log.event(ownershipEvents.operationFailed, { error: protocol.toStepError(thrown, 'ownership.acquire', 'local').describe() })
    })
  }

  /** Acquires granted partitions. Those at the first epoch have no earlier owner and need no fence. */
  private async acquire (granted: ReadonlyMap<number, OwnedPartition>): Promise<void> {
    const first = [...granted].filter(([, owned]) => owned.epoch === FIRST_EPOCH)
    for (const [, owned] of first) owned.phase = PartitionPhase.Ready
    if (first.length > 0) this.services.listener.acquired({ partitions: first.map(([partition]) => partition), records: [], isFirst: true })
    const later = new Map([...granted].filter(([, owned]) => owned.epoch !== FIRST_EPOCH))
    if (later.size === 0) return
    const isCurrent = (partition: number): boolean => this.owned.get(partition) === later.get(partition)
    await acquirePartitions({ partitions: later, isCurrent }, this.options, { ...this.services, signal: this.stopping.signal })
  }

  private isGrantedAt (assignment: Assignment, partition: number, epoch: number): boolean {
    const grant = assignment.grants[partition]
    return grant !== undefined && grant.owner === this.identity.incarnation && grant.epoch === epoch
  }

  private setLeaving (partitions: readonly number[], isLeaving: boolean): void {
    for (const partition of partitions) {
      const owned = this.owned.get(partition)
      if (owned === undefined || owned.phase === PartitionPhase.Acquiring) continue
      owned.phase = isLeaving ? PartitionPhase.Leaving : PartitionPhase.Ready
    }
  }
}

/** Epoch of the first grant of a partition. */
const FIRST_EPOCH = 1
