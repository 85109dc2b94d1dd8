/** Containment of queues whose tasks crash workers again and again. */
import { expect } from 'chai'
import * as scheduler from '@egretvalve/scheduler'
import * as settings from '@egretvalve/settings'

const WORKERS = 10
const SERVICE = 'spares'

interface Bench {
  timers: settings.FakeTimers
  containment: scheduler.Containment
  changes: Array<[string, boolean]>
  /** Number of workers that the tasks of a queue may use. */
  count: (queue: string, isSuspect?: boolean) => number
}

function createBench (workerCount = WORKERS, agents = new scheduler.Agents()): Bench {
  const timers = new settings.FakeTimers()
  const total = { cpuMilli: 32_000, memoryMb: 1_024, accelerators: 0 }
  for (let number = 0; number < workerCount; number++) {
    agents.connect({ agentId: `agent-${number}`, incarnation: 'life', failureDomain: number < workerCount / 2 ? 'a' : 'b', sinceLastMessageMs: () => 0, sendTask: () => {}, stop: () => {}, sendDemand: () => {} }, { isPresent: true, isDraining: false, service: SERVICE, total, free: total, labels: [], waiting: 0, hasSuspect: false, runTimeRatio: 0, received: 0 })
  }
  const changes: Array<[string, boolean]> = []
  const containment = new scheduler.Containment(timers, agents, (queue, isContained) => { changes.push([queue, isContained]) })
  for (const queue of ['crashing', 'first', 'second']) containment.recordWork(queue, 1_000)
  const count = (queue: string, isSuspect = false): number => [...agents.all].filter(containment.filterFor(queue, SERVICE, isSuspect)).length
  return { timers, containment, changes, count }
}

describe('containment of a queue whose tasks crash workers', () => {
  it('begins with the second job of which a task is given up, and leaves most workers to the other queues', () => {
    const { containment, changes, count } = createBench()
    for (let task = 0; task < 3; task++) containment.recordVerdict('crashing', 'job-1')
    expect([count('crashing'), count('first')]).to.deep.equal([WORKERS, WORKERS])
    containment.recordVerdict('crashing', 'job-2')
    expect([count('crashing'), count('crashing', true), count('first')]).to.deep.equal([3, 1, 6])
    expect(changes).to.deep.equal([['crashing', true]])
  })

  // Guards against a cell in an evacuated failure domain, where none of its jobs could run.
  it('keeps a queue to workers outside of evacuated failure domains', () => {
    const agents = new scheduler.Agents()
    const { containment } = createBench(WORKERS, agents)
    for (const job of ['job-1', 'job-2']) containment.recordVerdict('crashing', job)
    for (const evacuated of ['a', 'b']) {
      agents.setEvacuatedDomains([evacuated])
      const usable = [...agents.usable]
      const counts = [['crashing', false], ['crashing', true], ['first', false]].map(([queue, isSuspect]) => usable.filter(containment.filterFor(queue as string, SERVICE, isSuspect as boolean)).length)
      expect(counts, evacuated).to.deep.equal([1, 1, 3])
    }
  })

  it('does not begin for verdicts that are far apart', () => {
    const { timers, containment, count } = createBench()
    for (let verdict = 0; verdict < 3; verdict++) {
      containment.recordVerdict('crashing', `job-${verdict}`)
      timers.advance(6_000)
      containment.sweep()
    }
    expect(count('first')).to.equal(WORKERS)
  })

  it('ends some seconds after the last crash, and is prolonged by crashes that end only its runs', () => {
    const { timers, containment, changes, count } = createBench()
    for (let verdict = 0; verdict < 2; verdict++) containment.recordVerdict('crashing', `job-${verdict}`)
    timers.advance(4_000)
    containment.recordCrash('crashing')
    timers.advance(4_000)
    containment.sweep()
    expect(count('first')).to.equal(6)
    timers.advance(2_000)
    containment.sweep()
    expect(count('first')).to.equal(WORKERS)
    expect(changes).to.deep.equal([['crashing', true], ['crashing', false]])
  })

  it('ends as long after the crashes at an entry that hears of them late, and does not begin when they are long past', () => {
    const { timers, containment, changes, count } = createBench()
    timers.advance(20_000)
    for (const [jobId, agoMs] of [['job-1', 4_500], ['job-2', 3_000]] as const) containment.recordVerdict('crashing', jobId, timers.nowMs() - agoMs)
    expect(count('first')).to.equal(6)
    timers.advance(2_100)
    containment.sweep()
    expect(count('first')).to.equal(WORKERS)
    timers.advance(10_000)
    for (const [jobId, agoMs] of [['job-3', 8_500], ['job-4', 5_500]] as const) containment.recordVerdict('crashing', jobId, timers.nowMs() - agoMs)
    expect(count('first')).to.equal(WORKERS)
    expect(changes).to.deep.equal([['crashing', true], ['crashing', false]])
  })

  it('spares a queue that has most of the work, as its cell could not carry it', () => {
    const { containment, count } = createBench()
    containment.recordWork('crashing', 10_000)
    for (let verdict = 0; verdict < 2; verdict++) containment.recordVerdict('crashing', `job-${verdict}`)
    expect(count('crashing')).to.equal(WORKERS)
  })

  it('leaves workers to the queue in every fleet, and all of them in one that is too small to divide', () => {
    for (const [workerCount, forJobs, forSuspects, forOthers] of [[2, 2, 2, 2], [4, 4, 4, 4], [5, 1, 1, 3], [11, 3, 1, 7]] as const) {
      const { containment, count } = createBench(workerCount)
      for (let verdict = 0; verdict < 2; verdict++) containment.recordVerdict('crashing', `job-${verdict}`)
      expect([count('crashing'), count('crashing', true), count('first')], `${workerCount} workers`).to.deep.equal([forJobs, forSuspects, forOthers])
    }
  })
})
