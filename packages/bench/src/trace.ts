/** Traces of submissions as JSON Lines. */
import * as protocol from '@egretvalve/protocol'
import * as results from 'ts-results'
import * as zod from 'zod'

/** Class of a traced submission. */
export enum TraceClass {
  Pressing = 'pressing',
  Ordinary = 'ordinary'
}

/** Kinds of final answers. */
export enum AnswerKind {
  Complete = 'complete',
  Failed = 'failed',
  Refused = 'refused',
  Unknown = 'unknown'
}

const MAX_RUN_MS = 600_000

const taskSchema = zod.strictObject({
  runMs: zod.number().min(0).max(MAX_RUN_MS),
  declaredMs: zod.number().min(0).max(MAX_RUN_MS)
})

const jobSchema = zod.strictObject({
  atMs: zod.number().min(0),
  team: zod.string().min(1),
  submissionId: zod.string().min(1),
  class: zod.enum(TraceClass),
  repeatable: zod.boolean(),
  deadlineMs: zod.number().positive(),
  tasks: zod.array(taskSchema).min(1).max(protocol.MAX_JOB_TASKS),
  cancelAfterMs: zod.number().min(0).optional(),
  wantedCores: zod.number().positive().optional(),
  expected: zod.array(zod.enum(AnswerKind)).min(1).optional()
})

/** A task with its true and its declared run time, in milliseconds. */
export type TraceTask = zod.infer<typeof taskSchema>

/**
 * A submission. `atMs` counts from the start of the trace, `deadlineMs` and `cancelAfterMs` from the submission.
 * A later line with the same team and submission id is a resubmission.
 * `expected` lists the answers that a replay accepts.
 */
export type TraceJob = zod.infer<typeof jobSchema>

/** Parses JSON Lines and sorts the submissions by time. The error gives the number of the first invalid line. */
export function parseTrace (text: string): results.Result<TraceJob[], protocol.StepError> {
  const jobs: TraceJob[] = []
  const lines = text.split('\n')
  for (const [index, line] of lines.entries()) {
    if (line.trim() === '') continue
    const job = parseLine(line, index + 1)
    if (job.err) return job
    jobs.push(job.val)
  }
  jobs.sort((a, b) => a.atMs - b.atMs)
  return results.Ok(jobs)
}

function parseLine (line: string, lineNumber: number): results.Result<TraceJob, protocol.StepError> {
  try {
    const outcome = jobSchema.safeParse(JSON.parse(line))
    if (outcome.success) return results.Ok(outcome.data)
    const issue = outcome.error.issues[0]
    return results.Err(createLineError(lineNumber, `${issue?.path.join('.') ?? ''}: ${issue?.message ?? 'invalid'}`))
  } catch (thrown) {
    return results.Err(createLineError(lineNumber, protocol.toStepError(thrown, 'trace.parse', 'local').message))
  }
}

function createLineError (lineNumber: number, message: string): protocol.StepError {
  return new protocol.StepError(protocol.ErrorCode.InvalidInput, 'trace.parse', `line ${lineNumber}`, message)
}

/** Formats submissions as JSON Lines. */
export function formatTrace (jobs: readonly TraceJob[]): string {
  return jobs.map(job => JSON.stringify(job) + '\n').join('')
}

/** Returns the key that a submission shares with its resubmissions. */
export function jobKey (job: TraceJob): string {
  return protocol.submissionKeyText(job)
}

/** Returns the sum of the run times of a submission's tasks in milliseconds. */
export function totalRunMs (job: TraceJob): number {
  return job.tasks.reduce((sum, task) => sum + task.runMs, 0)
}
