import { expect } from 'chai'
import * as fc from 'fast-check'
import * as admission from '@egretvalve/admission'
import * as protocol from '@egretvalve/protocol'

const { REQUEST_CLASS_ORDINARY: ORDINARY, REQUEST_CLASS_PRESSING: PRESSING } = protocol.wire.RequestClass
const BUSY: admission.EntryCapacity = { slots: 24, freeSlots: 0, entries: 3 }
const RUN_MS = 100

function createQueue (): admission.WaitingQueue<string> {
  return new admission.WaitingQueue<string>(admission.DEFAULT_QUEUE)
}

function fill (queue: admission.WaitingQueue<string>, requestClass: protocol.wire.RequestClass, taskCount: number, team = 'flood'): void {
  queue.push({ team, requestClass, dueAtMs: Number.POSITIVE_INFINITY, latestStartAtMs: Number.POSITIVE_INFINITY, enqueuedAtMs: 0, expectedRunMs: RUN_MS, taskCount, payload: team })
}

function request (requestClass: protocol.wire.RequestClass, deadlineAtMs: number, team = 'team'): admission.AdmissionRequest {
  return { team, requestClass, taskCount: 1, expectedRunMs: RUN_MS, deadlineAtMs }
}

describe('Admission', () => {
  it('admits work that fits the free slots', () => {
    const decisions = new admission.Admission(admission.DEFAULT_ADMISSION, createQueue())
    expect(decisions.decide(request(ORDINARY, RUN_MS), { ...BUSY, freeSlots: 1 }, 0).kind).to.equal(admission.AdmissionKind.Admitted)
  })

  it('refuses ordinary work whose predicted wait exceeds its deadline, and still admits pressing work', () => {
    const queue = createQueue()
    const decisions = new admission.Admission(admission.DEFAULT_ADMISSION, queue)
    fill(queue, ORDINARY, 80)
    const refused = decisions.decide(request(ORDINARY, 1_000, 'flood'), BUSY, 0)
    expect(refused).to.include({ kind: admission.AdmissionKind.Refused, code: protocol.AnswerCode.Overloaded })
    expect(decisions.decide(request(ORDINARY, 1_200, 'flood'), BUSY, 0).kind).to.equal(admission.AdmissionKind.Admitted)
    expect(decisions.decide(request(PRESSING, 300, 'flood'), BUSY, 0).kind).to.equal(admission.AdmissionKind.Admitted)
  })

  it('admits a team within its share while another floods the queue', () => {
    const queue = createQueue()
    const decisions = new admission.Admission(admission.DEFAULT_ADMISSION, queue)
    fill(queue, ORDINARY, 200)
    expect(decisions.decide(request(ORDINARY, 1_000, 'quiet'), BUSY, 0).kind).to.equal(admission.AdmissionKind.Admitted)
  })

  it('adds jitter to the retry-after of refusals', () => {
    const queue = createQueue()
    const decisions = new admission.Admission(admission.DEFAULT_ADMISSION, queue)
    fill(queue, PRESSING, 400)
    const times = Array.from({ length: 50 }, () => decisions.decide(request(PRESSING, 1_000, 'flood'), BUSY, 0))
      .map(decision => decision.kind === admission.AdmissionKind.Refused ? decision.retryAfterMs : 0)
    const excessMs = 400 * RUN_MS / 8 + 2 * RUN_MS - 1_000
    for (const afterMs of times) expect(afterMs).to.be.within(excessMs * 0.4, excessMs * 1.6)
    expect(new Set(times).size).to.be.greaterThan(20)
  })

  it('refuses work whose deadline has passed', () => {
    const decisions = new admission.Admission(admission.DEFAULT_ADMISSION, createQueue())
    const decision = decisions.decide(request(PRESSING, 10), { ...BUSY, freeSlots: 8 }, 10)
    expect(decision).to.include({ kind: admission.AdmissionKind.Refused, code: protocol.AnswerCode.DeadlinePassed })
  })
})

describe('RetryBudget', () => {
  it('limits retries to the initial tokens plus the configured ratio of the first attempts', () => {
    fc.assert(fc.property(fc.array(fc.boolean(), { maxLength: 2_000 }), attempts => {
      const budget = new admission.RetryBudget(admission.DEFAULT_RETRY_BUDGET)
      let first = 0
      let retries = 0
      for (const isFirst of attempts) {
        if (isFirst) {
          first++
          budget.recordFirstAttempts(1)
        } else if (budget.tryTake()) retries++
      }
      return retries <= admission.DEFAULT_RETRY_BUDGET.maxTokens / 2 + first * admission.DEFAULT_RETRY_BUDGET.ratio
    }), { seed: 9, numRuns: 200 })
  })
})

describe('HedgePolicy', () => {
  it('hedges only repeatable tasks with a single attempt that exceed the hedge time', () => {
    const policy = new admission.HedgePolicy(admission.DEFAULT_HEDGE, new admission.RetryBudget(admission.DEFAULT_HEDGE_BUDGET))
    const late = { repeatable: true, sentAtMs: 0, expectedRunMs: 100, attempts: 1 }
    expect(policy.tryHedge(late, 299)).to.equal(false)
    expect(policy.tryHedge({ ...late, repeatable: false }, 10_000)).to.equal(false)
    expect(policy.tryHedge({ ...late, attempts: 2 }, 10_000)).to.equal(false)
    expect(policy.tryHedge(late, 300)).to.equal(true)
  })
})

describe('RunTimeEstimate', () => {
  it('corrects declared run times by the observed ratio', () => {
    const estimate = new admission.RunTimeEstimate()
    for (let task = 0; task < 200; task++) estimate.observe(50, 200)
    expect(estimate.expectedRunMs(50)).to.be.within(190, 201)
    expect(estimate.expectedRunMs(0)).to.be.within(199, 201)
  })
})

describe('UrgencyTracker', () => {
  it('raises the urgency immediately and lowers it after a delay', () => {
    const tracker = new admission.UrgencyTracker(admission.DEFAULT_URGENCY)
    const queue = createQueue()
    const { URGENCY_IDLE, URGENCY_PRESSING, URGENCY_CRITICAL } = protocol.wire.Urgency
    const head = queue.push({ team: 'team', requestClass: PRESSING, dueAtMs: 300, latestStartAtMs: 300, enqueuedAtMs: 0, expectedRunMs: RUN_MS, taskCount: 1, payload: '' })
    const update = (item: typeof head | undefined, nowMs: number): protocol.wire.Urgency | undefined =>
      tracker.update(admission.resolveUrgency(item, nowMs, admission.DEFAULT_URGENCY), nowMs)
    expect(update(head, 0)).to.equal(undefined)
    expect(update(head, 10)).to.equal(URGENCY_PRESSING)
    expect(update(head, 290)).to.equal(URGENCY_CRITICAL)
    expect(update(undefined, 350)).to.equal(undefined)
    expect(update(undefined, 450)).to.equal(URGENCY_IDLE)
  })
})
