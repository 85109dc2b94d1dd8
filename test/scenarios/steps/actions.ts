import { Given, When } from '@cucumber/cucumber'
import * as undici from 'undici'
import { until } from '../../fixtures/fleet.ts'
import { createBodies, type ScenarioWorld } from './world.ts'

const CALLER_BODIES = 4
const LONGEST_CALLER_MS = 600
const STEP_MS = 20

Given('a fleet of {int} entries and {int} backend servers with {int} slots each', async function (this: ScenarioWorld, entries: number, servers: number, slots: number) {
  await this.fleet.start(entries, servers, slots)
})

Given('backend server {int} fails everything it starts', async function (this: ScenarioWorld, number: number) {
  const address = this.fleet.servers[number - 1]!.backendAddress
  const response = await undici.request(`http://${address}/faults`, { method: 'PUT', body: JSON.stringify({ failAll: true }) })
  await response.body.dump()
})

Given('job {string} of {int} tasks of {int} ms runs on all slots', async function (this: ScenarioWorld, submissionId: string, count: number, runMs: number) {
  this.submit(submissionId, createBodies(submissionId, count, runMs), 1)
  await waitForStarts(this, submissionId, count)
})

When('a caller submits job {string} of {int} tasks of {int} ms to entry {int}', function (this: ScenarioWorld, submissionId: string, count: number, runMs: number, entry: number) {
  this.submit(submissionId, createBodies(submissionId, count, runMs), entry)
})

When('a caller submits job {string} of {int} tasks of {int} ms with a deadline of {int} ms to entry {int}', function (this: ScenarioWorld, submissionId: string, count: number, runMs: number, deadlineMs: number, entry: number) {
  this.submit(submissionId, createBodies(submissionId, count, runMs), entry, { deadlineMs })
})

When('a caller submits job {string} for service {string} to entry {int}', function (this: ScenarioWorld, submissionId: string, service: string, entry: number) {
  this.submit(submissionId, createBodies(submissionId, 1, 0), entry, { service })
})

When('{int} callers submit jobs of 4 tasks at once, the longest first, to both entries', function (this: ScenarioWorld, callers: number) {
  for (let caller = 0; caller < callers; caller++) {
    const runMs = Math.max(0, LONGEST_CALLER_MS - caller * STEP_MS)
    this.submit(`caller-${caller}`, createBodies(`caller-${caller}`, CALLER_BODIES, runMs), 1 + caller % 2)
  }
})

When('all callers have their answers', async function (this: ScenarioWorld) {
  await Promise.all(this.calls.map(async call => await call.answer))
})

When('job {string} is cancelled at entry {int}', async function (this: ScenarioWorld, submissionId: string, entry: number) {
  await this.cancel(submissionId, entry)
})

When('{int} tasks of {string} have started', async function (this: ScenarioWorld, count: number, submissionId: string) {
  await waitForStarts(this, submissionId, count)
})

When('{int} ms pass', async function (durationMs: number) {
  await new Promise(resolve => { setTimeout(resolve, durationMs) })
})

When('agent {int} is killed', async function (this: ScenarioWorld, number: number) {
  await this.fleet.servers[number - 1]!.agent.kill()
})

When('entry {int} is asked to stop', function (this: ScenarioWorld, number: number) {
  this.fleet.entries[number - 1]!.process.signal('SIGTERM')
})

When('entry {int} is asked to stop again', async function (this: ScenarioWorld, number: number) {
  const { process, httpAddress } = this.fleet.entries[number - 1]!
  await until(async () => (await undici.request(`http://${httpAddress}/readyz`)).statusCode !== 200)
  process.signal('SIGTERM')
})

When('agent {int} is asked to stop', function (this: ScenarioWorld, number: number) {
  this.fleet.servers[number - 1]!.agent.signal('SIGTERM')
})

When('backend server {int} is asked to stop', function (this: ScenarioWorld, number: number) {
  this.fleet.servers[number - 1]!.backend.signal('SIGTERM')
})

When('backend server {int} announces that it leaves', async function (this: ScenarioWorld, number: number) {
  const response = await undici.request(`http://${this.fleet.servers[number - 1]!.backendAddress}/leave`, { method: 'PUT' })
  await response.body.dump()
})

When('task {int} of {string} is sent twice straight to backend server {int}', async function (this: ScenarioWorld, index: number, submissionId: string, number: number) {
  const headers = { 'x-egretvalve-team': 'scenario', 'x-egretvalve-submission-id': submissionId, 'x-egretvalve-task-index': String(index) }
  for (let copy = 0; copy < 2; copy++) {
    const response = await undici.request(`http://${this.fleet.servers[number - 1]!.backendAddress}/`, { method: 'POST', headers, body: '{}' })
    await response.body.dump()
  }
})

async function waitForStarts (world: ScenarioWorld, submissionId: string, count: number): Promise<void> {
  await until(async () => (await world.fleet.starts(submissionId)).length >= count)
}
