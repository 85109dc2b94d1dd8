import { expect } from 'chai'
import { Job } from '../../../packages/entry/src/jobs/job.ts'
import { ServiceQueue } from '../../../packages/entry/src/dispatch/serviceQueue.ts'
import * as protocol from '@egretvalve/protocol'

const RUN_MS = 100
const ROUNDS = 100
const DEADLINE_MS = 1_000_000
/** Later than `fairAfterMs` after the submissions, so that the teams' shares decide the order. */
const CONTENDED_AT_MS = 1_000

function createJob (team: string, index: number): Job {
  return new Job({ key: { team, submissionId: `${team}-${index}` }, service: 'rozet-api', deadlineAtMs: DEADLINE_MS, tasks: [{ declaredRunMs: RUN_MS }] }, 0)
}

/** Queues jobs of both teams, starts tasks under contention and returns the number of starts of team `large`. */
function countLargeStarts (queue: ServiceQueue, firstIndex: number): number {
  for (let index = firstIndex; index < firstIndex + ROUNDS; index++) {
    for (const team of ['small', 'large']) queue.push({ job: createJob(team, index), indexes: [0], attempt: 0, excludedAgentIds: new Set() }, 0)
  }
  let starts = 0
  for (let round = 0; round < ROUNDS; round++) {
    const { queue: waiting } = queue.nextLane(new Set(), CONTENDED_AT_MS)!
    const head = waiting.peek(CONTENDED_AT_MS)!
    if (head.team === 'large') starts++
    waiting.take(head, 1, CONTENDED_AT_MS)
  }
  return starts
}

describe('team weights', () => {
  before(async () => { await protocol.loadHash() })

  it('divide the starts by the weights in force, and apply a changed weight', () => {
    let largeWeight = 4
    const queue = new ServiceQueue('rozet-api', team => team === 'large' ? largeWeight : 1)
    expect(countLargeStarts(queue, 0)).to.be.within(ROUNDS * 0.75, ROUNDS * 0.85)
    largeWeight = 1
    expect(countLargeStarts(queue, ROUNDS)).to.be.below(ROUNDS * 0.5)
  })
})
