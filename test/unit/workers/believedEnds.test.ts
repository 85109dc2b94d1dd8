/** Guards against ends of runs that are reported while the worker still runs them. */
import { expect } from 'chai'
import * as settings from '@egretvalve/settings'
import * as standin from '@egretvalve/standin'
import * as workers from '@egretvalve/workers'
import { passTime } from '../../support/simulatedTime.ts'

const TASK_SIZE: workers.RunSize = { cpuMilli: 1_000, memoryMb: 1, accelerators: 0 }
const TOTAL: workers.RunSize = { cpuMilli: 32_000, memoryMb: 1_024, accelerators: 0 }

interface Bench {
  timers: settings.FakeTimers
  worker: standin.StandinWorker
  executor: workers.RunExecutor
  endings: workers.TaskEnding[]
  submit: (jobId: string, count: number) => void
}

function createExecutor (timers: settings.FakeTimers, worker: standin.StandinWorker, endings: workers.TaskEnding[]): workers.RunExecutor {
  return new workers.RunExecutor({ timers, log: settings.createSilentLog(), driver: worker }, { onEnd: ending => { endings.push(ending) }, onLoad: () => {}, onCrash: () => {}, onCapacityReserved: () => {} })
}

function createOrder (timers: settings.FakeTimers, jobId: string, index: number): workers.TaskOrder {
  return { owner: 'entry-1', task: { jobId, step: 0, index }, attempt: 1, queue: 'queue', spec: '', size: TASK_SIZE, estimatedMs: 1_000, crashes: 0, observationMs: 0, age: new workers.Age(timers), expiresAfterMs: 10_000 }
}

async function createBench (options: Partial<standin.StandinWorkerOptions> = {}): Promise<Bench> {
  const timers = new settings.FakeTimers()
  const runRecorder = new standin.RunRecorder()
  const worker = new standin.StandinWorker({ workerId: 'w-1', total: TOTAL, workOf: () => 1_000, sizeOf: () => TASK_SIZE, timers, runRecorder, ...options })
  const endings: workers.TaskEnding[] = []
  const executor = createExecutor(timers, worker, endings)
  executor.applyReport(worker.report())
  await passTime(timers, 200)
  const submit = (jobId: string, count: number): void => {
    for (let index = 0; index < count; index++) executor.submit(createOrder(timers, jobId, index))
  }
  return { timers, worker, executor, endings, submit }
}

describe('ends of runs that the worker does not list', () => {
  it('are not concluded from answers that were written before the start was carried out', async () => {
    const delaysMs = { start: { request: 0, answer: 0 }, stop: { request: 0, answer: 0 }, renew: { request: 0, answer: 0 } }
    const { timers, worker, executor, endings, submit } = await createBench({ pathDelayMs: (kind, leg) => delaysMs[kind][leg] })
    submit('stopped', 3)
    await passTime(timers, 100)
    delaysMs.start.request = 40
    delaysMs.renew.answer = 60
    executor.stop('entry-1', ({ task }) => task.jobId === 'stopped', 'test')
    submit('started', 1)
    await passTime(timers, 200)
    expect(worker.runCount).to.equal(1)
    expect(endings.filter(({ order }) => order.task.jobId === 'started').map(({ reason }) => reason)).to.deep.equal([])
  })

  // Guards against a task that is placed elsewhere during its stop, on workers that list only what goes on.
  it('are not concluded before a stop can have ended, for a run that has started', async () => {
    const { timers, worker, executor, endings, submit } = await createBench({ hidesStoppingRuns: true, stopDurationMs: () => 50 })
    submit('job', 1)
    await passTime(timers, 100)
    executor.stop('entry-1', () => true, 'test')
    while (endings.length === 0) await passTime(timers, 5)
    expect(worker.runCount).to.equal(0)
  })

  it('are not concluded before a stop can have ended, for a start that was carried out after its time-out', async () => {
    const delaysMs = { start: { request: 103, answer: 0 }, stop: { request: 5, answer: 0 }, renew: { request: 0, answer: 0 } }
    const { timers, worker, endings, submit } = await createBench({ hidesStoppingRuns: true, stopDurationMs: () => 50, pathDelayMs: (kind, leg) => delaysMs[kind][leg] })
    submit('job', 1)
    await passTime(timers, 115)
    expect(worker.runCount).to.equal(1)
    while (endings.length === 0) await passTime(timers, 5)
    expect(worker.runCount).to.equal(0)
  })

  it('are not concluded by the next incarnation of the agent before its stops can have ended', async () => {
    const { timers, worker, executor, submit } = await createBench({ hidesStoppingRuns: true, stopDurationMs: () => 50 })
    submit('job', 1)
    await passTime(timers, 100)
    await executor.close()
    const next = createExecutor(timers, worker, [])
    next.applyReport(worker.report())
    while (!next.load.isPresent) await passTime(timers, 5)
    expect(worker.runCount).to.equal(0)
  })

  it('are not concluded by a further session with the worker before the stops of the first can have ended', async () => {
    const { timers, worker, executor, endings, submit } = await createBench({ hidesStoppingRuns: true, stopDurationMs: () => 50 })
    // The worker's incarnation is younger than the agent, so no other agent has called it.
    await passTime(timers, 1_000)
    worker.restart()
    executor.applyReport(worker.report())
    await passTime(timers, workers.DEFAULT_WORKER_OPTIONS.reportTimeoutMs - 200)
    submit('job', 1)
    await passTime(timers, 190)
    executor.stop('entry-1', () => true, 'test')
    await passTime(timers, 15)
    expect(executor.load.isPresent).to.equal(false)
    executor.applyReport(worker.report())
    while (endings.length === 0) await passTime(timers, 5)
    expect(worker.runCount).to.equal(0)
  })

  it('are taken back by a list that still shows the run: it is stopped, logged and counted', async () => {
    const { timers, worker } = await createBench()
    const logged: Array<{ code: number, fields: settings.LogFields }> = []
    const log: settings.Log = { event: ({ code }, fields = {}) => { logged.push({ code, fields }) }, close: async () => {} }
    let isHidden = false
    const driver: workers.WorkerDriver = {
      start: async call => await worker.start(call),
      stop: async (scope, ref) => await worker.stop(scope, ref),
      renew: async call => {
        const outcome = await worker.renew(call)
        if (outcome.kind === 'answered' && isHidden) outcome.runs.running = outcome.runs.running.filter(({ ref }) => ref.task.index !== 0)
        return outcome
      },
      close: async () => {}
    }
    const executor = new workers.RunExecutor({ timers, log, driver }, { onEnd: () => { isHidden = false }, onLoad: () => {}, onCrash: () => {}, onCapacityReserved: () => {} })
    executor.applyReport(worker.report())
    await passTime(timers, 200)
    for (let index = 0; index < 2; index++) executor.submit(createOrder(timers, 'job', index))
    await passTime(timers, 20)
    isHidden = true
    await passTime(timers, 800)
    expect(worker.runCount).to.equal(1)
    expect(executor.counters.runsReappeared).to.equal(1)
    expect(logged.filter(({ code }) => code === 10022).map(({ fields }) => [fields.jobId, fields.index, fields.reason])).to.deep.equal([['job', 0, 'worker does not list the run']])
  })
})
