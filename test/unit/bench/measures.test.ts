import { expect } from 'chai'
import * as bench from '@egretvalve/bench'

const job: bench.TraceJob = { atMs: 0, team: 't', submissionId: 's', class: bench.TraceClass.Pressing, repeatable: false, deadlineMs: 400, tasks: [{ runMs: 100, declaredMs: 100 }] }

function createRecord (outcome: Partial<bench.JobOutcome>, startCount = 1): bench.RunRecord {
  const plan: bench.LoadPlan = { name: 'test', seed: 1, fleet: { entries: 1, servers: 1, slots: 2 }, jobs: [job], events: [], loadPeak: { fromMs: 0, toMs: 200 }, durationMs: 1_000 }
  const start = { server: 0, key: bench.jobKey(job), index: 0, startedAtMs: 50, endedAtMs: 150, isFailed: false }
  return {
    policy: bench.PolicyName.Egretvalve,
    plan,
    outcomes: [{ job, submittedAtMs: 0, answeredAtMs: 210, kind: bench.AnswerKind.Complete, code: 'complete', tasks: [bench.TaskResult.Finished], ...outcome }],
    starts: Array.from({ length: startCount }, () => start),
    costs: { wastedMessages: 1, workMessages: 2, cpuMs: 3 },
    networkMs: 5
  }
}

describe('computeMeasures', () => {
  it('divides the response time by the critical path plus the network overhead', () => {
    expect(bench.computeMeasures(createRecord({})).slowdownP99).to.be.closeTo(2, 0.01)
  })

  it('measures the on-time share of pressing requests and the goodput during the load peak', () => {
    const measures = bench.computeMeasures(createRecord({}))
    expect(measures.crestOnTimeRatio).to.equal(1)
    expect(measures.crestGoodputRatio).to.equal(100 / 400)
  })

  it('counts an answer after the deadline neither as on time nor as goodput', () => {
    const measures = bench.computeMeasures(createRecord({ answeredAtMs: 401 }))
    expect(measures.crestOnTimeRatio).to.equal(0)
    expect(measures.crestGoodputRatio).to.equal(0)
  })
})

describe('countViolations', () => {
  const cases: Array<{ name: string, record: bench.RunRecord, violation: keyof bench.GuaranteeViolations }> = [
    { name: 'a second start', record: createRecord({}, 2), violation: 'startedTwice' },
    { name: 'a refusal of a started task', record: createRecord({ kind: bench.AnswerKind.Refused, tasks: [] }), violation: 'falseNotRun' },
    { name: 'a complete answer with the result of another task', record: createRecord({ tasks: [bench.TaskResult.Wrong] }), violation: 'partialAnswers' },
    { name: 'a complete answer without its results', record: createRecord({ tasks: [] }), violation: 'partialAnswers' },
    { name: 'a failed answer with results', record: createRecord({ kind: bench.AnswerKind.Failed }), violation: 'partialAnswers' },
    { name: 'a missing answer', record: createRecord({ kind: undefined, answeredAtMs: undefined, tasks: [] }), violation: 'lostAnswers' }
  ]
  for (const { name, record, violation } of cases) {
    it(`counts ${name}`, () => {
      const violations = bench.countViolations(record)
      const found = Object.entries(violations).filter(([, count]) => count > 0).map(([key]) => key)
      expect(found).to.deep.equal([violation])
    })
  }

  it('counts a start on a server that left more than two seconds before', () => {
    const record = createRecord({})
    record.plan.events.push({ atMs: -2_100, server: 0, change: bench.ServerChange.Leave })
    expect(bench.countViolations(record).startsOnLeaving).to.equal(1)
  })
})

describe('listMismatches', () => {
  it('accepts any of the expected answers and reports others', () => {
    const record = createRecord({})
    record.outcomes[0]!.job = { ...job, expected: [bench.AnswerKind.Complete, bench.AnswerKind.Failed] }
    expect(bench.listMismatches(record)).to.deep.equal([])
    record.outcomes[0]!.job = { ...job, expected: [bench.AnswerKind.Refused] }
    expect(bench.listMismatches(record).map(mismatch => mismatch.subject)).to.deep.equal(['s'])
  })
})

describe('formatReport', () => {
  it('draws the slowdown, on-time and head-of-line plots', () => {
    const record = createRecord({})
    record.plan.longRunMs = 1_000
    const html = bench.formatReport(record.plan, [{ measures: bench.computeMeasures(record), record, withoutLong: record }])
    expect(html.match(/<svg/g)).to.have.length(3)
  })
})
