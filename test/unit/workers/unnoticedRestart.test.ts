/** Guards against runs that outlive their owner lease, or ends that are reported too early, because the worker has started again unnoticed. */
import { expect } from 'chai'
import * as settings from '@egretvalve/settings'
import * as standin from '@egretvalve/standin'
import * as workers from '@egretvalve/workers'
import { passTime } from '../../support/simulatedTime.ts'

const TASK_SIZE: workers.RunSize = { cpuMilli: 1_000, memoryMb: 1, accelerators: 0 }
const TOTAL: workers.RunSize = { cpuMilli: 32_000, memoryMb: 1_024, accelerators: 0 }
const WORK_MS = 5_000
/** Time for which the first life of the worker has run, so that leases on its clock lie far ahead on the clock of the next one. */
const LIFE_MS = 10_000
/** Owner lease of an order that finds a link whose last heartbeat is 400 ms old, in milliseconds. */
const OWNER_LEASE_MS = 750
const TASKS = 4
/** Time from an order to the crash, until the worker is back, and from then to its first report, in milliseconds. */
const DOWN_AFTER_MS = 500
const DOWN_MS = 600
const REPORT_DELAY_MS = 1_000
/** Period in which the agent queries a worker that is down, and the time of a stop with its calls, in milliseconds. */
const POLL_MS = 150
const STOP_MS = 60

/** Driver of an agent that can freeze: its calls are then neither sent nor answered. */
class FreezableDriver implements workers.WorkerDriver {
  isFrozen = false
  starts = 0
  queries = 0

  constructor (private readonly worker: standin.StandinWorker) {}

  async start (call: workers.StartCall): Promise<workers.StartOutcome> {
    this.starts++
    return await this.call(async () => await this.worker.start(call))
  }

  async stop (scope: workers.CallScope, ref: workers.RunRef): Promise<boolean> {
    return await this.call(async () => await this.worker.stop(scope, ref))
  }

  async renew (call: workers.RenewCall): Promise<workers.RenewOutcome> {
    this.queries++
    return await this.call(async () => await this.worker.renew(call))
  }

  async close (): Promise<void> {}

  private async call<T> (perform: () => Promise<T>): Promise<T> {
    if (this.isFrozen) return await new Promise<never>(() => {})
    const outcome = await perform()
    return this.isFrozen ? await new Promise<never>(() => {}) : outcome
  }
}

interface Bench {
  timers: settings.FakeTimers
  worker: standin.StandinWorker
  driver: FreezableDriver
  executor: workers.RunExecutor
  endings: workers.TaskEnding[]
  /** Submits tasks whose owner lease starts now. */
  submit: (jobId: string, count: number, ownerLeaseMs?: number) => void
}

async function createBench (delaysMs: Readonly<Record<standin.CallKind, number>> = { start: 1, stop: 1, renew: 1 }): Promise<Bench> {
  const timers = new settings.FakeTimers()
  const worker = new standin.StandinWorker({ workerId: 'w-1', total: TOTAL, workOf: () => WORK_MS, sizeOf: () => TASK_SIZE, clockRate: 0.98, pathDelayMs: (kind, leg) => leg === standin.PathLeg.Request ? delaysMs[kind] : 1, stopDurationMs: () => 50, timers, runRecorder: new standin.RunRecorder() })
  const driver = new FreezableDriver(worker)
  const endings: workers.TaskEnding[] = []
  let leaseEndsAtMs = Number.POSITIVE_INFINITY
  const executor = new workers.RunExecutor({ timers, log: settings.createSilentLog(), driver, ownerLeases: { remainingMs: () => leaseEndsAtMs - timers.nowMs() } }, { onEnd: ending => { endings.push(ending) }, onLoad: () => {}, onCrash: () => {}, onCapacityReserved: () => {} })
  await passTime(timers, LIFE_MS)
  executor.applyReport(worker.report())
  await passTime(timers, 400)
  const submit = (jobId: string, count: number, ownerLeaseMs = OWNER_LEASE_MS): void => {
    leaseEndsAtMs = timers.nowMs() + ownerLeaseMs
    for (let index = 0; index < count; index++) executor.submit({ owner: 'entry-1', task: { jobId, step: 0, index }, attempt: 1, queue: 'queue', spec: '', size: TASK_SIZE, estimatedMs: 100, crashes: 0, observationMs: 0, age: new workers.Age(timers), expiresAfterMs: 10_000 })
  }
  return { timers, worker, driver, executor, endings, submit }
}

describe('a worker that has started again unnoticed', () => {
  it('runs nothing beyond the owner lease when the agent freezes right after the start', async () => {
    const { timers, worker, driver, submit } = await createBench()
    worker.restart()
    await passTime(timers, 100)
    submit('job', TASKS)
    // The start is carried out in this time if it is sent, and the agent reads no answer to it.
    for (let step = 0; step < 20 && driver.starts === 0; step++) await passTime(timers, 5)
    driver.isFrozen = true
    await passTime(timers, OWNER_LEASE_MS)
    expect(worker.runCount).to.equal(0)
  })

  // Guards against a late start that the next life of the worker carries out before its first report, beside the task's next run elsewhere.
  it('refuses late starts of its earlier life, and ends those that it has carried out, before it reports itself', async () => {
    const runsAfterMs: number[] = []
    for (let lateByMs = 0; lateByMs < REPORT_DELAY_MS; lateByMs += 20) {
      const { timers, worker, endings, submit } = await createBench()
      worker.faults.delayedCalls.start = 1
      worker.faults.callDelayMs = DOWN_AFTER_MS + DOWN_MS + lateByMs
      worker.faults.lateCallsOutliveRestarts = true
      submit('job', 1, Number.POSITIVE_INFINITY)
      await passTime(timers, DOWN_AFTER_MS)
      worker.crash(DOWN_MS)
      await passTime(timers, DOWN_MS)
      expect(endings.map(({ end }) => end)).to.deep.equal([workers.TaskEnd.Lost])
      await passTime(timers, POLL_MS + STOP_MS)
      for (let passedMs = POLL_MS + STOP_MS; passedMs < REPORT_DELAY_MS; passedMs += 5) {
        if (worker.runCount > 0) runsAfterMs.push(lateByMs)
        await passTime(timers, 5)
      }
    }
    expect([...new Set(runsAfterMs)], 'delays of starts whose runs go on').to.deep.equal([])
  })

  // Soak seed 8023: the lease of a start that is under way for 180 ms to the next life counts from its arrival there.
  it('is taken over before the end of a run is reported whose start was under way to it', async () => {
    const delaysMs = { start: 1, stop: 1, renew: 1 }
    const { timers, worker, executor, endings, submit } = await createBench(delaysMs)
    worker.restart()
    await passTime(timers, 500)
    Object.assign(delaysMs, { start: 180, stop: 180, renew: 180 })
    submit('job', 2, Number.POSITIVE_INFINITY)
    await passTime(timers, 10)
    executor.applyReport(worker.report())
    for (let passedMs = 0; passedMs < 2_000; passedMs += 5) {
      expect(worker.runCount === 0 || endings.length === 0, 'no end while a task runs').to.equal(true)
      await passTime(timers, 5)
    }
    Object.assign(delaysMs, { start: 1, stop: 1, renew: 1 })
    await passTime(timers, 1_000)
    expect(endings.map(({ end }) => end)).to.deep.equal(Array(2).fill(workers.TaskEnd.Lost))
    expect(worker.runCount).to.equal(0)
  })
})
