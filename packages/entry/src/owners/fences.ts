/** Sends fences to the agents and collects the pages of their records. */
import type * as ownership from '@egretvalve/ownership'
import * as protocol from '@egretvalve/protocol'
import type * as settings from '@egretvalve/settings'
import * as results from 'ts-results'
import type { AgentSession } from '../links/agentSession.ts'
import type { AgentRoster } from './agentRoster.ts'

/** What fences need of their entry. */
export interface FenceServices {
  timers: settings.Timers
  roster: AgentRoster
  retentionMs: number
  sessions: () => readonly AgentSession[]
  /** Wall-clock time before which no task can have started. */
  assignmentCreatedAtMs: () => number
}

interface Collection {
  jobs: protocol.wire.IJobReport[]
  finish: (answer: protocol.wire.IFenceAnswer) => void
}

/** The fences of one entry. */
export class Fences implements ownership.FenceTransport {
  private readonly collections = new Map<number, Collection>()
  private nextFenceId = 1

  constructor (private readonly services: FenceServices) {}

  knownAgents (): string[] {
    return this.services.roster.list(this.services.sessions().map(session => session.agentId))
  }

  async gather (agentId: string, partitions: readonly protocol.wire.IPartitionEpoch[], timeoutMs: number): Promise<results.Result<ownership.GatheredRecord, protocol.StepError>> {
    const session = this.services.sessions().find(each => each.agentId === agentId)
    if (session === undefined) return results.Err(createError(agentId, protocol.ErrorCode.Unavailable, 'no stream of the agent'))
    const fenceId = this.nextFenceId++
    return await new Promise(resolve => {
      const jobs: protocol.wire.IJobReport[] = []
      const timer = this.services.timers.after(timeoutMs, () => {
        this.collections.delete(fenceId)
        resolve(results.Err(createError(agentId, protocol.ErrorCode.Timeout, 'no answer to the fence in time')))
      })
      const finish = (answer: protocol.wire.IFenceAnswer): void => {
        timer.cancel()
        this.collections.delete(fenceId)
        const completeSinceMs = this.resolveCompleteSinceMs(answer.completeSinceMs ?? 0)
        resolve(results.Ok({ agentId, incarnation: session.incarnation, jobs, completeSinceMs }))
      }
      this.collections.set(fenceId, { jobs, finish })
      session.fence({ fenceId, partitions: [...partitions] })
    })
  }

  /** Starts before the first assignment or before the retention window need not be known. */
  private resolveCompleteSinceMs (completeSinceMs: number): number {
    const oldestMs = Math.max(this.services.assignmentCreatedAtMs(), this.services.timers.wallClockMs() - this.services.retentionMs)
    return completeSinceMs <= oldestMs ? 0 : completeSinceMs
  }

  /** Takes a page of an agent's record. */
  receive (answer: protocol.wire.IFenceAnswer): void {
    const collection = this.collections.get(answer.fenceId ?? 0)
    if (collection === undefined) return
    collection.jobs.push(...(answer.jobs ?? []))
    if (answer.last === true) collection.finish(answer)
  }
}

function createError (agentId: string, code: protocol.ErrorCode, message: string): protocol.StepError {
  return new protocol.StepError(code, 'ownership.gather', agentId, message)
}
