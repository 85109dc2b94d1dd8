import { expect } from 'chai'
import * as fc from 'fast-check'
import * as admission from '@egretvalve/admission'
import * as protocol from '@egretvalve/protocol'

const { REQUEST_CLASS_ORDINARY: ORDINARY, REQUEST_CLASS_PRESSING: PRESSING } = protocol.wire.RequestClass

type Queue = admission.WaitingQueue<string>

function createQueue (): Queue {
  return new admission.WaitingQueue<string>(admission.DEFAULT_QUEUE)
}

function push (queue: Queue, payload: string, requestClass: protocol.wire.RequestClass, latestStartAtMs: number, team = 'team', taskCount = 1): admission.WaitingItem<string> {
  return queue.push({ team, requestClass, dueAtMs: latestStartAtMs, latestStartAtMs, enqueuedAtMs: 0, expectedRunMs: 100, taskCount, payload })
}

function takeNext (queue: Queue, nowMs = 0): string | undefined {
  const item = queue.peek(nowMs)
  if (item === undefined) return undefined
  queue.take(item, 1, nowMs)
  return item.payload
}

function takeAll (queue: Queue): string[] {
  const order: string[] = []
  for (let next = takeNext(queue); next !== undefined; next = takeNext(queue)) order.push(next)
  return order
}

describe('WaitingQueue', () => {
  it('orders by class, then by due time, then by arrival', () => {
    const queue = createQueue()
    push(queue, 'late', ORDINARY, 900)
    push(queue, 'soon', ORDINARY, 300)
    push(queue, 'pressing', PRESSING, 1_000)
    push(queue, 'soon too', ORDINARY, 300)
    expect(takeAll(queue)).to.deep.equal(['pressing', 'soon', 'soon too', 'late'])
  })

  it('returns every task exactly once and keeps its totals consistent when items are cancelled or expire', () => {
    const work = fc.record({ team: fc.nat(4), pressing: fc.boolean(), deadline: fc.integer({ min: 1, max: 50 }), tasks: fc.integer({ min: 1, max: 9 }), cancelled: fc.boolean() })
    fc.assert(fc.property(fc.array(work, { maxLength: 60 }), fc.integer({ min: 0, max: 50 }), (works, nowMs) => {
      const queue = createQueue()
      const items = works.map((each, index) => push(queue, String(index), each.pressing ? PRESSING : ORDINARY, each.deadline, `team-${each.team}`, each.tasks))
      items.forEach((item, index) => { if (works[index]!.cancelled) queue.cancel(item) })
      const dropped = queue.dropExpired(nowMs)
      const expectedDropped = works.filter(each => !each.cancelled && each.deadline <= nowMs)
      const expectedLeft = works.filter(each => !each.cancelled && each.deadline > nowMs).reduce((sum, each) => sum + each.tasks, 0)
      expect(dropped.reduce((sum, item) => sum + item.taskCount, 0)).to.equal(expectedDropped.reduce((sum, each) => sum + each.tasks, 0))
      expect(queue.taskCount).to.equal(expectedLeft)
      expect(takeAll(queue)).to.have.length(expectedLeft)
      expect(queue.waitingWorkMs(PRESSING) + queue.waitingWorkMs(ORDINARY)).to.equal(0)
    }), { seed: 3, numRuns: 200 })
  })

  it('starts one ordinary task in twenty behind continuous pressing work', () => {
    const queue = createQueue()
    push(queue, 'pressing', PRESSING, 100, 'team', 400)
    push(queue, 'ordinary', ORDINARY, 100, 'team', 400)
    const order = Array.from({ length: 100 }, () => takeNext(queue))
    expect(order.filter(payload => payload === 'ordinary')).to.have.length(5)
  })

  it('divides the starts of 130 teams by weight under lasting contention, and divides the share of idle teams among the others', () => {
    const shares = new admission.TeamShares(admission.DEFAULT_QUEUE.usageHalfLifeMs, team => team === 'team-0' ? 3 : undefined)
    const queue = new admission.WaitingQueue<string>(admission.DEFAULT_QUEUE, shares)
    const started = new Map<string, number>()
    for (let team = 0; team < 130; team++) push(queue, `team-${team}`, ORDINARY, team, `team-${team}`, team < 4 ? 20_000 : 1)
    for (let start = 0; start < 6_126; start++) {
      const team = takeNext(queue, admission.DEFAULT_QUEUE.fairAfterMs + start / 10)!
      started.set(team, (started.get(team) ?? 0) + 1)
    }
    expect(started.size).to.equal(130)
    expect(started.get('team-0')).to.be.within(2_700, 3_300)
    for (const team of ['team-1', 'team-2', 'team-3']) expect(started.get(team)).to.be.within(900, 1_100)
  })
})
