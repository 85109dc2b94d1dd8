/** One entry's part in the ownership of partitions: joining, authority, takeover and handover. */
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
import { judgeFirstSight } from './firstSight.ts'
import type { FirstSight } from './firstSight.ts'
import { LeaseHolder } from './leaseHolder.ts'
import { Membership } from './membership.ts'
import { PartitionPhase, unknownBeforeMs } from './partitionState.ts'
import type { OwnedPartition } from './partitionState.ts'
import { GivenPromises } from './promiseBook.ts'
import type { FenceTransport, OwnershipListener, PromiseTransport } from './transports.ts'
import { isNeededBy } from './witness.ts'

/** The entry as the other members know it. */
export interface EntryIdentity {
  entryId: string
  incarnation: string
  peerAddress: string
  failureDomain: string
}

/** What ownership needs. */
export interface OwnershipServices {
  store: platform.Store
  timers: settings.Timers
  log: settings.Log
  fences: FenceTransport
  promises: PromiseTransport
  listener: OwnershipListener
}

/** Leave to start tasks of a partition now. */
export interface StartGrant {
  epoch: number
  /** Wall-clock time after which agents must not take the start. */
  leaseExpiresAtMs: number
}

/** Why no task of a partition may be started here now. */
export enum StartDenial {
  /** Another member owns the partition, or none does. */
  NotOwner = 'not-owner',
  /** The agents are being fenced; the partition will be ready soon. */
  Acquiring = 'acquiring',
  /** The partition is going to another member. */
  Leaving = 'leaving',
  /** Neither the lease nor the other members' promises hold. */
  NoAuthority = 'no-authority'
}

