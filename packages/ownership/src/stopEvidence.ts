/** Evidence that a member without a store lease can't start tasks any more, which a takeover requires. */
import type * as protocol from '@egretvalve/protocol'
import type * as settings from '@egretvalve/settings'
import { findMember } from './assignment.ts'
import type { Assignment, Member } from './assignment.ts'
import type { OwnershipSettings } from './defaults.ts'
import type { GrantedPeerLeases } from './peerLeases.ts'
import type { PeerLeaseTransport } from './transports.ts'

/** Why a member can't start tasks any more. Logged as `witness`. */
export enum StopEvidence {
  /** This entry, whose peer lease the member would need, has released the member's store lease. */
  Self = 'self',
  /** Another member, whose peer lease the member would need, has released the member's store lease. */
  Peer = 'peer',
  /** The member's process has ended. */
  ProcessEnded = 'process-ended',
  /** `outageLimitMs` and a lease duration have passed since the member's lease was found missing. */
  TimePassed = 'time-passed'
}

/** Dependencies of `findStopEvidence`. */
export interface StopEvidenceServices {
  peerLeases: PeerLeaseTransport
  grantedPeerLeases: GrantedPeerLeases
  timers: settings.Timers
  /** Returns the highest version of the assignment that a member is known to have seen. */
  versionSeenBy: (incarnation: string) => number
}

/**
 * True when the suspect needs a peer lease of the member: even its oldest possible view of the assignment contains the
 * member, because the member joined before it or the suspect has seen a version since.
 */
export function isPeerLeaseRequired (member: Member, suspect: Member, versionSeen: number): boolean {
  return member.joinedVersion < suspect.joinedVersion || versionSeen >= member.joinedVersion
}

/** Returns evidence that a member without a store lease can't start tasks any more, or undefined if there is none. */
export async function findStopEvidence (assignment: Assignment, ownIncarnation: string, suspect: Member, missingSinceMs: number, options: OwnershipSettings, services: StopEvidenceServices): Promise<StopEvidence | undefined> {
  const own = findMember(assignment, ownIncarnation)
  if (own === undefined) return undefined
  const lease = { incarnation: suspect.incarnation, leaseCount: suspect.leaseCount }
  const isRequired = isPeerLeaseRequired(own, suspect, services.versionSeenBy(suspect.incarnation))
  if (isRequired && services.grantedPeerLeases.tryRelease(lease)) return StopEvidence.Self
  const missingForMs = services.timers.nowMs() - missingSinceMs
  if (missingForMs > options.outageLimitMs + options.leaseMs) return StopEvidence.TimePassed
  const peers = assignment.members.filter(member => member.incarnation !== ownIncarnation && member.incarnation !== suspect.incarnation)
  const answers = await Promise.all(peers.map(async peer => await requestRelease(peer, assignment.version, suspect, options, services)))
  if (answers.includes(true)) return StopEvidence.Peer
  if (await services.peerLeases.hasExited(suspect, options.peerLeaseRequestMs)) return StopEvidence.ProcessEnded
  return undefined
}

async function requestRelease (peer: Member, assignmentVersion: number, suspect: Member, options: OwnershipSettings, services: StopEvidenceServices): Promise<boolean> {
  const request: protocol.wire.IPromiseRequest = {
    assignmentVersion,
    releaseIncarnation: suspect.incarnation,
    releaseLeaseCount: suspect.leaseCount
  }
  const answer = await services.peerLeases.request(peer, request, options.peerLeaseRequestMs)
  return answer.ok && answer.val.released === true
}
