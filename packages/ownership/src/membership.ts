/** Background loops of a member: watching the assignment, joining, takeover, rebalancing and requesting peer leases. */
import * as protocol from '@egretvalve/protocol'
import { decodeAssignment, findMember, grantTo, partitionsOf, planRebalance, upsertMember, removeMember } from './assignment.ts'
import type { Assignment, Member, Transfer } from './assignment.ts'
import type { AssignmentStore, Snapshot } from './assignmentStore.ts'
import type { Authority } from './authority.ts'
import type { OwnershipSettings } from './defaults.ts'
import { ownershipEvents } from './events.ts'
import type { LeaseHolder } from './leaseHolder.ts'
import type { EntryIdentity, OwnershipServices } from './ownership.ts'
import type { GrantedPeerLeases } from './peerLeases.ts'
import { findStopEvidence } from './stopEvidence.ts'

/** State and callbacks that the loops share with `Ownership`. */
export interface MembershipContext {
  identity: EntryIdentity
  options: OwnershipSettings
  services: OwnershipServices
  assignments: AssignmentStore
  authority: Authority
  lease: LeaseHolder
  grantedPeerLeases: GrantedPeerLeases
  signal: AbortSignal
  versionSeenBy: (incarnation: string) => number
  recordVersion: (incarnation: string, version: number) => void
  snapshot: () => Snapshot
  apply: (snapshot: Snapshot) => void
  setLeaving: (partitions: readonly number[], isLeaving: boolean) => void
}

/** Delay between the takeover attempts of members with consecutive ranks, so that usually only the first one writes. */
const TAKEOVER_STAGGER_MS = 500

/** Runs the loops until the signal aborts. */
export class Membership {
  private readonly missingSinceMs = new Map<string, number>()
  private endSleep: () => void = () => {}
  private isLeaving = false
  /** A transfer whose write failed and may still take effect. */
  private pendingTransfer: Transfer | undefined

  constructor (private readonly context: MembershipContext) {}

  start (): Array<Promise<void>> {
    return [
      this.repeat('ownership.watch', async () => { await this.watchOnce() }),
      this.repeat('ownership.maintain', async () => { await this.maintainOnce() }),
      this.repeat('ownership.peerLeases', async () => { await this.requestPeerLeases() })
    ]
  }

  /** Ends the pause before the next maintenance pass. */
  wake (): void {
    this.endSleep()
  }

  /** Removes this entry from the assignment and grants its partitions to members with a valid lease. Retries for one lease duration. */
  async leave (): Promise<void> {
    this.isLeaving = true
    const { assignments, options, services, identity, authority } = this.context
    if (authority.registeredLeaseCount === 0) return
    for (let endsAtMs = services.timers.nowMs() + options.leaseMs; services.timers.nowMs() < endsAtMs;) {
      const outcome = await assignments.change(snapshot => {
        if (findMember(snapshot.assignment, identity.incarnation) === undefined) return undefined
        return removeMember(snapshot.assignment, identity.incarnation, member => snapshot.liveIncarnations.has(member.incarnation))
      })
      if (outcome.ok) {
        services.log.event(ownershipEvents.left)
        this.context.apply(outcome.val.snapshot)
        return
      }
      await services.timers.sleep(options.retryMs)
    }
  }

  private async repeat (step: string, once: () => Promise<void>): Promise<void> {
    while (!this.context.signal.aborted) {
      try {
        await once()
      } catch (thrown) {
        this.context.services.log.event(ownershipEvents.operationFailed, { error: protocol.toStepError(thrown, step, 'local').describe() })
        await this.context.services.timers.sleep(this.context.options.retryMs, this.context.signal)
      }
    }
  }

  private async watchOnce (): Promise<void> {
    const { assignments, options, services, signal } = this.context
    const read = await assignments.read()
    if (signal.aborted) return
    if (read.ok) this.context.apply(read.val)
    const watched = read.ok ? await assignments.watch(read.val.storeRevision, options.watchMs, signal) : read
    if (watched.err) await services.timers.sleep(options.retryMs, signal)
  }

