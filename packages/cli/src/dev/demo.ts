/** Demonstration job: submits tasks to the development fleet, prints progress and a summary. */
import type * as entry from '@egretvalve/entry'
import * as protocol from '@egretvalve/protocol'
import type * as settings from '@egretvalve/settings'
import * as undici from 'undici'
import { computeIdealMs, createTaskRunTimes } from './demoTasks.ts'
import type { DevFleet } from './fleet.ts'

const TASK_COUNT = 100
const DEADLINE_MS = 30_000
const PROGRESS_PERIOD_MS = 250
const TEAM = 'demo'

export interface DemoOptions {
  fleet: DevFleet
  service: string
  slotCount: number
  timers: settings.Timers
  print: (line: string) => void
}

/** Submits the job to one entry and resubmits it to another. Returns true if the answer is complete, both callers get the same results and no task started twice. */
export async function runDemo (options: DemoOptions): Promise<boolean> {
  const runTimesMs = createTaskRunTimes(TASK_COUNT)
  const submissionId = protocol.createSubmissionId()
  const [first, last] = [options.fleet.entries[0]!, options.fleet.entries.at(-1)!]
  options.print(`job of ${TASK_COUNT} tasks of 50 to 1000 ms for ${options.service}, submitted to ${first.entryId}`)
  const startedAtMs = options.timers.nowMs()
  const submitted = await submitJob(first.httpAddress, submissionId, options.service, runTimesMs)
  if (submitted.kind !== 'pending') {
    options.print(`refused: ${submitted.code}: ${submitted.message}`)
    return false
  }
  const progress = options.timers.every(PROGRESS_PERIOD_MS, () => { printProgress(options, startedAtMs) })
  options.print(`the same job resubmitted to ${last.entryId}: it joins the job that runs`)
  const resubmitted = submitJob(last.httpAddress, submissionId, options.service, runTimesMs, DEADLINE_MS)
  const answer = await waitForAnswer(first.httpAddress, submissionId)
  const elapsedMs = options.timers.nowMs() - startedAtMs
  const secondAnswer = await resubmitted
  progress.cancel()
  return printSummary(options, { answer, secondAnswer, elapsedMs, idealMs: computeIdealMs(runTimesMs, options.slotCount) })
}

interface DemoOutcome {
  answer: entry.AnswerView
  secondAnswer: entry.AnswerView
  elapsedMs: number
  idealMs: number
}

function printSummary (options: DemoOptions, outcome: DemoOutcome): boolean {
  const { answer, secondAnswer, elapsedMs, idealMs } = outcome
  const starts = options.fleet.backends.flatMap(backend => backend.starts())
  const startedTwice = starts.filter(start => start.count > 1).length
  const refusedStarts = options.fleet.entries.reduce((sum, running) => sum + running.counters.refusedStarts, 0)
  const isSame = JSON.stringify(answer.tasks) === JSON.stringify(secondAnswer.tasks)
  options.print('')
  options.print(`answer            ${answer.kind} (${answer.tasks.length} of ${TASK_COUNT} results)`)
  options.print(`second caller     ${secondAnswer.kind}, ${isSame ? 'the same whole answer' : 'a different answer'}`)
  options.print(`tasks started     ${starts.length}, of them twice: ${startedTwice}`)
  options.print(`response time     ${elapsedMs.toFixed(0)} ms; ideal ${idealMs.toFixed(0)} ms; ratio ${(elapsedMs / idealMs).toFixed(2)}`)
  options.print(`wasted messages   ${(refusedStarts / TASK_COUNT).toFixed(2)} a task`)
  return answer.kind === 'complete' && isSame && startedTwice === 0
}

function printProgress (options: DemoOptions, startedAtMs: number): void {
  const counters = options.fleet.backends.map(backend => backend.counters)
  const finished = counters.reduce((sum, counter) => sum + counter.finished, 0)
  const elapsedMs = options.timers.nowMs() - startedAtMs
  options.print(`  ${(elapsedMs / 1_000).toFixed(2)} s: ${finished} of ${TASK_COUNT} tasks finished`)
}

async function submitJob (address: string, submissionId: string, service: string, runTimesMs: readonly number[], waitMs = 0): Promise<entry.AnswerView> {
  const body = {
    team: TEAM,
    submissionId,
    service,
    deadlineMs: DEADLINE_MS,
    contentType: 'application/json',
    tasks: runTimesMs.map(runMs => ({ body: JSON.stringify({ runMs }), declaredRunMs: runMs }))
  }
  const response = await undici.request(`http://${address}/v1/jobs?waitMs=${waitMs}`, { method: 'POST', body: JSON.stringify(body) })
  return await response.body.json() as entry.AnswerView
}

async function waitForAnswer (address: string, submissionId: string): Promise<entry.AnswerView> {
  const response = await undici.request(`http://${address}/v1/jobs/${TEAM}/${submissionId}/answer?waitMs=${DEADLINE_MS}`)
  return await response.body.json() as entry.AnswerView
}
