import { expect } from 'chai'
import * as uuid from 'uuid'
import { startEntryFleet, urlOf } from '../fixtures/entryFleet.ts'
import type { EntryFleet } from '../fixtures/entryFleet.ts'
import * as fleets from '../fixtures/fleet.ts'

const TASKS = 12

function createJob (submissionId: string, runMs: number): Record<string, unknown> {
  const tasks = Array.from({ length: TASKS }, (_, index) => ({ body: JSON.stringify({ runMs, index }) }))
  return fleets.createJob({ submissionId, tasks })
}

function startsOf (fleet: EntryFleet, submissionId: string): number[] {
  const starts = fleet.backends.flatMap(backend => backend.starts(submissionId))
  return starts.map(start => start.count)
}

describe('ownership across entries', () => {
  let fleet: EntryFleet

  beforeEach(async () => { fleet = await startEntryFleet(3, 3) })

  afterEach(async () => { await fleet.stop() })

  it('answers a resubmission at any entry from the running or finished job without starting tasks again', async () => {
    for (let round = 0; round < 5; round++) {
      const job = createJob(uuid.v7(), 100)
      const answers = await Promise.all(fleet.entries.map(async entry => await fleets.submit(urlOf(entry), job)))
      const later = await Promise.all(fleet.entries.map(async entry => await fleets.submit(urlOf(entry), job)))
      for (const answer of [...answers, ...later]) expect(answer.value).to.deep.include({ kind: 'complete', tasks: answers[0]!.value.tasks })
      expect(startsOf(fleet, job.submissionId as string)).to.deep.equal(new Array(TASKS).fill(1))
    }
  })

  it('hands partitions over on a planned stop without failing or refusing a request', async () => {
    const ids: string[] = []
    const pending: Array<Promise<fleets.HttpAnswer<{ kind: string }>>> = []
    for (let index = 0; index < 30; index++) {
      ids.push(uuid.v7())
      pending.push(fleets.submit(urlOf(fleet.entries[index % 3]!), createJob(ids[index]!, 50)))
    }
    const [leaving] = fleet.entries.splice(0, 1)
    const stopped = leaving!.stop()
    const answers = await Promise.all(pending)
    await stopped
    expect(answers.map(answer => answer.value.kind)).to.deep.equal(new Array(30).fill('complete'))
    for (const id of ids) expect(startsOf(fleet, id)).to.deep.equal(new Array(TASKS).fill(1))
  })
})
