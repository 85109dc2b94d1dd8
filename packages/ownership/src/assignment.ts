/** The assignment: which member owns each partition, at which epoch. */
import * as zod from 'zod'

const memberSchema = zod.object({
  entryId: zod.string(),
  /** One life of the entry's process. */
  incarnation: zod.string(),
  peerAddress: zod.string(),
  failureDomain: zod.string(),
  /** Version of the assignment with which the member joined. */
  joinedVersion: zod.number(),
  /** Number of the member's lease; raised when it replaces one that expired. */
  leaseCount: zod.number()
})

const grantSchema = zod.object({
  /** Incarnation of the owner; empty while nobody has owned the partition. */
  owner: zod.string(),
  epoch: zod.number()
})

const assignmentSchema = zod.object({
  version: zod.number(),
  /** Wall-clock time of the first change: no task can have started before. */
  createdAtMs: zod.number(),
  members: zod.array(memberSchema),
  grants: zod.array(grantSchema),
  /** Ids of the latest changes, the newest last. Their writers settle lost answers by them. */
  changeIds: zod.array(zod.string())
})

export type Member = zod.infer<typeof memberSchema>
export type PartitionGrant = zod.infer<typeof grantSchema>
export type Assignment = zod.infer<typeof assignmentSchema>

/** Number of change ids kept. */
const CHANGE_ID_LIMIT = 32

/** Returns the assignment of a region without members. */
export function createAssignment (partitionCount: number): Assignment {
  const grants = Array.from({ length: partitionCount }, () => ({ owner: '', epoch: 0 }))
  return { version: 0, createdAtMs: 0, members: [], grants, changeIds: [] }
}

/** Decodes a stored assignment. Throws when the value has another form. */
export function decodeAssignment (text: string): Assignment {
  return assignmentSchema.parse(JSON.parse(text))
}

/** Encodes an assignment for the store. */
export function encodeAssignment (assignment: Assignment): string {
  return JSON.stringify(assignment)
}

/** Marks an assignment as the next version with the id of the change. */
export function stampChange (assignment: Assignment, version: number, changeId: string): Assignment {
  const changeIds = [...assignment.changeIds, changeId].slice(-CHANGE_ID_LIMIT)
  return { ...assignment, version, changeIds }
}

/** Returns the member of an incarnation. */
export function findMember (assignment: Assignment, incarnation: string): Member | undefined {
  return assignment.members.find(member => member.incarnation === incarnation)
}

/** Returns the partitions that a member owns. */
export function partitionsOf (assignment: Assignment, incarnation: string): number[] {
  return assignment.grants.flatMap((grant, partition) => grant.owner === incarnation ? [partition] : [])
}

/** Adds a member, or replaces its record, and gives it the partitions that have no owner. */
export function putMember (assignment: Assignment, member: Member): Assignment {
  const others = assignment.members.filter(other => other.incarnation !== member.incarnation)
  const members = [...others, member]
  const orphaned = assignment.grants.flatMap((grant, partition) => findMember({ ...assignment, members }, grant.owner) === undefined ? [partition] : [])
  return grantTo({ ...assignment, members }, orphaned, member.incarnation)
}

/** Gives partitions to a member at the next epoch. */
export function grantTo (assignment: Assignment, partitions: readonly number[], incarnation: string): Assignment {
  const moved = new Set(partitions)
  const grants = assignment.grants.map((grant, partition) => moved.has(partition) ? { owner: incarnation, epoch: grant.epoch + 1 } : grant)
  return { ...assignment, grants }
}

/** Removes a member and deals its partitions to the eligible members, fewest first. Without one they stay without an owner. */
export function removeMember (assignment: Assignment, incarnation: string, isEligible: (member: Member) => boolean): Assignment {
  const orphaned = partitionsOf(assignment, incarnation)
  const members = assignment.members.filter(member => member.incarnation !== incarnation)
  let next: Assignment = { ...assignment, members }
  const eligible = members.filter(isEligible)
  for (const partition of orphaned) next = grantTo(next, [partition], fewestPartitions(next, eligible))
  return next
}

function fewestPartitions (assignment: Assignment, members: readonly Member[]): string {
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

/** Partitions that a member passes to another one. */
export interface Transfer {
  toIncarnation: string
  partitions: number[]
}

/** Returns the transfer by which a member with more than its share relieves itself, if any. */
export function planRebalance (assignment: Assignment, incarnation: string, isEligible: (member: Member) => boolean): Transfer | undefined {
  const eligible = assignment.members.filter(isEligible)
  const own = partitionsOf(assignment, incarnation)
  const share = Math.floor(assignment.grants.length / Math.max(1, eligible.length))
  const spare = own.length - Math.ceil(assignment.grants.length / Math.max(1, eligible.length))
  if (spare <= 0) return undefined
  const target = fewestPartitions(assignment, eligible.filter(member => member.incarnation !== incarnation))
  if (target === '') return undefined
  const missing = share - partitionsOf(assignment, target).length
  if (missing <= 0) return undefined
  return { toIncarnation: target, partitions: own.slice(-Math.min(spare, missing)) }
}
