/** A client of the HTTP API of entries. */
import * as undici from 'undici'
import * as zod from 'zod'
import { isOwnResult } from './backendResult.ts'
import type { LiveSubmission, ReceivedAnswer } from './dispatcher.ts'
import { TaskResult } from './record.ts'
import { AnswerKind } from './trace.ts'

/** Time beyond the deadline for which the client still waits for the answer. */
const ANSWER_GRACE_MS = 5_000

enum TaskState {
  Unknown = 'unknown',
  Queued = 'queued',
  Running = 'running',
  Finished = 'finished',
  Failed = 'failed',
  NotRun = 'not-run'
}

const answerSchema = zod.object({
  kind: zod.enum(['pending', 'complete', 'failed', 'refused', 'unknown']),
  code: zod.string(),
  tasks: zod.array(zod.object({ index: zod.number(), state: zod.enum(TaskState), body: zod.string().optional() }))
})

type AnswerBody = zod.infer<typeof answerSchema>

/** Submits to entries, which are selected by their index in the address list. */
export class CallerClient {
  private readonly pools: undici.Pool[]

  constructor (entryAddresses: readonly string[], private readonly service: string) {
    this.pools = entryAddresses.map(address => new undici.Pool(`http://${address}`, { pipelining: 1, headersTimeout: 0, bodyTimeout: 0 }))
  }

  /** Closes all connections. */
  async close (): Promise<void> {
    await Promise.all(this.pools.map(pool => pool.destroy()))
  }

  /** Submits and waits for the answer in the same call. A transport error becomes an answer without a kind, with the message as its code. */
  async submit (submission: LiveSubmission): Promise<ReceivedAnswer> {
    const { job } = submission
    const resource = job.tasks.length === 1 ? 'requests' : 'jobs'
    const waitMs = Math.ceil(job.deadlineMs + ANSWER_GRACE_MS)
    try {
      const response = await this.resolvePool(submission.entry).request({
        method: 'POST',
        path: `/v1/${resource}?waitMs=${waitMs}`,
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(this.createBody(submission))
      })
      return readAnswer(await response.body.text(), response.statusCode, submission)
    } catch (thrown) {
      return { code: thrown instanceof Error ? thrown.message : String(thrown), tasks: [] }
    }
  }

  /** Cancels a submission. Rejects if the entry cannot be reached. */
  async cancel (submission: LiveSubmission): Promise<void> {
    const path = `/v1/jobs/${submission.job.team}/${submission.submissionId}`
    const response = await this.resolvePool(submission.entry).request({ method: 'DELETE', path })
    await response.body.dump()
  }

  private resolvePool (entry: number): undici.Pool {
    return this.pools[entry % this.pools.length]!
  }

  private createBody (submission: LiveSubmission): object {
    const { job, submissionId } = submission
    const fields = {
      team: job.team,
      submissionId,
      service: this.service,
      class: job.class,
      repeatable: job.repeatable,
      deadlineMs: job.deadlineMs,
      path: '/run',
      contentType: 'application/json',
      wanted: job.wantedCores === undefined ? undefined : { cores: job.wantedCores }
    }
    const tasks = job.tasks.map(task => ({ body: JSON.stringify({ runMs: task.runMs }), declaredRunMs: task.declaredMs }))
    return tasks.length === 1 ? { ...fields, ...tasks[0]! } : { ...fields, tasks }
  }
}

function readAnswer (text: string, statusCode: number, submission: LiveSubmission): ReceivedAnswer {
  const parsed = answerSchema.safeParse(parseJson(text))
  if (!parsed.success) return { code: `http-${statusCode}`, tasks: [] }
  const { kind, code } = parsed.data
  if (kind === 'pending') return { code, tasks: [] }
  return { kind: kind as AnswerKind, code, tasks: listResults(parsed.data, submission) }
}

function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}

function listResults (answer: AnswerBody, submission: LiveSubmission): TaskResult[] {
  const taskResults: TaskResult[] = []
  for (const task of answer.tasks) taskResults[task.index] = resolveResult(task, answer.kind === AnswerKind.Complete, submission.submissionId)
  return taskResults
}

function resolveResult (task: AnswerBody['tasks'][number], isComplete: boolean, submissionId: string): TaskResult {
  switch (task.state) {
    case TaskState.Finished:
      if (!isComplete) return task.body === undefined ? TaskResult.FinishedWithoutResult : TaskResult.Finished
      return isOwnResult(task.body ?? '', submissionId, task.index) ? TaskResult.Finished : TaskResult.Wrong
    case TaskState.Failed: return TaskResult.Failed
    case TaskState.NotRun: return TaskResult.NotRun
    default: return TaskResult.Unknown
  }
}
