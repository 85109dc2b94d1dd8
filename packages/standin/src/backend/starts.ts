/** Counts the starts of each task, so that a test finds a task that was started twice. */

/** Identifies one task of a submission. */
export interface TaskIdentity {
  team: string
  submissionId: string
  index: number
}

/** Starts of one task. */
export interface StartCount extends TaskIdentity {
  count: number
}

/** Submissions that the ledger keeps; the oldest is forgotten first. */
const MAX_SUBMISSIONS = 100_000

interface SubmissionStarts {
  team: string
  submissionId: string
  countByIndex: Map<number, number>
}

/** The starts that one backend server has seen. */
export class StartLedger {
  private readonly submissions = new Map<string, SubmissionStarts>()

  /** Counts a start and returns how often the task has started, this start included. */
  add (task: TaskIdentity): number {
    const key = JSON.stringify([task.team, task.submissionId])
    const submission = this.submissions.get(key) ?? this.open(key, task)
    const count = (submission.countByIndex.get(task.index) ?? 0) + 1
    submission.countByIndex.set(task.index, count)
    return count
  }

  /** Lists the starts of all tasks, or those of one submission. */
  list (submissionId?: string): StartCount[] {
    const chosen = [...this.submissions.values()].filter(entry => submissionId === undefined || entry.submissionId === submissionId)
    return chosen.flatMap(listCounts)
  }

  private open (key: string, task: TaskIdentity): SubmissionStarts {
    const submission = { team: task.team, submissionId: task.submissionId, countByIndex: new Map<number, number>() }
    this.submissions.set(key, submission)
    if (this.submissions.size > MAX_SUBMISSIONS) this.forgetOldest()
    return submission
  }

  private forgetOldest (): void {
    const oldest = this.submissions.keys().next()
    if (oldest.done !== true) this.submissions.delete(oldest.value)
  }
}

function listCounts (submission: SubmissionStarts): StartCount[] {
  const { team, submissionId } = submission
  return [...submission.countByIndex].map(([index, count]) => ({ team, submissionId, index, count }))
}