  private async maintainOnce (): Promise<void> {
    const { options, services, signal } = this.context
    if (!this.isLeaving) {
      await this.ensureMembership()
      if (this.canChange()) await this.takeOverExpired()
      if (this.canChange() && options.rebalances) await this.rebalance()
    }
    if (signal.aborted) return
    await new Promise<void>(resolve => {
      const timer = services.timers.after(options.takeoverCheckMs, resolve)
      this.endSleep = () => {
        timer.cancel()
        resolve()
      }
    })
  }

  private isSelf (member: Member): boolean {
    return member.incarnation === this.context.identity.incarnation
  }

  /** Only a member whose current lease is valid and registered in the assignment may change the assignment. */
  private canChange (): boolean {
    const { authority, lease, services, signal } = this.context
    if (this.isLeaving || signal.aborted || lease.reachableSinceMs === undefined) return false
    return authority.registeredLeaseCount === lease.leaseCount && lease.expiresAtMs > services.timers.nowMs()
  }

  /** Joins the assignment, registers a lease that replaced an expired one, or rejoins after a takeover. */
  private async ensureMembership (): Promise<void> {
    const { assignments, authority, identity, lease, services } = this.context
    const leaseCount = lease.leaseCount
    const isJoined = findMember(this.context.snapshot().assignment, identity.incarnation)?.leaseCount === leaseCount
    if (leaseCount === 0 || (authority.registeredLeaseCount === leaseCount && isJoined)) return
    if (lease.expiresAtMs <= services.timers.nowMs()) return
    const outcome = await assignments.change(snapshot => {
      const known = findMember(snapshot.assignment, identity.incarnation)
      if (known?.leaseCount === leaseCount) return undefined
      const joinedVersion = known?.joinedVersion ?? snapshot.assignment.version + 1
      const createdAtMs = snapshot.assignment.createdAtMs === 0 ? services.timers.wallClockMs() : snapshot.assignment.createdAtMs
      return upsertMember({ ...snapshot.assignment, createdAtMs }, { ...identity, joinedVersion, leaseCount })
    })
    if (outcome.err) return
    authority.registeredLeaseCount = leaseCount
    this.context.apply(outcome.val.snapshot)
    services.log.event(ownershipEvents.joined, { leaseCount, version: outcome.val.snapshot.assignment.version })
  }

  private async takeOverExpired (): Promise<void> {
    const { services } = this.context
    const snapshot = this.context.snapshot()
    const live = snapshot.assignment.members.filter(member => snapshot.liveIncarnations.has(member.incarnation))
    const rank = live.findIndex(member => this.isSelf(member))
    const expired = snapshot.assignment.members.filter(member => !snapshot.liveIncarnations.has(member.incarnation) && !this.isSelf(member))
    this.recordMissing(expired)
    for (const suspect of expired) {
      const missingForMs = services.timers.nowMs() - (this.missingSinceMs.get(suspect.incarnation) ?? 0)
      if (missingForMs >= rank * TAKEOVER_STAGGER_MS) await this.takeOver(snapshot.assignment, suspect)
    }
  }

  private recordMissing (expired: readonly Member[]): void {
    const incarnations = new Set(expired.map(member => member.incarnation))
    for (const incarnation of this.missingSinceMs.keys()) {
      if (!incarnations.has(incarnation)) this.missingSinceMs.delete(incarnation)
    }
    for (const incarnation of incarnations) {
      if (!this.missingSinceMs.has(incarnation)) this.missingSinceMs.set(incarnation, this.context.services.timers.nowMs())
    }
  }

  private async takeOver (assignment: Assignment, suspect: Member): Promise<void> {
    const { assignments, identity, options, services, grantedPeerLeases, versionSeenBy } = this.context
    const missingSinceMs = this.missingSinceMs.get(suspect.incarnation) ?? services.timers.nowMs()
    const evidence = await findStopEvidence(assignment, identity.incarnation, suspect, missingSinceMs, options,
      { peerLeases: services.peerLeases, grantedPeerLeases, timers: services.timers, versionSeenBy })
    if (evidence === undefined) {
      services.log.event(ownershipEvents.takeoverBlocked, { member: suspect.entryId })
      return
    }
    if (!this.canChange()) return
    const outcome = await assignments.change(snapshot => {
      const current = findMember(snapshot.assignment, suspect.incarnation)
      const isExpired = !snapshot.liveIncarnations.has(suspect.incarnation)
      if (current?.leaseCount !== suspect.leaseCount || !isExpired) return undefined
      if (findMember(snapshot.assignment, identity.incarnation) === undefined) return undefined
      return removeMember(snapshot.assignment, suspect.incarnation, member => snapshot.liveIncarnations.has(member.incarnation) || this.isSelf(member))
    })
    if (outcome.err) return
    if (outcome.val.isApplied) services.log.event(ownershipEvents.takeover, { member: suspect.entryId, witness: evidence })
    this.context.apply(outcome.val.snapshot)
  }

