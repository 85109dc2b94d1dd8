/** The counts that a job keeps of its tasks, and the median that the speed estimate keeps of its ratios, against a recount. */
import { expect } from 'chai'
import * as bench from '@egretvalve/bench'
import * as settings from '@egretvalve/settings'
import * as workers from '@egretvalve/workers'
import { Job, TaskPhase } from '../../../packages/scheduler/src/job.ts'
import { SpeedEstimate } from '../../../packages/scheduler/src/speed.ts'

const timers = new settings.FakeTimers()
const terms = { queue: 'q', service: 's', priority: 0, maxAttempts: 2, targetLatencyMs: 60, slackFactor: 1.6 }

function createJob (random: bench.Random): Job {
  const steps = Array.from({ length: random.whole(1, 4) }, (_, number) => ({
    count: random.whole(1, 6),
    size: { cpuMilli: random.whole(1, 8) * 500, memoryMb: 1, accelerators: 0 },
    estimatedMs: random.whole(1, 400),
    after: Array.from({ length: number }, (_unused, earlier) => earlier).filter(() => random.unit() < 0.5)
  }))
  return new Job({ jobId: 'j', spec: '', steps }, terms, 5_000, 0, new workers.Age(timers))
}

/** Compares what the job says with a recount over its tasks. */
function expectCountsOf (job: Job): void {
  const tasks = job.tasks.flat()
  const waiting = tasks.filter(task => task.phase === TaskPhase.Waiting)
  expect(job.waitingTasks()).to.deep.equal(waiting)
  expect(job.hasWaitingTask).to.equal(waiting.length > 0)
  expect(job.waitingWorkCoreMs).to.be.closeTo(waiting.reduce((sum, task) => sum + job.stepOf(task).size.cpuMilli / 1_000 * job.stepOf(task).estimatedMs, 0), 1e-6)
  const isDone = (number: number): boolean => job.tasks[number]!.every(task => task.phase === TaskPhase.Done)
  for (const task of tasks) {
    const isBlocked = job.stepOf(task).after.some(earlier => !isDone(earlier))
    expect(task.phase === TaskPhase.Blocked).to.equal(isBlocked)
  }
}

describe('Job', () => {
  for (let seed = 1; seed <= 40; seed++) {
    it(`counts its waiting and done tasks through any order of placements and ends (seed ${seed})`, () => {
      const random = new bench.Random(seed)
      const job = createJob(random)
      expect(job.hasWaitingTask).to.equal(false)
      let isDone = job.advance()
      for (let change = 0; change < 2_000 && !isDone; change++) {
        expectCountsOf(job)
        const active = job.tasks.flat().filter(task => task.phase === TaskPhase.Waiting || task.phase === TaskPhase.Sent)
        const task = active[random.whole(0, active.length - 1)]!
        if (task.phase === TaskPhase.Waiting) job.setPhase(task, TaskPhase.Sent)
        else job.setPhase(task, random.unit() < 0.6 ? TaskPhase.Done : TaskPhase.Waiting)
        isDone = job.advance()
      }
      expect(isDone).to.equal(true)
      expect(job.remainingEstimateMs()).to.equal(0)
      expect(job.hasWaitingTask).to.equal(false)
    })
  }
})

describe('SpeedEstimate', () => {
  it('has the lower median of the known ratios after any order of reports', () => {
    const random = new bench.Random(7)
    const speeds = new SpeedEstimate(new settings.FakeTimers())
    const known = new Map<string, number>()
    for (let change = 0; change < 3_000; change++) {
      const agentId = `agent-${random.whole(0, 12)}`
      const kind = random.unit()
      const ratio = kind < 0.2 ? 0 : random.whole(1, 40) / 10
      if (kind < 0.1) speeds.remove(agentId)
      else speeds.record(agentId, ratio)
      if (ratio > 0) known.set(agentId, ratio)
      else known.delete(agentId)
      if (random.unit() < 0.5) continue
      const sorted = [...known.values()].sort((left, right) => left - right)
      const median = sorted[Math.floor((sorted.length - 1) / 2)] ?? 1
      expect(speeds.expectedMs(100)).to.equal(100 * median)
      expect(speeds.factorOf(agentId)).to.equal(known.has(agentId) ? Math.min(12, Math.max(0.6, known.get(agentId)! / median)) : 1)
    }
  })
})
