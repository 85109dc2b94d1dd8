/** Mutations of the code under test that the schedule search must detect. */
import * as ownership from '@egretvalve/ownership'
import type * as protocol from '@egretvalve/protocol'
import * as results from 'ts-results'
import { unmutated } from './simWorld.ts'
import type { Mutation } from './simWorld.ts'

const CONSTANT_EPOCH = 1

class RecordWithoutEpochs extends ownership.StartRecord {
  override admit (job: protocol.wire.IJobStart, task: protocol.wire.ITaskStart): results.Result<void, ownership.Refusal> {
    return super.admit({ ...job, epoch: CONSTANT_EPOCH }, task)
  }

  override fence (): void {}
}

/** The agents do not check epochs. */
export const epochCheckRemoved: Mutation = {
  ...unmutated,
  createRecord: clock => new RecordWithoutEpochs(ownership.resolveStartRecordDefaults(), clock)
}

/** A new owner fences the agents but ignores their records. */
export const gatherSkipped: Mutation = {
  ...unmutated,
  wrapFences: fences => ({
    ...fences,
    gather: async (agentId, partitions, timeoutMs) => {
      const gathered = await fences.gather(agentId, partitions, timeoutMs)
      return gathered.map(record => ({ ...record, jobs: [] }))
    }
  })
}

/** A new owner treats an agent that did not answer as one without records. */
export const unresponsiveAgentIgnored: Mutation = {
  ...unmutated,
  wrapFences: fences => ({
    ...fences,
    gather: async (agentId, partitions, timeoutMs) => {
      const gathered = await fences.gather(agentId, partitions, timeoutMs)
      return results.Ok(gathered.unwrapOr({ agentId, incarnation: '', jobs: [], completeSinceMs: 0 }))
    }
  })
}

/** A joining entry takes over from a member that still starts tasks by the others' peer leases. */
export const joinerTakesOverInOutage: Mutation = {
  ...unmutated,
  wrapPeerLeases: peerLeases => ({ ...peerLeases, hasExited: async () => true })
}