  private async rebalance (): Promise<void> {
    const { assignments, identity, services } = this.context
    if (this.pendingTransfer !== undefined && !await this.resolveTransfer(this.pendingTransfer)) return
    const snapshot = this.context.snapshot()
    const isEligible = (member: Member): boolean => snapshot.liveIncarnations.has(member.incarnation)
    const transfer = planRebalance(snapshot.assignment, identity.incarnation, isEligible)
    if (transfer === undefined) return
    this.pendingTransfer = transfer
    this.context.setLeaving(transfer.partitions, true)
    const outcome = await assignments.change(current => applyTransfer(current, identity.incarnation, transfer))
    if (outcome.err || !outcome.val.isApplied) return
    this.pendingTransfer = undefined
    this.context.apply(outcome.val.snapshot)
    services.log.event(ownershipEvents.handedOver, { partitions: transfer.partitions.length })
  }

  /**
   * Puts the partitions of a failed transfer back into service. A write whose answer was lost may still take effect, so
   * another change is written first, which makes the expected revision of the lost write stale.
   */
  private async resolveTransfer (transfer: Transfer): Promise<boolean> {
    const outcome = await this.context.assignments.change(current => ({ ...current.assignment }))
    if (outcome.err) return false
    this.pendingTransfer = undefined
    this.context.apply(outcome.val.snapshot)
    this.context.setLeaving(transfer.partitions, false)
    return true
  }

  /**
   * Requests peer leases from the other members while the store lease can't be renewed. Members that joined earlier are
   * sent requests until they have seen a version of the assignment that contains this member.
   */
  private async requestPeerLeases (): Promise<void> {
    const { authority, identity, options, services, signal } = this.context
    await services.timers.sleep(options.peerLeaseRequestMs, signal)
    if (signal.aborted) return
    const assignment = this.context.snapshot().assignment
    const own = findMember(assignment, identity.incarnation)
    if (own === undefined) return
    const isNeeded = authority.needsPeerLeases()
    for (const member of assignment.members) {
      if (this.isSelf(member)) continue
      const isUnaware = member.joinedVersion < own.joinedVersion && this.context.versionSeenBy(member.incarnation) < own.joinedVersion
      if (isNeeded || isUnaware) this.requestPeerLease(member, assignment.version).catch(() => {})
    }
  }

  private async requestPeerLease (member: Member, assignmentVersion: number): Promise<void> {
    const { authority, options, services } = this.context
    const requestedAtMs = services.timers.nowMs()
    const request: protocol.wire.IPromiseRequest = { sequence: requestedAtMs, assignmentVersion, leaseCount: authority.registeredLeaseCount }
    const answer = await services.peerLeases.request(member, request, options.peerLeaseMs)
    if (answer.err) return
    this.context.recordVersion(member.incarnation, answer.val.assignmentVersion ?? 0)
    if (answer.val.assignmentJson) this.applyPeerAssignment(answer.val.assignmentJson, answer.val.assignmentRevision ?? 0)
    if (authority.registeredLeaseCount === request.leaseCount) authority.receivedPeerLeases.record(member.incarnation, requestedAtMs, answer.val.holdsForMs ?? 0)
  }

  /** Applies an assignment that another member has read from the store. */
  private applyPeerAssignment (assignmentJson: string, revision: number): void {
    this.context.apply({ ...this.context.snapshot(), assignment: decodeAssignment(assignmentJson), revision })
  }
}

function applyTransfer (snapshot: Snapshot, fromIncarnation: string, transfer: Transfer): Assignment | undefined {
  const owned = new Set(partitionsOf(snapshot.assignment, fromIncarnation))
  const isStillOwned = transfer.partitions.every(partition => owned.has(partition))
  if (!isStillOwned || findMember(snapshot.assignment, transfer.toIncarnation) === undefined) return undefined
  return grantTo(snapshot.assignment, transfer.partitions, transfer.toIncarnation)
}
