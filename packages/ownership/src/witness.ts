/** Decides whether a member without a lease has certainly stopped starting tasks. */
import type * as protocol from '@egretvalve/protocol'
import type * as settings from '@egretvalve/settings'
import { findMember } from './assignment.ts'
import type { Assignment, Member } from './assignment.ts'
import type { OwnershipSettings } from './defaults.ts'
import type { GivenPromises } from './promiseBook.ts'
import type { PromiseTransport } from './transports.ts'

/** Whose word shows that a member has stopped. */
export enum WitnessKind {
  /** This entry, whose promise the member would need. */
  Self = 'self',
  /** Another member, whose promise the member would need. */
  Peer = 'peer',
  /** The member's process has ended. */
  ProcessEnded = 'process-ended',
  /** The longest time that an owner goes on past its lease has passed. */
  TimePassed = 'time-passed'
}

/** What finding a witness needs. */
export interface WitnessServices {
  promises: PromiseTransport
  given: GivenPromises
  timers: settings.Timers
  /** Highest version of the assignment that a member is known to have seen. */
  versionSeenBy: (incarnation: string) => number
}

/**
 * True when the suspect can't go on without the promise of this member: its view of the assignment, however old, holds
 * the member.
 */
export function isNeededBy (member: Member, suspect: Member, versionSeen: number): boolean {
  return member.joinedVersion < suspect.joinedVersion || versionSeen >= member.joinedVersion
}

/** Finds a witness that a member without a lease has stopped, or undefined. */
export async function findWitness (assignment: Assignment, ownIncarnation: string, suspect: Member, missingSinceMs: number, options: OwnershipSettings, services: WitnessServices): Promise<WitnessKind | undefined> {
  const own = findMember(assignment, ownIncarnation)
  if (own === undefined) return undefined
  const lease = { incarnation: suspect.incarnation, leaseCount: suspect.leaseCount }
  const isNeeded = isNeededBy(own, suspect, services.versionSeenBy(suspect.incarnation))
  if (isNeeded && services.given.tryRelease(lease)) return WitnessKind.Self
  const missingForMs = services.timers.nowMs() - missingSinceMs
  if (missingForMs > options.outageLimitMs + options.leaseMs) return WitnessKind.TimePassed
  const peers = assignment.members.filter(member => member.incarnation !== ownIncarnation && member.incarnation !== suspect.incarnation)
  const answers = await Promise.all(peers.map(async peer => await askRelease(peer, assignment.version, suspect, options, services)))
  if (answers.includes(true)) return WitnessKind.Peer
  if (await services.promises.isGone(suspect, options.promiseRequestMs)) return WitnessKind.ProcessEnded
  return undefined
}

async function askRelease (peer: Member, assignmentVersion: number, suspect: Member, options: OwnershipSettings, services: WitnessServices): Promise<boolean> {
  const request: protocol.wire.IPromiseRequest = {
    assignmentVersion,
    releaseIncarnation: suspect.incarnation,
    releaseLeaseCount: suspect.leaseCount
  }
  const answer = await services.promises.ask(peer, request, options.promiseRequestMs)
  return answer.ok && answer.val.released === true
}
