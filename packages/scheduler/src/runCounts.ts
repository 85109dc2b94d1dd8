/** Number of tasks of each job that agents hold, also of jobs that have ended. */
export class RunCounts {
  private readonly counts = new Map<string, number>()

  /** Returns true while an agent holds a task of the job. */
  has (jobId: string): boolean {
    return this.counts.has(jobId)
  }

  add (jobId: string): void {
    this.counts.set(jobId, (this.counts.get(jobId) ?? 0) + 1)
  }

  remove (jobId: string): void {
    const count = this.counts.get(jobId) ?? 0
    if (count > 1) this.counts.set(jobId, count - 1)
    else this.counts.delete(jobId)
  }
}
