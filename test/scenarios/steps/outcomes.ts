import { Then } from '@cucumber/cucumber'
import { expect } from 'chai'
import type { AnswerView } from '@egretvalve/entry'
import type { ScenarioWorld } from './world.ts'

function resultsOf (answer: AnswerView): Array<string | undefined> {
  return answer.tasks.map(task => task.body)
}

Then('all callers get the same complete answer', async function (this: ScenarioWorld) {
  for (const call of this.calls) {
    const answer = await call.answer
    expect(answer.kind, JSON.stringify(answer)).to.equal('complete')
    expect(resultsOf(answer)).to.deep.equal(call.bodies)
  }
})

Then('all callers get the same answer', async function (this: ScenarioWorld) {
  const answers = await Promise.all(this.calls.map(async call => await call.answer))
  for (const answer of answers) expect(answer).to.deep.equal(answers[0])
})

Then('each caller gets the complete answer to its own job', async function (this: ScenarioWorld) {
  for (const call of this.calls) {
    const answer = await call.answer
    expect(answer).to.include({ submissionId: call.submissionId, kind: 'complete' })
    expect(resultsOf(answer)).to.deep.equal(call.bodies)
  }
})

Then('the caller gets a complete answer', async function (this: ScenarioWorld) {
  const answer = await this.lastAnswer()
  expect(answer.kind, JSON.stringify(answer)).to.equal('complete')
  expect(resultsOf(answer)).to.deep.equal(this.calls.at(-1)!.bodies)
})

Then('the caller gets a failed answer', async function (this: ScenarioWorld) {
  expect((await this.lastAnswer()).kind).to.equal('failed')
})

Then('the caller gets a failed answer that says {string} of {int} tasks', async function (this: ScenarioWorld, state: string, count: number) {
  const answer = await this.lastAnswer()
  expect(answer.kind).to.equal('failed')
  expect(answer.tasks.filter(task => task.state as string === state).length).to.equal(count)
})

Then('the answer states an outcome for each of {int} tasks and carries no results', async function (this: ScenarioWorld, count: number) {
  const answer = await this.lastAnswer()
  expect(answer.tasks.map(task => task.index)).to.deep.equal(Array.from({ length: count }, (_, index) => index))
  expect(answer.tasks.filter(task => !['finished', 'failed', 'not-run', 'unknown'].includes(task.state))).to.deep.equal([])
  expect(answer.tasks.filter(task => task.body !== undefined || task.bodyBase64 !== undefined)).to.deep.equal([])
})

Then('the caller gets a refusal with code {string}', async function (this: ScenarioWorld, code: string) {
  expect(await this.lastAnswer()).to.include({ kind: 'refused', code })
})

Then('the caller gets an answer in which no task has run', async function (this: ScenarioWorld) {
  const answer = await this.lastAnswer()
  expect(answer.kind).to.be.oneOf(['refused', 'failed'])
  expect(answer.tasks.every(task => task.state as string === 'not-run'), JSON.stringify(answer)).to.equal(true)
})

Then('no task of {string} has started after {int} ms', async function (this: ScenarioWorld, submissionId: string, durationMs: number) {
  await new Promise(resolve => { setTimeout(resolve, durationMs) })
  expect(await this.fleet.starts(submissionId)).to.deep.equal([])
})

Then('no task of {string} has started twice', async function (this: ScenarioWorld, submissionId: string) {
  expect(await countStartedTwice(this, submissionId)).to.equal(0)
})

Then('a task of {string} has started twice', async function (this: ScenarioWorld, submissionId: string) {
  expect(await countStartedTwice(this, submissionId)).to.equal(1)
})

Then('each task of {string} has started', async function (this: ScenarioWorld, submissionId: string) {
  const indexes = (await this.fleet.starts(submissionId)).map(start => start.index)
  expect(indexes.sort((a, b) => a - b)).to.deep.equal(this.calls.at(-1)!.bodies.map((_, index) => index))
})

Then('backend server {int} has started no task of {string}', async function (this: ScenarioWorld, number: number, submissionId: string) {
  expect(await this.fleet.startsOf(number - 1, submissionId)).to.deep.equal([])
})

Then('entry {int} ends with exit code {int}', async function (this: ScenarioWorld, number: number, exitCode: number) {
  expect((await this.fleet.entries[number - 1]!.process.ended).exitCode).to.equal(exitCode)
})

Then('agent {int} ends with exit code {int}', async function (this: ScenarioWorld, number: number, exitCode: number) {
  expect((await this.fleet.servers[number - 1]!.agent.ended).exitCode).to.equal(exitCode)
})

Then('backend server {int} ends with exit code {int}', async function (this: ScenarioWorld, number: number, exitCode: number) {
  expect((await this.fleet.servers[number - 1]!.backend.ended).exitCode).to.equal(exitCode)
})

Then('entry {int} has said that it left {int} requests in progress', async function (this: ScenarioWorld, number: number, count: number) {
  expect(this.fleet.entries[number - 1]!.process.error).to.contain(`left behind: ${count} requests in progress`)
})

/** Counts the tasks that started more than once, on one backend server or across several. */
async function countStartedTwice (world: ScenarioWorld, submissionId: string): Promise<number> {
  const countByIndex = new Map<number, number>()
  for (const start of await world.fleet.starts(submissionId)) {
    countByIndex.set(start.index, (countByIndex.get(start.index) ?? 0) + start.count)
  }
  return [...countByIndex.values()].filter(count => count > 1).length
}
