/** The tasks that keep an entry in the assignment: watching it, joining, taking over, rebalancing and asking for promises. */
import * as protocol from '@egretvalve/protocol'
import { decodeAssignment, findMember, grantTo, partitionsOf, planRebalance, putMember, removeMember } from './assignment.ts'
import type { Assignment, Member, Transfer } from './assignment.ts'
import type { AssignmentStore, Snapshot } from './assignmentStore.ts'
import type { Authority } from './authority.ts'
import type { OwnershipSettings } from './defaults.ts'
import { ownershipEvents } from './events.ts'
import type { LeaseHolder } from './leaseHolder.ts'
import type { EntryIdentity, OwnershipServices } from './ownership.ts'
import type { GivenPromises } from './promiseBook.ts'
import { findWitness } from './witness.ts'

/** What the tasks share with the ownership that runs them. */
export interface MembershipContext {
  identity: EntryIdentity
  options: OwnershipSettings
  services: OwnershipServices
  assignments: AssignmentStore
  authority: Authority
  lease: LeaseHolder
  given: GivenPromises
  signal: AbortSignal
  versionSeenBy: (incarnation: string) => number
  noteVersion: (incarnation: string, version: number) => void
  snapshot: () => Snapshot
  apply: (snapshot: Snapshot) => void
  setLeaving: (partitions: readonly number[], isLeaving: boolean) => void
}

/** Delay between the members' attempts at the same takeover. */
const TAKEOVER_STAGGER_MS = 500

/** Runs the tasks until the signal aborts. */
export class Membership {
  private readonly missingSinceMs = new Map<string, number>()
  private endSleep: () => void = () => {}
  private isLeaving = false
  /** A transfer that was tried and is not known to have taken effect. */
  private unsettled: Transfer | undefined

  constructor (private readonly context: MembershipContext) {}

  start (): Array<Promise<void>> {
    return [
      this.repeat('ownership.watch', async () => { await this.watchOnce() }),
      this.repeat('ownership.maintain', async () => { await this.maintainOnce() }),
      this.repeat('ownership.promises', async () => { await this.askForPromises() })
    ]
  }

  /** Runs the next maintenance at once. */
  wake (): void {
    this.endSleep()
  }

