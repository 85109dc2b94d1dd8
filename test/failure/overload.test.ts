import { expect } from 'chai'
import { type CallerAnswer, LocalFleet } from '../fixtures/fleet/localFleet.ts'

const RUN_MS = 40

interface Submitted {
  submissionId: string
  answer: CallerAnswer
}

function createTask (runMs: number): object {
  return { body: JSON.stringify({ runMs }), declaredRunMs: runMs }
}

async function submitMany (fleet: LocalFleet, count: number, prefix: string, body: object): Promise<Submitted[]> {
  const submissionIds = Array.from({ length: count }, (_, index) => `${prefix}-${index}`)
  return await Promise.all(submissionIds.map(async submissionId => {
    const answer = await fleet.submit({ team: 'team-1', submissionId, tasks: [createTask(RUN_MS)], ...body })
    return { submissionId, answer }
  }))
}

describe('overload', () => {
  let fleet: LocalFleet

  beforeEach(() => { fleet = new LocalFleet() })
  afterEach(async () => { await fleet.stop() })

  it('answers every submission of a burst and runs no task of a refused one', async () => {
    await fleet.start({ servers: 2, slots: 2 })
    const submitted = await submitMany(fleet, 300, 'burst', { deadlineMs: 600 })
    const kinds = new Set(submitted.map(({ answer }) => answer.kind))
    expect([...kinds].filter(kind => !['complete', 'refused', 'failed'].includes(kind))).to.deep.equal([])
    expect(kinds.has('complete'), 'some complete').to.equal(true)
    expect(kinds.has('refused'), 'some refused').to.equal(true)
    for (const { submissionId, answer } of submitted) {
      const starts = fleet.countStarts(submissionId)
      if (answer.kind === 'complete') expect(starts).to.equal(1)
      if (answer.kind === 'refused') expect(starts).to.equal(0)
      if (answer.kind === 'failed' && answer.tasks[0]!.state === 'not-run') expect(starts).to.equal(0)
      if (answer.kind === 'refused') expect(answer.retryAfterMs).to.be.greaterThan(0)
    }
  })

  it('starts pressing work before ordinary work that was submitted earlier', async () => {
    await fleet.start({ servers: 1, slots: 1 })
    const finished: string[] = []
    const recordFinished = (submitted: Submitted): void => { finished.push(submitted.submissionId) }
    const ordinary = Array.from({ length: 8 }, async (_, index) => { recordFinished((await submitMany(fleet, 1, `ordinary-${index}`, {}))[0]!) })
    await fleet.submit({ team: 'team-1', submissionId: 'first', tasks: [createTask(RUN_MS)], class: 'pressing' }).then(() => finished.push('first'))
    await Promise.all(ordinary)
    expect(finished.indexOf('first')).to.be.lessThan(4)
  })

  it('immediately refuses a submission that fits no server, with the reason', async () => {
    await fleet.start({ servers: 1, slots: 2 })
    const answer = await fleet.submit({ team: 'team-1', submissionId: 'large', tasks: [createTask(RUN_MS)], wanted: { cores: 64 } })
    expect(answer).to.include({ kind: 'refused', code: 'unplaceable' })
    expect(answer.message).to.equal('no backend server of spares-shop is large enough: wanted cores 64 (most 30)')
  })

  it('cancels the waiting tasks of a job and starts none of them afterwards', async () => {
    await fleet.start({ servers: 1, slots: 1 })
    const tasks = Array.from({ length: 50 }, () => createTask(RUN_MS))
    const answer = fleet.submit({ team: 'team-1', submissionId: 'wave', tasks })
    while (fleet.countStarts('wave') === 0) await new Promise(resolve => setImmediate(resolve))
    await fleet.cancel('team-1', 'wave')
    const { kind, code, tasks: outcomes } = await answer
    expect({ kind, code }).to.deep.equal({ kind: 'failed', code: 'cancelled' })
    const notRun = outcomes.filter(task => task.state === 'not-run').length
    expect(fleet.countStarts('wave')).to.be.at.most(50 - notRun)
    expect(notRun).to.be.greaterThan(40)
  })

  it('completes all repeatable requests while one server of four fails every task', async () => {
    await fleet.start({ servers: 4, slots: 2 })
    fleet.backends[0]!.setFaults({ failAll: true })
    for (let wave = 0; wave < 20; wave++) {
      const submitted = await submitMany(fleet, 8, `wave-${wave}`, { repeatable: true })
      expect(submitted.map(({ answer }) => answer.kind)).to.deep.equal(Array(8).fill('complete'))
    }
  })
})
