import { expect } from 'chai'
import * as fc from 'fast-check'
import * as bench from '@egretvalve/bench'

function createJob (fields: Partial<bench.TraceJob>): bench.TraceJob {
  return { atMs: 0, team: 't', submissionId: 's', class: bench.TraceClass.Ordinary, repeatable: false, deadlineMs: 10_000, tasks: [{ runMs: 100, declaredMs: 100 }], ...fields }
}

function createPlan (jobs: bench.TraceJob[], slots: number): bench.LoadPlan {
  return { name: 'test', seed: 1, fleet: { entries: 1, servers: 1, slots }, jobs, events: [], durationMs: 1_000 }
}

describe('computeIdeal', () => {
  it('runs a pressing task before an ordinary one that arrived earlier', () => {
    const jobs = [
      createJob({ submissionId: 'running' }),
      createJob({ submissionId: 'ordinary', atMs: 1 }),
      createJob({ submissionId: 'pressing', atMs: 2, class: bench.TraceClass.Pressing })
    ]
    const record = bench.computeIdeal(createPlan(jobs, 1))
    expect(record.outcomes.map(outcome => outcome.answeredAtMs)).to.deep.equal([100, 300, 200])
  })

  it('refuses a task that would end after its deadline', () => {
    const jobs = [createJob({ submissionId: 'running' }), createJob({ submissionId: 'late', atMs: 1, deadlineMs: 150 })]
    const record = bench.computeIdeal(createPlan(jobs, 1))
    expect(record.outcomes[1]!.kind).to.equal(bench.AnswerKind.Refused)
  })

  it('answers a resubmission with the answer of the first submission', () => {
    const record = bench.computeIdeal(createPlan([createJob({}), createJob({ atMs: 40 })], 2))
    expect(record.starts).to.have.length(1)
    expect(record.outcomes[1]!.answeredAtMs).to.equal(100)
  })

  it('never runs more tasks than slots and violates no guarantee', () => {
    const task = fc.record({ runMs: fc.integer({ min: 1, max: 300 }), declaredMs: fc.constant(0) })
    const job = fc.record({ atMs: fc.integer({ min: 0, max: 500 }), tasks: fc.array(task, { minLength: 1, maxLength: 5 }) })
    fc.assert(fc.property(fc.array(job, { maxLength: 30 }), fc.integer({ min: 1, max: 4 }), (shapes, slots) => {
      const jobs = shapes.map((shape, index) => createJob({ ...shape, submissionId: `s${index}` })).sort((a, b) => a.atMs - b.atMs)
      const record = bench.computeIdeal(createPlan(jobs, slots))
      for (const start of record.starts) {
        const running = record.starts.filter(other => other.startedAtMs <= start.startedAtMs && other.endedAtMs! > start.startedAtMs)
        expect(running.length).to.be.at.most(slots)
      }
      const violations = bench.countViolations(record)
      expect(Object.values(violations).every(count => count === 0)).to.equal(true)
    }), { seed: 7, numRuns: 100 })
  })
})

describe('resolveCriticalPathMs', () => {
  it('is the longest task when all tasks fit into the slots, and the end of a longest-first schedule otherwise', () => {
    const tasks = [30, 20, 20, 10].map(runMs => ({ runMs, declaredMs: runMs }))
    expect(bench.resolveCriticalPathMs(createJob({ tasks }), 4)).to.equal(30)
    expect(bench.resolveCriticalPathMs(createJob({ tasks }), 2)).to.equal(40)
  })
})

describe('createPlan', () => {
  for (const profile of Object.values(bench.ProfileName)) {
    it(`creates the same ${profile} trace from the same seed, and the trace file round-trips`, () => {
      const options = { profile, seed: 3, fleet: { entries: 3, servers: 10, slots: 8 }, durationMs: 4_000, teams: 3 }
      const plan = bench.createPlan(options)
      expect(plan.jobs.length).to.be.greaterThan(50)
      expect(bench.createPlan(options)).to.deep.equal(plan)
      expect(bench.parseTrace(bench.formatTrace(plan.jobs)).unwrap()).to.deep.equal(plan.jobs)
    })
  }

  it('offers three times the capacity during the load peak', () => {
    const plan = bench.createPlan({ profile: bench.ProfileName.Market, seed: 1, fleet: { entries: 3, servers: 10, slots: 8 }, durationMs: 9_000, teams: 3 })
    const loadPeak = plan.loadPeak!
    const offeredMs = plan.jobs.filter(job => job.atMs >= loadPeak.fromMs && job.atMs < loadPeak.toMs).reduce((sum, job) => sum + bench.totalRunMs(job), 0)
    expect(offeredMs / (80 * (loadPeak.toMs - loadPeak.fromMs))).to.be.within(2.8, 3.2)
  })
})

describe('parseTrace', () => {
  it('reports the number of the invalid line', () => {
    const outcome = bench.parseTrace(bench.formatTrace([createJob({})]) + '{"atMs": -1}\n')
    expect((outcome.val as Error & { peer: string }).peer).to.equal('line 2')
  })
})