  /** Removes this entry from the assignment; its partitions go to members whose leases hold. */
  async leave (): Promise<void> {
    this.isLeaving = true
    const { assignments, options, services, identity, authority } = this.context
    if (authority.assertedLeaseCount === 0) return
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
        this.context.services.log.event(ownershipEvents.taskFailed, { error: protocol.toStepError(thrown, step, 'local').describe() })
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
      await this.assertMembership()
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

  /** Only a member with a lease that stands in the assignment changes it. */
  private canChange (): boolean {
    const { authority, lease, services, signal } = this.context
    if (this.isLeaving || signal.aborted || lease.reachableSinceMs === undefined) return false
    return authority.assertedLeaseCount === lease.leaseCount && lease.expiresAtMs > services.timers.nowMs()
  }

  /** Joins the assignment, or names the lease that replaced an expired one, or joins again after a takeover. */
  private async assertMembership (): Promise<void> {
    const { assignments, authority, identity, lease, services } = this.context
    const leaseCount = lease.leaseCount
    const isJoined = findMember(this.context.snapshot().assignment, identity.incarnation)?.leaseCount === leaseCount
    if (leaseCount === 0 || (authority.assertedLeaseCount === leaseCount && isJoined)) return
    if (lease.expiresAtMs <= services.timers.nowMs()) return
    const outcome = await assignments.change(snapshot => {
      const known = findMember(snapshot.assignment, identity.incarnation)
      if (known?.leaseCount === leaseCount) return undefined
      const joinedVersion = known?.joinedVersion ?? snapshot.assignment.version + 1
      const createdAtMs = snapshot.assignment.createdAtMs === 0 ? services.timers.wallClockMs() : snapshot.assignment.createdAtMs
      return putMember({ ...snapshot.assignment, createdAtMs }, { ...identity, joinedVersion, leaseCount })
    })
    if (outcome.err) return
    authority.assertedLeaseCount = leaseCount
    this.context.apply(outcome.val.snapshot)
    services.log.event(ownershipEvents.joined, { leaseCount, version: outcome.val.snapshot.assignment.version })
  }

  private async takeOverExpired (): Promise<void> {
    const { services } = this.context
    const snapshot = this.context.snapshot()
    const live = snapshot.assignment.members.filter(member => snapshot.liveIncarnations.has(member.incarnation))
    const rank = live.findIndex(member => this.isSelf(member))
    const expired = snapshot.assignment.members.filter(member => !snapshot.liveIncarnations.has(member.incarnation) && !this.isSelf(member))
    this.noteMissing(expired)
    for (const suspect of expired) {
      const missingForMs = services.timers.nowMs() - (this.missingSinceMs.get(suspect.incarnation) ?? 0)
      if (missingForMs >= rank * TAKEOVER_STAGGER_MS) await this.takeOver(snapshot.assignment, suspect)
    }
  }

  private noteMissing (expired: readonly Member[]): void {
    const incarnations = new Set(expired.map(member => member.incarnation))
    for (const incarnation of this.missingSinceMs.keys()) {
      if (!incarnations.has(incarnation)) this.missingSinceMs.delete(incarnation)
    }
    for (const incarnation of incarnations) {
      if (!this.missingSinceMs.has(incarnation)) this.missingSinceMs.set(incarnation, this.context.services.timers.nowMs())
    }
  }

  private async takeOver (assignment: Assignment, suspect: Member): Promise<void> {
    const { assignments, identity, options, services, given, versionSeenBy } = this.context
    const missingSinceMs = this.missingSinceMs.get(suspect.incarnation) ?? services.timers.nowMs()
    const witness = await findWitness(assignment, identity.incarnation, suspect, missingSinceMs, options,
      { promises: services.promises, given, timers: services.timers, versionSeenBy })
    if (witness === undefined) {
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
    if (outcome.val.isApplied) services.log.event(ownershipEvents.takeover, { member: suspect.entryId, witness })
    this.context.apply(outcome.val.snapshot)
  }

  private async rebalance (): Promise<void> {
    const { assignments, identity, services } = this.context
    if (this.unsettled !== undefined && !await this.settle(this.unsettled)) return
    const snapshot = this.context.snapshot()
    const isEligible = (member: Member): boolean => snapshot.liveIncarnations.has(member.incarnation)
    const transfer = planRebalance(snapshot.assignment, identity.incarnation, isEligible)
    if (transfer === undefined) return
    this.unsettled = transfer
    this.context.setLeaving(transfer.partitions, true)
    const outcome = await assignments.change(current => applyTransfer(current, identity.incarnation, transfer))
    if (outcome.err || !outcome.val.isApplied) return
    this.unsettled = undefined
    this.context.apply(outcome.val.snapshot)
    services.log.event(ownershipEvents.handedOver, { partitions: transfer.partitions.length })
  }

  /**
   * Takes partitions back into service whose transfer failed. A write of which the answer was lost may still take effect,
   * so a further change first makes its expected revision obsolete.
   */
  private async settle (transfer: Transfer): Promise<boolean> {
    const outcome = await this.context.assignments.change(current => ({ ...current.assignment }))
    if (outcome.err) return false
    this.unsettled = undefined
    this.context.apply(outcome.val.snapshot)
    this.context.setLeaving(transfer.partitions, false)
    return true
  }

  /** Asks the other members for promises while renewals fail, and tells them until all know this member. */
  private async askForPromises (): Promise<void> {
    const { authority, identity, options, services, signal } = this.context
    await services.timers.sleep(options.promiseRequestMs, signal)
    if (signal.aborted) return
    const assignment = this.context.snapshot().assignment
    const own = findMember(assignment, identity.incarnation)
    if (own === undefined) return
    const isNeeded = authority.needsPromises()
    for (const member of assignment.members) {
      if (this.isSelf(member)) continue
      const isUnaware = member.joinedVersion < own.joinedVersion && this.context.versionSeenBy(member.incarnation) < own.joinedVersion
      if (isNeeded || isUnaware) this.ask(member, assignment.version).catch(() => {})
    }
  }

  private async ask (member: Member, assignmentVersion: number): Promise<void> {
    const { authority, options, services } = this.context
    const requestedAtMs = services.timers.nowMs()
    const request: protocol.wire.IPromiseRequest = { sequence: requestedAtMs, assignmentVersion, leaseCount: authority.assertedLeaseCount }
    const answer = await services.promises.ask(member, request, options.promiseMs)
    if (answer.err) return
    this.context.noteVersion(member.incarnation, answer.val.assignmentVersion ?? 0)
    if (answer.val.assignmentJson) this.learnAssignment(answer.val.assignmentJson, answer.val.assignmentRevision ?? 0)
    if (authority.assertedLeaseCount === request.leaseCount) authority.received.note(member.incarnation, requestedAtMs, answer.val.holdsForMs ?? 0)
  }

  /** Takes an assignment that another member has read from the store. */
  private learnAssignment (assignmentJson: string, revision: number): void {
    this.context.apply({ ...this.context.snapshot(), assignment: decodeAssignment(assignmentJson), revision })
  }
}

function applyTransfer (snapshot: Snapshot, fromIncarnation: string, transfer: Transfer): Assignment | undefined {
  const owned = new Set(partitionsOf(snapshot.assignment, fromIncarnation))
  const isStillOwned = transfer.partitions.every(partition => owned.has(partition))
  if (!isStillOwned || findMember(snapshot.assignment, transfer.toIncarnation) === undefined) return undefined
  return grantTo(snapshot.assignment, transfer.partitions, transfer.toIncarnation)
}
