/** Steady loads of identical jobs. */
import * as protocol from '@egretvalve/protocol'
import type * as settings from '@egretvalve/settings'
import type { CallerClient } from '../callerClient.ts'
import { AnswerKind, TraceClass } from '../trace.ts'
import type { TraceJob } from '../trace.ts'

/** Shape of a steady load. */
export interface JobLoad {
  tasksPerJob: number
  teams: number
  runMs: number
}

const DEADLINE_MS = 30_000
const MS_PER_SECOND = 1_000

function createJob (load: JobLoad, number: number): TraceJob {
  return {
    atMs: 0,
    team: `team-${number % load.teams + 1}`,
    submissionId: '',
    class: TraceClass.Ordinary,
    repeatable: false,
    deadlineMs: DEADLINE_MS,
    tasks: Array.from({ length: load.tasksPerJob }, () => ({ runMs: load.runMs, declaredMs: load.runMs }))
  }
}

async function submit (caller: CallerClient, load: JobLoad, number: number): Promise<boolean> {
  const answer = await caller.submit({ job: createJob(load, number), submissionId: protocol.createSubmissionId(), entry: number })
  return answer.kind === AnswerKind.Complete
}

/** Open load: submits jobs at a fixed rate, whether or not earlier jobs were answered. Returns the number of completed jobs. */
export async function runOpenLoad (caller: CallerClient, load: JobLoad, jobsPerSecond: number, durationMs: number, timers: settings.Timers): Promise<number> {
  const startedAtMs = timers.nowMs()
  const jobCount = Math.round(jobsPerSecond * durationMs / MS_PER_SECOND)
  const answers: Array<Promise<boolean>> = []
  for (let number = 0; number < jobCount; number++) {
    const delayMs = startedAtMs + number * MS_PER_SECOND / jobsPerSecond - timers.nowMs()
    if (delayMs > 0) await timers.sleep(delayMs)
    answers.push(submit(caller, load, number))
  }
  return (await Promise.all(answers)).filter(isComplete => isComplete).length
}

/** Closed load: submits jobs from a number of concurrent lanes, each of which waits for its answer before the next job. Returns the number of completed jobs. */
export async function runClosedLoad (caller: CallerClient, load: JobLoad, jobCount: number, lanes: number): Promise<number> {
  let next = 0
  let completed = 0
  const runLane = async (): Promise<void> => {
    while (next < jobCount) {
      if (await submit(caller, load, next++)) completed++
    }
  }
  await Promise.all(Array.from({ length: lanes }, runLane))
  return completed
}
