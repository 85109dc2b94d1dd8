/** Interfaces of ownership to the links to agents and other entries, and to the owner of the jobs. */
import type * as protocol from '@egretvalve/protocol'
import type * as results from 'ts-results'
import type { Member } from './assignment.ts'

/** An agent's recorded tasks of the partitions of a fence. */
export interface GatheredRecord {
  agentId: string
  /** Incarnation of the agent that answered. A later incarnation has no record of these jobs. */
  incarnation: string
  jobs: protocol.wire.IJobReport[]
  /** Wall-clock time before which starts at the agent, in this or an earlier incarnation, may be missing from the record; 0 when none are. */
  completeSinceMs: number
}

/** Sends fences to agents. */
export interface FenceTransport {
  /** Returns the agents that may have records of starts: connected now, or connected within the retention window to this entry or one of its peers. */
  knownAgents: () => readonly string[]
  /** Raises the lowest epochs that an agent accepts and returns its recorded tasks. Fails when the agent is disconnected or the time-out passes. */
  gather: (agentId: string, partitions: readonly protocol.wire.IPartitionEpoch[], timeoutMs: number) => Promise<results.Result<GatheredRecord, protocol.StepError>>
}

/** Requests peer leases from other entries. */
export interface PeerLeaseTransport {
  /** Requests a peer lease or the release of a third member. Fails when the member is disconnected or the time-out passes. */
  request: (member: Member, request: protocol.wire.IPromiseRequest, timeoutMs: number) => Promise<results.Result<protocol.wire.IStorePromise, protocol.StepError>>
  /** True when the member's process is known to have ended: its address refuses connections, or another process answers there. */
  hasExited: (member: Member, timeoutMs: number) => Promise<boolean>
}

/** Recorded tasks gathered for partitions that this entry has acquired. */
export interface Acquisition {
  partitions: readonly number[]
  records: readonly GatheredRecord[]
  /** False for records of agents that answered after the partitions were put into service. */
  isFirst: boolean
}

/** Callbacks to the owner of the partitions. */
export interface OwnershipListener {
  /** Called before the partitions accept submissions, and again for each agent that answered late. */
  acquired: (acquisition: Acquisition) => void
  /** Called when partitions were granted to another member; none of their tasks may be started here from then on. */
  lost: (partitions: readonly number[]) => void
  /** Called after each new revision of the assignment. */
  assignmentChanged: () => void
}