/** The ownership of partitions by one entry. */
export class Ownership {
  private readonly lease: LeaseHolder
  private readonly authority: Authority
  private readonly assignments: AssignmentStore
  private readonly given: GivenPromises
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
    // Every sleep of every task listens for the stop.
    setMaxListeners(0, this.stopping.signal)
    this.snapshot = { assignment: createAssignment(options.partitionCount), revision: 0, storeRevision: 0, liveIncarnations: new Set() }
    this.assignments = new AssignmentStore(store, options.region, options.partitionCount, log)
    this.given = new GivenPromises(options, timers)
    this.lease = new LeaseHolder(memberPrefix(options.region) + identity.incarnation, options, services, () => { this.membership.wake() })
    this.authority = new Authority(this.lease, options, timers)
    this.membership = new Membership({
      identity,
      options,
      services,
      assignments: this.assignments,
      authority: this.authority,
      lease: this.lease,
      given: this.given,
      signal: this.stopping.signal,
      versionSeenBy: incarnation => this.versionsSeen.get(incarnation) ?? 0,
      noteVersion: (incarnation, version) => { this.noteVersion(incarnation, version) },
      snapshot: () => this.snapshot,
      apply: snapshot => { this.apply(snapshot) },
      setLeaving: (partitions, isLeaving) => { this.setLeaving(partitions, isLeaving) }
    })
  }

  /** Joins the assignment and keeps the lease until `leave` or `stop`. */
  start (): void {
    this.lease.start()
    this.loops.push(...this.membership.start())
  }

  /** Passes all partitions to the other members and leaves the assignment. */
  async leave (): Promise<void> {
    this.setLeaving([...this.owned.keys()], true)
    await this.membership.leave()
    await this.stop()
  }

  /** Stops without a handover: the partitions are taken over once the lease is gone. */
  async stop (): Promise<void> {
    this.stopping.abort()
    this.membership.wake()
    await this.lease.stop()
    await Promise.all(this.loops)
  }

  /** The assignment as this entry last read it. */
  get assignment (): Assignment {
    return this.snapshot.assignment
  }

  /** Returns the member that owns a partition, or undefined when none does. */
  ownerOf (partition: number): Member | undefined {
    const owner = this.snapshot.assignment.grants[partition]?.owner
    return owner === undefined ? undefined : findMember(this.snapshot.assignment, owner)
  }

  /** Returns the partitions that this entry owns, ready or not. */
  ownedPartitions (): number[] {
    return [...this.owned.keys()]
  }

  /** Checks, immediately before a batch of starts is sent, that tasks of a partition may be started. */
  checkStart (partition: number): results.Result<StartGrant, StartDenial> {
    const owned = this.owned.get(partition)
    if (owned === undefined) return results.Err(StartDenial.NotOwner)
    if (owned.phase === PartitionPhase.Acquiring) return results.Err(StartDenial.Acquiring)
    if (owned.phase === PartitionPhase.Leaving) return results.Err(StartDenial.Leaving)
    const remainingMs = this.authority.endsAtMs(this.otherMembers()) - this.services.timers.nowMs()
    if (remainingMs <= 0) return results.Err(StartDenial.NoAuthority)
    return results.Ok({ epoch: owned.epoch, leaseExpiresAtMs: this.services.timers.wallClockMs() + remainingMs })
  }

  /** Judges a submission that isn't known here and whose partition this entry owns. */
  judgeFirstSight (partition: number, submissionId: string): FirstSight {
    const owned = this.owned.get(partition)
    return judgeFirstSight(submissionId, {
      nowMs: this.services.timers.wallClockMs(),
      unknownBeforeMs: owned === undefined ? 0 : unknownBeforeMs(owned),
      clockBoundMs: this.options.clockBoundMs,
      retentionMs: this.options.retentionMs
    })
  }

  /** Answers another member's request for a promise or a release. */
  answerPromise (fromIncarnation: string, request: protocol.wire.IPromiseRequest): protocol.wire.IStorePromise {
    this.noteVersion(fromIncarnation, request.assignmentVersion ?? 0)
    const answer = this.createPromiseAnswer(request)
    if (request.releaseIncarnation) return { ...answer, released: this.release(request.releaseIncarnation, request.releaseLeaseCount ?? 0) }
    const lease = { incarnation: fromIncarnation, leaseCount: request.leaseCount ?? 0 }
    const isLeaseHeld = this.snapshot.liveIncarnations.has(fromIncarnation)
    return { ...answer, holdsForMs: this.given.give(lease, isLeaseHeld, this.lease.reachableSinceMs) }
  }

  /** A member that can't reach the store learns the assignment from the others. */
  private createPromiseAnswer (request: protocol.wire.IPromiseRequest): protocol.wire.IStorePromise {
    const { assignment, revision } = this.snapshot
    const answer = { sequence: request.sequence, assignmentVersion: assignment.version, holdsForMs: 0 }
    if ((request.assignmentVersion ?? 0) >= assignment.version) return answer
    return { ...answer, assignmentJson: encodeAssignment(assignment), assignmentRevision: revision }
  }

  private release (incarnation: string, leaseCount: number): boolean {
    const own = findMember(this.snapshot.assignment, this.identity.incarnation)
    const suspect = findMember(this.snapshot.assignment, incarnation)
    if (own === undefined || suspect === undefined || suspect.leaseCount !== leaseCount) return false
    if (!isNeededBy(own, suspect, this.versionsSeen.get(incarnation) ?? 0)) return false
    return this.given.tryRelease({ incarnation, leaseCount })
  }

  private otherMembers (): Member[] {
    return this.snapshot.assignment.members.filter(member => member.incarnation !== this.identity.incarnation)
  }

  private noteVersion (incarnation: string, version: number): void {
    if (version > (this.versionsSeen.get(incarnation) ?? 0)) this.versionsSeen.set(incarnation, version)
  }

  /** Takes a newer snapshot into use. */
  private apply (snapshot: Snapshot): void {
    if (snapshot.revision < this.snapshot.revision) return
    const isNewer = snapshot.revision > this.snapshot.revision
    this.snapshot = snapshot
    if (!isNewer) return
    this.dropLost(snapshot.assignment)
    this.addGranted(snapshot.assignment)
    this.services.listener.assignmentChanged()
  }

  private dropLost (assignment: Assignment): void {
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
      this.services.log.event(ownershipEvents.taskFailed, { error: protocol.toStepError(thrown, 'ownership.acquire', 'local').describe() })
    })
  }

  /** A first grant has no earlier owner, hence nothing to fence. */
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

/** Epoch of a partition that nobody has owned before. */
const FIRST_EPOCH = 1
