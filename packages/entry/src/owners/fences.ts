/** Sends fences to the agents and collects the pages of their start records. */
import type * as ownership from '@egretvalve/ownership'
import * as protocol from '@egretvalve/protocol'
import type * as settings from '@egretvalve/settings'
import * as results from 'ts-results'
import type { AgentSession } from '../links/agentSession.ts'
import type { AgentRoster } from './agentRoster.ts'

/** Dependencies of the fences. */
export interface FenceServices {
  timers: settings.Timers
  roster: AgentRoster
  retentionMs: number
  sessions: () => readonly AgentSession[]
  /** Wall-clock time of the first assignment, before which no task can have started, in Unix milliseconds. */
  assignmentCreatedAtMs: () => number
}

/** A fence whose answer is not yet complete. */
interface PendingFence {
  jobs: protocol.wire.IJobReport[]
  finish: (answer: protocol.wire.IFenceAnswer) => void
}

/** The fences that one entry sends to its agents. */
export class Fences implements ownership.FenceTransport {
  private readonly pendingFences = new Map<number, PendingFence>()
  private nextFenceId = 1

  constructor (private readonly services: FenceServices) {}

  knownAgents (): string[] {
    return this.services.roster.list(this.services.sessions().map(session => session.agentId))
  }

  async gather (agentId: string, partitions: readonly protocol.wire.IPartitionEpoch[], timeoutMs: number): Promise<results.Result<ownership.GatheredRecord, protocol.StepError>> {
    const session = this.services.sessions().find(each => each.agentId === agentId)
    if (session === undefined) return results.Err(createError(agentId, protocol.ErrorCode.Unavailable, 'agent is not connected'))
    const fenceId = this.nextFenceId++
    return await new Promise(resolve => {
      const jobs: protocol.wire.IJobReport[] = []
      const timer = this.services.timers.after(timeoutMs, () => {
        this.pendingFences.delete(fenceId)
        resolve(results.Err(createError(agentId, protocol.ErrorCode.Timeout, 'fence not answered in time')))
      })
      const finish = (answer: protocol.wire.IFenceAnswer): void => {
        timer.cancel()
        this.pendingFences.delete(fenceId)
        const completeSinceMs = this.resolveCompleteSinceMs(answer.completeSinceMs ?? 0)
        resolve(results.Ok({ agentId, incarnation: session.incarnation, jobs, completeSinceMs }))
      }
      this.pendingFences.set(fenceId, { jobs, finish })
      session.sendFence({ fenceId, partitions: [...partitions] })
    })
  }

  /** Returns 0 if the record is complete: starts before the first assignment or before the retention time are irrelevant. */
  private resolveCompleteSinceMs (completeSinceMs: number): number {
    const oldestMs = Math.max(this.services.assignmentCreatedAtMs(), this.services.timers.wallClockMs() - this.services.retentionMs)
    return completeSinceMs <= oldestMs ? 0 : completeSinceMs
  }

  /** Handles one page of an agent's start record. */
  handleAnswer (answer: protocol.wire.IFenceAnswer): void {
    const pending = this.pendingFences.get(answer.fenceId ?? 0)
    if (pending === undefined) return
    pending.jobs.push(...(answer.jobs ?? []))
    if (answer.last === true) pending.finish(answer)
  }
}

function createError (agentId: string, code: protocol.ErrorCode, message: string): protocol.StepError {
  return new protocol.StepError(code, 'ownership.gather', agentId, message)
}
