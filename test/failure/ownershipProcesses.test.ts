import { expect } from 'chai'
import type * as entry from '@egretvalve/entry'
import * as uuid from 'uuid'
import * as fleets from '../fixtures/fleet.ts'
import { startEntryProcessFleet } from '../fixtures/entryProcessFleet.ts'
import type { EntryProcessFleet } from '../fixtures/entryProcessFleet.ts'

const JOBS = 24
const TASKS = 4
const RUN_MS = 300
/** Longer than a store lease. */
const PAUSE_MS = 9_000
const WAIT_MS = 30_000

function createJobs (): Array<Record<string, unknown>> {
  return Array.from({ length: JOBS }, () => {
    const tasks = Array.from({ length: TASKS }, (_, index) => ({ body: JSON.stringify({ runMs: RUN_MS, index }) }))
    return fleets.createJob({ submissionId: uuid.v7(), tasks })
  })
}

/** Submits the jobs to the entries in turn and returns the final answers. */
async function submitAll (urls: ReadonlyArray<{ url: string }>, jobs: ReadonlyArray<Record<string, unknown>>): Promise<entry.AnswerView[]> {
  const answers = await Promise.all(jobs.map(async (job, index) => await fleets.submit(urls[index % urls.length]!, job, WAIT_MS)))
  return answers.map(answer => answer.value)
}

function expectCompleteAnswers (fleet: EntryProcessFleet, jobs: ReadonlyArray<Record<string, unknown>>, answers: readonly entry.AnswerView[]): void {
  expect(answers.map(answer => answer.code)).to.deep.equal(jobs.map(() => 'complete'))
  for (const [index, job] of jobs.entries()) {
    expect(answers[index]!.submissionId).to.equal(job.submissionId)
    expect(answers[index]!.tasks).to.have.length(TASKS)
    expect(fleet.startsOf(job.submissionId as string)).to.deep.equal(new Array(TASKS).fill(1))
  }
}

async function crash (): Promise<void> {
  const fleet = await startEntryProcessFleet(3, 2)
  const [crashed, ...others] = fleet.entries
  const jobs = createJobs()
  const pending = submitAll(others, jobs)
  await fleets.until(() => jobs.some(job => fleet.startsOf(job.submissionId as string).length > 0))
  crashed!.child.kill('SIGKILL')
  expectCompleteAnswers(fleet, jobs, await pending)
  expectCompleteAnswers(fleet, jobs, await submitAll([...others].reverse(), jobs))
  await fleet.stop()
}

async function pause (): Promise<void> {
  const fleet = await startEntryProcessFleet(3, 2)
  const [paused, ...others] = fleet.entries
  const jobs = createJobs()
  const pending = submitAll(others, jobs)
  await fleets.until(() => jobs.some(job => fleet.startsOf(job.submissionId as string).length > 0))
  paused!.child.kill('SIGSTOP')
  await new Promise(resolve => { setTimeout(resolve, PAUSE_MS) })
  paused!.child.kill('SIGCONT')
  expectCompleteAnswers(fleet, jobs, await submitAll(fleet.entries, jobs))
  expectCompleteAnswers(fleet, jobs, await pending)
  await fleet.stop()
}

async function crashOneAndPauseOther (): Promise<void> {
  const fleet = await startEntryProcessFleet(2, 2)
  const [first, second] = fleet.entries
  const jobs = createJobs()
  await submitAll([first!, second!], jobs)
  first!.child.kill('SIGKILL')
  second!.child.kill('SIGSTOP')
  await new Promise(resolve => { setTimeout(resolve, PAUSE_MS) })
  second!.child.kill('SIGCONT')
  expectCompleteAnswers(fleet, jobs, await submitAll([second!], jobs))
  await fleet.stop()
}

describe('ownership of entry processes', () => {
  let outcomes: Array<PromiseSettledResult<void>>

  before(async () => { outcomes = await Promise.allSettled([crash(), pause(), crashOneAndPauseOther()]) })

  function expectPassed (index: number): void {
    const outcome = outcomes[index]!
    if (outcome.status === 'rejected') throw outcome.reason
  }

  it('completes every job and starts no task twice when an entry crashes', () => { expectPassed(0) })
  it('completes every job and starts no task twice when an entry is paused past its lease expiry', () => { expectPassed(1) })
  it('answers finished jobs from the agents\' records when one entry has crashed and the other was paused', () => { expectPassed(2) })
})
