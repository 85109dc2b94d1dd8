/** Faults planted on purpose, which the search must find. */
import * as ownership from '@egretvalve/ownership'
import type * as protocol from '@egretvalve/protocol'
import * as results from 'ts-results'
import { unmutated } from './simWorld.ts'
import type { Mutation } from './simWorld.ts'

const ANY_EPOCH = 1

class RecordWithoutEpochs extends ownership.StartRecord {
  override admit (job: protocol.wire.IJobStart, task: protocol.wire.ITaskStart): results.Result<void, ownership.Refusal> {
    return super.admit({ ...job, epoch: ANY_EPOCH }, task)
  }

  override fence (): void {}
}

/** The agents don't check epochs. */
export const epochCheckRemoved: Mutation = {
  ...unmutated,
  createRecord: clock => new RecordWithoutEpochs(ownership.resolveStartRecordDefaults(), clock)
}

/** A new owner fences the agents and takes no notice of their records. */
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

/** A new owner takes an agent that did not answer for one without records. */
export const silentAgentIgnored: Mutation = {
  ...unmutated,
  wrapFences: fences => ({
    ...fences,
    gather: async (agentId, partitions, timeoutMs) => {
      const gathered = await fences.gather(agentId, partitions, timeoutMs)
      return results.Ok(gathered.unwrapOr({ agentId, incarnation: '', jobs: [], completeSinceMs: 0 }))
    }
  })
}

/** A joiner takes over from a member that goes on by the others' promises. */
export const joinerTakesOverInOutage: Mutation = {
  ...unmutated,
  wrapPromises: promises => ({ ...promises, isGone: async () => true })
}
