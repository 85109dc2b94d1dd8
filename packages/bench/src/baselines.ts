/** Baseline dispatchers that assign each task to a backend server on arrival. */
import * as protocol from '@egretvalve/protocol'
import type * as settings from '@egretvalve/settings'
import * as undici from 'undici'
import { TaskHeader } from './backend.ts'
import type { BackendServer } from './backend.ts'
import { isOwnResult } from './backendResult.ts'
import type { Dispatcher, DispatcherMessages, LiveSubmission, ReceivedAnswer } from './dispatcher.ts'
import { ServerChange } from './plan.ts'
import type { ServerEvent } from './plan.ts'
import { Random } from './random.ts'
import { PolicyName, TaskResult } from './record.ts'
import { AnswerKind } from './trace.ts'

/** Policies that assign tasks on arrival. */
export type BaselinePolicy = PolicyName.Random | PolicyName.RoundRobin | PolicyName.LeastOutstanding

/** View that one entry has of one backend server. */
interface ServerView {
  pool: undici.Pool
  outstanding: number
  isLeaving: boolean
}

/** View that one entry has of the fleet. Entries do not share outstanding counts. */
interface EntryView {
  servers: ServerView[]
  nextServer: number
}

/** A baseline dispatcher with a separate view of the fleet per entry. It sends tasks directly to the backend servers. */
export class BaselineDispatcher implements Dispatcher {
  private readonly entries: EntryView[]
  private readonly random: Random
  private readonly cancellations = new Map<string, AbortController>()
  private sentMessages = 0

  constructor (readonly policy: BaselinePolicy, servers: readonly BackendServer[], entries: number, seed: number, private readonly timers: settings.Timers) {
    this.random = new Random(seed)
    this.entries = Array.from({ length: entries }, () => ({ servers: servers.map(createView), nextServer: 0 }))
  }

  async start (): Promise<void> {}

  async stop (): Promise<void> {
    const pools = this.entries.flatMap(entry => entry.servers.map(server => server.pool))
    await Promise.all(pools.map(pool => pool.destroy()))
  }

  async submit (submission: LiveSubmission): Promise<ReceivedAnswer> {
    const controller = new AbortController()
    this.cancellations.set(submission.submissionId, controller)
    const deadline = this.timers.after(submission.job.deadlineMs, () => { controller.abort() })
    const indexes = submission.job.tasks.map((_, index) => index)
    const tasks = await Promise.all(indexes.map(index => this.runTask(submission, index, controller.signal)))
    deadline.cancel()
    this.cancellations.delete(submission.submissionId)
    if (tasks.every(task => task === TaskResult.Finished)) return { kind: AnswerKind.Complete, code: 'complete', tasks }
    return { kind: AnswerKind.Failed, code: 'tasks-failed', tasks: tasks.map(withoutResult) }
  }

  async cancel (submission: LiveSubmission): Promise<void> {
    this.cancellations.get(submission.submissionId)?.abort()
  }

  async changeServer (event: ServerEvent): Promise<void> {
    if (event.change === ServerChange.Fail) return
    for (const entry of this.entries) entry.servers[event.server]!.isLeaving = event.change === ServerChange.Leave
  }

  countMessages (): DispatcherMessages {
    return { workMessages: 2 * this.sentMessages, overheadMessages: 0, tasksSent: this.sentMessages }
  }

  private async runTask (submission: LiveSubmission, index: number, signal: AbortSignal): Promise<TaskResult> {
    const server = this.choose(this.entries[submission.entry % this.entries.length]!)
    server.outstanding++
    this.sentMessages++
    try {
      const response = await server.pool.request({
        method: 'POST',
        path: '/run',
        headers: {
          [TaskHeader.SubmissionId]: submission.submissionId,
          [TaskHeader.Team]: submission.job.team,
          [TaskHeader.TaskIndex]: String(index)
        },
        body: JSON.stringify({ runMs: submission.job.tasks[index]!.runMs }),
        signal
      })
      const body = await response.body.text()
      if (response.statusCode !== 200) return TaskResult.Failed
      return isOwnResult(body, submission.submissionId, index) ? TaskResult.Finished : TaskResult.Wrong
    } catch {
      return TaskResult.Unknown
    } finally {
      server.outstanding--
    }
  }

  private choose (entry: EntryView): ServerView {
    const present = entry.servers.filter(server => !server.isLeaving)
    switch (this.policy) {
      case PolicyName.Random: return present[this.random.whole(0, present.length - 1)]!
      case PolicyName.RoundRobin: return present[entry.nextServer++ % present.length]!
      case PolicyName.LeastOutstanding: return this.chooseLeastOutstanding(present)
      default: return protocol.assertNever(this.policy)
    }
  }

  private chooseLeastOutstanding (present: readonly ServerView[]): ServerView {
    const least = Math.min(...present.map(server => server.outstanding))
    const candidates = present.filter(server => server.outstanding === least)
    return candidates[this.random.whole(0, candidates.length - 1)]!
  }
}

function createView (server: BackendServer): ServerView {
  return { pool: new undici.Pool(`http://${server.address}`, { pipelining: 1 }), outstanding: 0, isLeaving: false }
}

function withoutResult (result: TaskResult): TaskResult {
  return result === TaskResult.Finished ? TaskResult.FinishedWithoutResult : result
}
