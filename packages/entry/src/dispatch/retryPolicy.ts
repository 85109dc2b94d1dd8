/** Which tasks that ended without a result go to another agent. */
import * as admission from '@egretvalve/admission'
import * as protocol from '@egretvalve/protocol'
import type { WaitingTask } from './taskGroup.ts'

const { wire } = protocol

/** Attempts of a repeatable task that may start. */
const MAX_ATTEMPTS = 3
/** Refused sends after which a task that has not run is given up. */
const MAX_MOVES = 50
/** Lowest status code that tells of a failure of the server and not of the request. */
const SERVER_ERROR_STATUS = 500

/** Refusals after which a task, which has not run, may go to another agent. */
const MOVABLE_REFUSALS = new Set<protocol.wire.RefusalReason>([
  wire.RefusalReason.REFUSAL_REASON_DRAINING,
  wire.RefusalReason.REFUSAL_REASON_QUEUE_FULL,
  wire.RefusalReason.REFUSAL_REASON_NO_BACKEND,
  wire.RefusalReason.REFUSAL_REASON_NOT_RECEIVED,
  wire.RefusalReason.REFUSAL_REASON_RECORD_FULL,
  wire.RefusalReason.REFUSAL_REASON_LEASE_EXPIRED,
  wire.RefusalReason.REFUSAL_REASON_STALE_EPOCH
])

/** Returns true for a report of a task that started and that the server failed. */
export function isServerFailure (report: protocol.wire.ITaskReport): boolean {
  if (report.state === wire.TaskState.TASK_STATE_UNKNOWN) return true
  if (report.state !== wire.TaskState.TASK_STATE_FAILED) return false
  const statusCode = report.statusCode ?? 0
  return statusCode === 0 || statusCode >= SERVER_ERROR_STATUS
}

/** Returns true for a report of a task that has not run and may go to another agent. */
function isMovable (report: protocol.wire.ITaskReport): boolean {
  if (report.state !== wire.TaskState.TASK_STATE_NOT_RUN) return false
  return MOVABLE_REFUSALS.has(report.refusal ?? wire.RefusalReason.REFUSAL_REASON_NONE)
}

/** Decides on second attempts. */
export class RetryPolicy {
  private readonly budget = new admission.RetryBudget(admission.DEFAULT_RETRY_BUDGET)

  /** Counts tasks that are sent for the first time. */
  noteFirstAttempts (count: number): void {
    this.budget.noteFirstAttempts(count)
  }

  /** Returns the task to queue again, or undefined when the report is final. */
  resolveNextAttempt (task: WaitingTask, report: protocol.wire.ITaskReport, agentId: string, nowWallMs: number): WaitingTask | undefined {
    if (task.job.isCancelled || isPastDeadline(task, nowWallMs)) return undefined
    if (isMovable(report)) return task.attempt < MAX_MOVES ? { ...task, attempt: task.attempt + 1 } : undefined
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
