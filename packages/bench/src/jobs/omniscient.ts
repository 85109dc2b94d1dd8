/** Reference schedule of a job load: one queue over the pooled cores of all workers, with true run times and without message delay or fragmentation. */
import { Heap } from '../heap.ts'
import type { JobAnswer } from './credit.ts'
import type { ArrivingJob } from './workload.ts'

interface PendingJob {
  job: ArrivingJob
  waiting: number[]
  running: number
  answer: JobAnswer
}

interface TaskEndEvent {
  atMs: number
  open: PendingJob
}

/** Computes the answers of a queue that starts the job with the earliest latest start first and drops jobs that can no longer meet their objective. */
export function computeOmniscient (load: readonly ArrivingJob[], cores: number): JobAnswer[] {
  const ends = new Heap<TaskEndEvent>((left, right) => left.atMs < right.atMs)
  const open: PendingJob[] = []
  const answers: JobAnswer[] = []
  let freeCores = cores
  let next = 0
  const latestStart = ({ job, waiting }: PendingJob): number => job.atMs + job.objectiveMs - Math.max(...waiting)
  const coresOf = (job: ArrivingJob): number => job.spec.steps[0]!.size.cpuMilli / 1_000

  const startJob = (each: PendingJob, nowMs: number): void => {
    while (each.waiting.length > 0 && freeCores >= coresOf(each.job)) {
      freeCores -= coresOf(each.job)
      each.running++
      ends.push({ atMs: nowMs + each.waiting.pop()!, open: each })
    }
  }

  const startTasks = (nowMs: number): void => {
    open.sort((left, right) => latestStart(left) - latestStart(right))
    for (let index = 0; index < open.length; index++) {
      const each = open[index]!
      const isMissed = nowMs > latestStart(each)
      if (!isMissed) startJob(each, nowMs)
      if (isMissed || each.waiting.length === 0) open.splice(index--, 1)
    }
  }

  while (next < load.length || ends.size > 0) {
    const arrival = load[next]
    const endAtMs = ends.peek()?.atMs ?? Number.POSITIVE_INFINITY
    if (arrival !== undefined && arrival.atMs <= endAtMs) {
      next++
      const answer: JobAnswer = { job: arrival, succeededAfterMs: undefined }
      answers.push(answer)
      open.push({ job: arrival, waiting: [...arrival.workMs].sort((left, right) => left - right), running: 0, answer })
      startTasks(arrival.atMs)
      continue
    }
    const { atMs, open: ended } = ends.pop()!
    ended.running--
    freeCores += coresOf(ended.job)
    if (ended.running === 0 && ended.waiting.length === 0) ended.answer.succeededAfterMs = atMs - ended.job.atMs
    startTasks(atMs)
  }
  return answers
}
