/** What ownership needs from the links to agents and to other entries. */
import type * as protocol from '@egretvalve/protocol'
import type * as results from 'ts-results'
import type { Member } from './assignment.ts'

/** An agent's record of starts for the partitions of a fence. */
export interface GatheredRecord {
  agentId: string
  /** The life of the agent that answered. A later one knows nothing of these jobs. */
  incarnation: string
  jobs: protocol.wire.IJobReport[]
  /** Wall-clock time before which the agent, or an earlier life of it, may have forgotten starts. */
  completeSinceMs: number
}

/** Sends fences to agents. */
export interface FenceTransport {
  /** Agents that may hold records of starts: linked now, or linked within the retention window to this entry or to one of its peers. */
  knownAgents: () => readonly string[]
  /** Raises the lowest epochs that an agent accepts and returns its record of starts. */
  gather: (agentId: string, partitions: readonly protocol.wire.IPartitionEpoch[], timeoutMs: number) => Promise<results.Result<GatheredRecord, protocol.StepError>>
}

/** Asks other entries for promises. */
export interface PromiseTransport {
  ask: (member: Member, request: protocol.wire.IPromiseRequest, timeoutMs: number) => Promise<results.Result<protocol.wire.IStorePromise, protocol.StepError>>
  /** True when the member's process is known to have ended: its address refuses connections, or another process answers there. */
  isGone: (member: Member, timeoutMs: number) => Promise<boolean>
}

/** Records of starts gathered for partitions that this entry has acquired. */
export interface Acquisition {
  partitions: readonly number[]
  records: readonly GatheredRecord[]
  /** False for records that arrive after the partitions were put into service. */
  isFirst: boolean
}

/** What the owner of partitions is told. */
export interface OwnershipListener {
  /** Called before the partitions take submissions, and again for agents that answered late. */
  acquired: (acquisition: Acquisition) => void
  /** Called when partitions went to another member: no task of theirs may be started here any more. */
  lost: (partitions: readonly number[]) => void
  /** Called after every change of the members or owners. */
  assignmentChanged: () => void
}
