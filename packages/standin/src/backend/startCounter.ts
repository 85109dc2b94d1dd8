/** Counts the starts of each task, so that tests can detect a task that was started more than once. */

/** Identifies one task of a submission. */
export interface TaskIdentity {
  team: string
  submissionId: string
  index: number
}

/** Number of starts of one task. */
export interface StartCount extends TaskIdentity {
  count: number
}

/** Maximum number of submissions retained; the oldest is evicted first. */
const MAX_SUBMISSIONS = 100_000

interface SubmissionStarts {
  team: string
  submissionId: string
  countByIndex: Map<number, number>
}

/** Start counts of one backend server. */
export class StartCounter {
  private readonly submissions = new Map<string, SubmissionStarts>()

  /** Records a start and returns the number of starts of the task, including this one. */
  add (task: TaskIdentity): number {
    const key = JSON.stringify([task.team, task.submissionId])
    const submission = this.submissions.get(key) ?? this.open(key, task)
    const count = (submission.countByIndex.get(task.index) ?? 0) + 1
    submission.countByIndex.set(task.index, count)
    return count
  }

  /** Lists the start counts of all tasks, or of one submission. */
  list (submissionId?: string): StartCount[] {
    const selected = [...this.submissions.values()].filter(entry => submissionId === undefined || entry.submissionId === submissionId)
    return selected.flatMap(listCounts)
  }

  private open (key: string, task: TaskIdentity): SubmissionStarts {
    const submission = { team: task.team, submissionId: task.submissionId, countByIndex: new Map<number, number>() }
    this.submissions.set(key, submission)
    if (this.submissions.size > MAX_SUBMISSIONS) this.evictOldest()
    return submission
  }

  private evictOldest (): void {
    const oldest = this.submissions.keys().next()
    if (oldest.done !== true) this.submissions.delete(oldest.value)
  }
}

function listCounts (submission: SubmissionStarts): StartCount[] {
  const { team, submissionId } = submission
  return [...submission.countByIndex].map(([index, count]) => ({ team, submissionId, index, count }))
}
