/** The counts that an agent's tasks keep by step, against a recount. */
import { expect } from 'chai'
import * as bench from '@egretvalve/bench'
import * as workers from '@egretvalve/workers'
import { createStepKey, SentTasks, type SentTask } from '../../../packages/scheduler/src/sentTasks.ts'

describe('SentTasks', () => {
  it('counts the siblings of each task through any order of orders, repeated orders and ends', () => {
    const random = new bench.Random(5)
    const sent = new SentTasks()
    for (let change = 0; change < 3_000; change++) {
      const ref = { jobId: `job-${random.whole(0, 1)}`, step: random.whole(0, 1), index: random.whole(0, 3) }
      const key = workers.taskKey(ref)
      if (random.unit() < 0.6) sent.set(key, { task: { ref } } as SentTask)
      else sent.delete(key)
      const siblings = [...sent.values()].filter(({ task }) => createStepKey(task.ref) === createStepKey(ref) && task.ref.index !== ref.index)
      expect(sent.countSiblings(createStepKey(ref), key)).to.equal(siblings.length)
    }
    for (const [key] of sent.all) sent.delete(key)
    expect(sent.countSiblings('job-0/0', 'job-0/0/0')).to.equal(0)
  })
})
