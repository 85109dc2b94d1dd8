import { After, setDefaultTimeout, setWorldConstructor, World } from '@cucumber/cucumber'
import type { AnswerView } from '@egretvalve/entry'
import * as undici from 'undici'
import { ProcessFleet } from '../../fixtures/processFleet.ts'

const STEP_TIMEOUT_MS = 60_000
const WAIT_MS = 40_000
const TEAM = 'scenario'

/** A submission and its pending answer. */
export interface Call {
  submissionId: string
  bodies: string[]
  answer: Promise<AnswerView>
}

/** Optional fields of a job. */
export interface JobFields {
  service?: string
  deadlineMs?: number
}

/** State of one scenario. */
export class ScenarioWorld extends World {
  readonly fleet = new ProcessFleet()
  readonly calls: Call[] = []

  /** Submits a job to an entry, numbered from 1. The answer is awaited in the background. */
  submit (submissionId: string, bodies: string[], entryNumber: number, fields: JobFields = {}): Call {
    const job = { team: TEAM, submissionId, service: 'parts', ...fields, tasks: bodies.map(body => ({ body })) }
    const answer = postJob(this.fleet.entries[entryNumber - 1]!.httpAddress, job)
    answer.catch(() => {})
    const call = { submissionId, bodies, answer }
    this.calls.push(call)
    return call
  }

  async cancel (submissionId: string, entryNumber: number): Promise<void> {
    const address = this.fleet.entries[entryNumber - 1]!.httpAddress
    const response = await undici.request(`http://${address}/v1/jobs/${TEAM}/${submissionId}`, { method: 'DELETE' })
    await response.body.dump()
  }

  /** Waits for the answer to the most recent call. */
  async lastAnswer (): Promise<AnswerView> {
    return await this.calls.at(-1)!.answer
  }
}

async function postJob (address: string, job: unknown): Promise<AnswerView> {
  const response = await undici.request(`http://${address}/v1/jobs?waitMs=${WAIT_MS}`, { method: 'POST', body: JSON.stringify(job), headersTimeout: 0 })
  return await response.body.json() as AnswerView
}

/** Creates distinct task bodies with a run time of `runMs`. */
export function createBodies (submissionId: string, count: number, runMs: number): string[] {
  return Array.from({ length: count }, (_, index) => JSON.stringify({ runMs, submissionId, index }))
}

setDefaultTimeout(STEP_TIMEOUT_MS)
setWorldConstructor(ScenarioWorld)

After(async function (this: ScenarioWorld) { await this.fleet.stop() })
