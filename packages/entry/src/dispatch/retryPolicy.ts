/** Decides which tasks without a result are sent to another agent. */
import * as admission from '@egretvalve/admission'
import * as protocol from '@egretvalve/protocol'
import type { WaitingTask } from './taskGroup.ts'

const { wire } = protocol

/** Maximum number of agents on which a repeatable task may start. */
const MAX_ATTEMPTS = 3
/** Number of attempts, retries included, after which a task that an agent refused is not sent again. */
const MAX_REASSIGNMENTS = 50
/** Lowest HTTP status code that counts as a failure of the server rather than of the request. */
const SERVER_ERROR_STATUS = 500

/** Refusals after which a task, which has not started, may be sent to another agent. */
const RETRYABLE_REFUSALS = new Set<protocol.wire.RefusalReason>([
  wire.RefusalReason.REFUSAL_REASON_DRAINING,
  wire.RefusalReason.REFUSAL_REASON_QUEUE_FULL,
  wire.RefusalReason.REFUSAL_REASON_NO_BACKEND,
  wire.RefusalReason.REFUSAL_REASON_NOT_RECEIVED,
  wire.RefusalReason.REFUSAL_REASON_RECORD_FULL,
  wire.RefusalReason.REFUSAL_REASON_LEASE_EXPIRED,
  wire.RefusalReason.REFUSAL_REASON_STALE_EPOCH
])

/** Returns true if a task that may have started failed because of the server: unknown outcome, no status code, or a 5xx status code. */
export function isServerFailure (report: protocol.wire.ITaskReport): boolean {
  if (report.state === wire.TaskState.TASK_STATE_UNKNOWN) return true
  if (report.state !== wire.TaskState.TASK_STATE_FAILED) return false
  const statusCode = report.statusCode ?? 0
  return statusCode === 0 || statusCode >= SERVER_ERROR_STATUS
}

/** Returns true if the task was refused before it started and may be sent to another agent. */
function isRetryableRefusal (report: protocol.wire.ITaskReport): boolean {
  if (report.state !== wire.TaskState.TASK_STATE_NOT_RUN) return false
  return RETRYABLE_REFUSALS.has(report.refusal ?? wire.RefusalReason.REFUSAL_REASON_NONE)
}

/** Retry policy of one entry; retries of started tasks are limited by a budget. */
export class RetryPolicy {
  private readonly budget = new admission.RetryBudget(admission.DEFAULT_RETRY_BUDGET)

  /** Adds first attempts to the retry budget. */
  recordFirstAttempts (count: number): void {
    this.budget.recordFirstAttempts(count)
  }

  /** Returns the next attempt to queue, or undefined if the report is the final outcome. */
  resolveNextAttempt (task: WaitingTask, report: protocol.wire.ITaskReport, agentId: string, nowWallMs: number): WaitingTask | undefined {
    if (task.job.isCancelled || isPastDeadline(task, nowWallMs)) return undefined
    if (isRetryableRefusal(report)) return task.attempt < MAX_REASSIGNMENTS ? { ...task, attempt: task.attempt + 1 } : undefined
    if (!isServerFailure(report) || task.job.submission.repeatable !== true) return undefined
    const excludedAgentIds = new Set(task.excludedAgentIds).add(agentId)
    if (excludedAgentIds.size >= MAX_ATTEMPTS || !this.budget.tryTake()) return undefined
    return { ...task, attempt: task.attempt + 1, excludedAgentIds }
  }
}

function isPastDeadline (task: WaitingTask, nowWallMs: number): boolean {
  const deadlineAtMs = task.job.submission.deadlineAtMs ?? 0
  return deadlineAtMs > 0 && nowWallMs >= deadlineAtMs
}
