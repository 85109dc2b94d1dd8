/** The assignment: which member owns each partition, at which epoch. */
import * as zod from 'zod'

const memberSchema = zod.object({
  entryId: zod.string(),
  /** Id of one run of the entry's process. */
  incarnation: zod.string(),
  peerAddress: zod.string(),
  failureDomain: zod.string(),
  /** Version of the assignment with which the member joined. */
  joinedVersion: zod.number(),
  /** Number of the member's lease; incremented when an expired lease is replaced. */
  leaseCount: zod.number()
})

const grantSchema = zod.object({
  /** Incarnation of the owner; empty without one. */
  owner: zod.string(),
  epoch: zod.number()
})

const assignmentSchema = zod.object({
  version: zod.number(),
  /** Wall-clock time of the first join; no task can have started earlier. */
  createdAtMs: zod.number(),
  members: zod.array(memberSchema),
  grants: zod.array(grantSchema),
  /** Ids of the latest changes, the newest last. A writer whose answer was lost finds out here whether its change was applied. */
  changeIds: zod.array(zod.string())
})

export type Member = zod.infer<typeof memberSchema>
export type PartitionGrant = zod.infer<typeof grantSchema>
export type Assignment = zod.infer<typeof assignmentSchema>

/** Number of change ids retained. */
const CHANGE_ID_LIMIT = 32

/** Creates an assignment without members or owners. */
export function createAssignment (partitionCount: number): Assignment {
  const grants = Array.from({ length: partitionCount }, () => ({ owner: '', epoch: 0 }))
  return { version: 0, createdAtMs: 0, members: [], grants, changeIds: [] }
}

/** Decodes a stored assignment. Throws when the value is not JSON or does not match the schema. */
export function decodeAssignment (text: string): Assignment {
  return assignmentSchema.parse(JSON.parse(text))
}

export function encodeAssignment (assignment: Assignment): string {
  return JSON.stringify(assignment)
}

/** Returns the assignment with a version and with the id of the change that produced it. */
export function withVersion (assignment: Assignment, version: number, changeId: string): Assignment {
  const changeIds = [...assignment.changeIds, changeId].slice(-CHANGE_ID_LIMIT)
  return { ...assignment, version, changeIds }
}

export function findMember (assignment: Assignment, incarnation: string): Member | undefined {
  return assignment.members.find(member => member.incarnation === incarnation)
}

export function partitionsOf (assignment: Assignment, incarnation: string): number[] {
  return assignment.grants.flatMap((grant, partition) => grant.owner === incarnation ? [partition] : [])
}

/** Adds a member or replaces its record, and grants it the partitions that no member owns. */
export function upsertMember (assignment: Assignment, member: Member): Assignment {
  const others = assignment.members.filter(other => other.incarnation !== member.incarnation)
  const members = [...others, member]
  const orphaned = assignment.grants.flatMap((grant, partition) => findMember({ ...assignment, members }, grant.owner) === undefined ? [partition] : [])
  return grantTo({ ...assignment, members }, orphaned, member.incarnation)
}

/** Grants partitions to a member and increments their epochs. */
export function grantTo (assignment: Assignment, partitions: readonly number[], incarnation: string): Assignment {
  const moved = new Set(partitions)
  const grants = assignment.grants.map((grant, partition) => moved.has(partition) ? { owner: incarnation, epoch: grant.epoch + 1 } : grant)
  return { ...assignment, grants }
}

/**
 * Removes a member and grants each of its partitions to the eligible member with the fewest. The partitions have no owner
 * if no member is eligible.
 */
export function removeMember (assignment: Assignment, incarnation: string, isEligible: (member: Member) => boolean): Assignment {
  const orphaned = partitionsOf(assignment, incarnation)
  const members = assignment.members.filter(member => member.incarnation !== incarnation)
  let next: Assignment = { ...assignment, members }
  const eligible = members.filter(isEligible)
  for (const partition of orphaned) next = grantTo(next, [partition], memberWithFewestPartitions(next, eligible))
  return next
}

function memberWithFewestPartitions (assignment: Assignment, members: readonly Member[]): string {
  const counts = new Map(members.map(member => [member.incarnation, 0]))
  for (const grant of assignment.grants) {
    const count = counts.get(grant.owner)
    if (count !== undefined) counts.set(grant.owner, count + 1)
  }
  let fewest = ''
  for (const [incarnation, count] of counts) {
    if (fewest === '' || count < (counts.get(fewest) ?? 0)) fewest = incarnation
  }
  return fewest
}

/** Partitions to hand over to another member. */
export interface Transfer {
  toIncarnation: string
  partitions: number[]
}

/**
 * Returns a transfer from a member to the one with the fewest partitions, or undefined unless the first has more than its
 * share and the second less.
 */
export function planRebalance (assignment: Assignment, incarnation: string, isEligible: (member: Member) => boolean): Transfer | undefined {
  const eligible = assignment.members.filter(isEligible)
  const own = partitionsOf(assignment, incarnation)
  const share = Math.floor(assignment.grants.length / Math.max(1, eligible.length))
  const surplus = own.length - Math.ceil(assignment.grants.length / Math.max(1, eligible.length))
  if (surplus <= 0) return undefined
  const target = memberWithFewestPartitions(assignment, eligible.filter(member => member.incarnation !== incarnation))
  if (target === '') return undefined
  const deficit = share - partitionsOf(assignment, target).length
  if (deficit <= 0) return undefined
  return { toIncarnation: target, partitions: own.slice(-Math.min(surplus, deficit)) }
}
