/** Which runs an agent reports as aboard a worker that has crashed: those that the worker has confirmed, and no others. */
import { expect } from 'chai'
import * as settings from '@egretvalve/settings'
import * as standin from '@egretvalve/standin'
import * as workers from '@egretvalve/workers'
import { passTime } from '../../support/simulatedTime.ts'

const TASK_SIZE: workers.RunSize = { cpuMilli: 3_000, memoryMb: 64, accelerators: 0 }
const TOTAL: workers.RunSize = { cpuMilli: 12_000, memoryMb: 1_024, accelerators: 0 }
const WORK_MS = 200
/** Longer than an unanswered call, its query and its stop take. */
const SETTLED_MS = 1_500

/** An executor on one worker, and what it has reported. */
class Bench {
  readonly timers = new settings.FakeTimers()
  readonly worker: standin.StandinWorker
  readonly crashes: workers.WorkerCrash[] = []
  readonly endings: workers.TaskEnding[] = []
  readonly executor: workers.RunExecutor
  /** Answers a start in the place of the worker, if it returns an outcome. */
  onStart: () => workers.StartOutcome | undefined = () => undefined

  constructor (crashesAfterMs?: (task: workers.TaskRef) => number | undefined) {
    const worker = new standin.StandinWorker({ workerId: 'w-1', total: TOTAL, workOf: () => WORK_MS, sizeOf: () => TASK_SIZE, crashesAfterMs, timers: this.timers, runRecorder: new standin.RunRecorder() })
    this.worker = worker
    const driver: workers.WorkerDriver = {
      start: async call => this.onStart() ?? await worker.start(call),
      stop: async (scope, ref) => await worker.stop(scope, ref),
      renew: async call => await worker.renew(call),
      close: async () => { await worker.close() }
    }
    this.executor = new workers.RunExecutor({ timers: this.timers, log: settings.createSilentLog(), driver }, { onEnd: ending => { this.endings.push(ending) }, onLoad: () => {}, onCrash: crash => { this.crashes.push(crash) }, onCapacityReserved: () => {} })
  }

  async open (): Promise<void> {
    this.executor.applyReport(this.worker.report())
    while (!this.executor.load.isPresent) await passTime(this.timers, 5)
  }

  submit (index: number, changes: Partial<workers.TaskOrder> = {}): void {
    this.executor.submit({ owner: 'entry-1', task: { jobId: 'job', step: 0, index }, attempt: 1, queue: 'queue', spec: 'x', size: TASK_SIZE, estimatedMs: WORK_MS, crashes: 0, observationMs: 0, age: new workers.Age(this.timers), expiresAfterMs: 2_000, ...changes })
  }

  /** The worker loses its runs, and nothing listens at its address. */
  crash (): void {
    this.worker.restart()
    this.worker.faults.isDown = true
  }

  /** Indexes of the runs that were reported as aboard, by crash. */
  get aboard (): number[][] {
    return this.crashes.map(({ runs }) => runs.map(({ task }) => task.index))
  }

  /** Indexes of all tasks that were reported as lost. */
  get lost (): number[] {
    return this.endings.filter(({ end }) => end === workers.TaskEnd.Lost).map(({ order }) => order.task.index)
  }
}

describe('the report of a crash', () => {
  it('holds a run whose start was answered', async () => {
    const bench = new Bench()
    await bench.open()
    bench.submit(0)
    await passTime(bench.timers, 20)
    bench.crash()
    await passTime(bench.timers, SETTLED_MS)
    expect(bench.aboard).to.deep.equal([[0]])
    expect(bench.lost).to.deep.equal([0])
  })

  it('does not hold a run whose start is unanswered, which is lost all the same', async () => {
    const bench = new Bench()
    await bench.open()
    bench.submit(0)
    await passTime(bench.timers, 20)
    bench.worker.faults.delayedCalls.start = 1
    bench.submit(1)
    await passTime(bench.timers, 20)
    bench.crash()
    await passTime(bench.timers, SETTLED_MS)
    expect(bench.aboard).to.deep.equal([[0]])
    expect(bench.lost).to.have.members([0, 1])
  })

  it('does not hold a run whose start has timed out and is being stopped', async () => {
    const bench = new Bench()
    await bench.open()
    bench.worker.faults.delayedCalls.start = 1
    bench.worker.faults.delayedCalls.stop = 4
    bench.submit(0)
    await passTime(bench.timers, workers.DEFAULT_WORKER_OPTIONS.callTimeoutMs + 20)
    bench.crash()
    await passTime(bench.timers, SETTLED_MS)
    expect(bench.aboard.flat()).to.deep.equal([])
    expect(bench.lost).to.deep.equal([0])
  })

  it('does not hold a run whose start was refused and is repeated', async () => {
    const bench = new Bench()
    await bench.open()
    bench.onStart = () => {
      bench.crash()
      return { kind: 'refused', refusal: workers.StartRefusal.LeaseExpired }
    }
    bench.submit(0)
    await passTime(bench.timers, SETTLED_MS)
    expect(bench.endings).to.have.length(1)
    expect(bench.crashes).to.deep.equal([])
  })

  it('does not hold a run whose start was never sent, since the worker had crashed before', async () => {
    const bench = new Bench()
    await bench.open()
    bench.submit(0)
    await passTime(bench.timers, 20)
    bench.crash()
    bench.submit(1, { checksWorker: true })
    await passTime(bench.timers, SETTLED_MS)
    expect(bench.aboard).to.deep.equal([[0]])
    expect(bench.crashes.flatMap(({ unconfirmed }) => unconfirmed ?? [])).to.deep.equal([])
  })

  it('holds a run whose start got no answer, from the first list that shows it', async () => {
    const bench = new Bench()
    await bench.open()
    bench.worker.faults.isStalled = true
    bench.worker.faults.lostAnswers.start = 1
    bench.submit(0)
    await passTime(bench.timers, workers.DEFAULT_WORKER_OPTIONS.callTimeoutMs + 20)
    bench.crash()
    await passTime(bench.timers, SETTLED_MS)
    expect(bench.aboard).to.deep.equal([[0]])
  })

  it('does not hold a run that has ended, although its start or the first list of its end got lost', async () => {
    const bench = new Bench()
    await bench.open()
    bench.worker.faults.lostAnswers.start = 1
    bench.submit(0)
    bench.submit(1)
    await passTime(bench.timers, WORK_MS - 20)
    bench.worker.faults.lostAnswers.renew = 1
    await passTime(bench.timers, 300)
    bench.worker.faults.isStalled = true
    bench.submit(2)
    await passTime(bench.timers, 20)
    bench.crash()
    await passTime(bench.timers, SETTLED_MS)
    expect(bench.aboard).to.deep.equal([[2]])
    expect(bench.lost).to.deep.equal([2])
  })

  it('holds a run that crashes its worker before the answer, if the worker has answered a query right before the start', async () => {
    const bench = new Bench(({ index }) => index === 0 ? 0 : undefined)
    await bench.open()
    bench.submit(0, { checksWorker: true })
    await passTime(bench.timers, SETTLED_MS)
    expect(bench.aboard).to.deep.equal([[0]])
    expect(bench.lost).to.deep.equal([0])
  })

  it('names a run that crashes its worker before the answer as unconfirmed, if no query preceded its start', async () => {
    const bench = new Bench(({ index }) => index === 0 ? 0 : undefined)
    await bench.open()
    bench.submit(0)
    await passTime(bench.timers, SETTLED_MS)
    expect(bench.aboard).to.deep.equal([[]])
    expect(bench.crashes[0]!.unconfirmed?.map(({ task }) => task.index)).to.deep.equal([0])
    expect(bench.lost).to.deep.equal([0])
  })

  it('does not hold a run that a list does not show after its start got no answer, although the worker had answered before', async () => {
    const bench = new Bench()
    await bench.open()
    bench.worker.faults.delayedCalls.start = 1
    bench.worker.faults.delayedCalls.stop = 4
    bench.submit(0, { checksWorker: true })
    await passTime(bench.timers, workers.DEFAULT_WORKER_OPTIONS.callTimeoutMs + 20)
    bench.crash()
    await passTime(bench.timers, SETTLED_MS)
    expect(bench.aboard.flat()).to.deep.equal([])
  })

  it('takes no run for observed while a start of another job is under way, or after unconfirmed starts alone', async () => {
    for (const [crashes, hasOther, isObserved] of [[1, false, true], [1, true, false], [0, false, false]] as const) {
      const bench = new Bench()
      await bench.open()
      bench.submit(0, { crashes, observationMs: 500 })
      await passTime(bench.timers, 20)
      bench.worker.faults.delayedCalls.start = 1
      if (hasOther) bench.submit(1, { task: { jobId: 'other', step: 0, index: 1 } })
      await passTime(bench.timers, 20)
      bench.crash()
      await passTime(bench.timers, SETTLED_MS)
      expect(bench.crashes[0]!.runs.map(run => [run.task.index, run.isObserved])).to.deep.equal([[0, isObserved]])
    }
  })

  it('returns a task unstarted when the worker does not answer the query before its start', async () => {
    const bench = new Bench()
    await bench.open()
    bench.worker.faults.isUnresponsive = true
    bench.submit(0, { checksWorker: true })
    await passTime(bench.timers, workers.DEFAULT_WORKER_OPTIONS.callTimeoutMs + 20)
    expect(bench.endings.map(({ end, reason }) => [end, reason])).to.deep.equal([[workers.TaskEnd.NotStarted, workers.ReturnReason.WorkerUnresponsive]])
  })

  it('does not start a task that is stopped during the query before its start', async () => {
    const bench = new Bench()
    await bench.open()
    bench.worker.faults.lostAnswers.renew = 1
    bench.submit(0, { checksWorker: true })
    bench.executor.stop('entry-1', () => true, 'test')
    await passTime(bench.timers, SETTLED_MS)
    expect(bench.endings.map(({ end }) => end)).to.deep.equal([workers.TaskEnd.NotStarted])
    expect(bench.worker.runCount).to.equal(0)
    expect(bench.worker.unacknowledgedCount).to.equal(0)
  })

  it('comes once for each crash, although the worker also reports its next incarnation', async () => {
    const bench = new Bench()
    await bench.open()
    bench.submit(0)
    await passTime(bench.timers, 20)
    bench.crash()
    await passTime(bench.timers, 300)
    bench.worker.faults.isDown = false
    bench.executor.applyReport(bench.worker.report())
    await passTime(bench.timers, SETTLED_MS)
    expect(bench.aboard).to.deep.equal([[0]])
    expect(bench.executor.counters.workerCrashes).to.equal(1)
  })

  it('comes from no further agent incarnation', async () => {
    const bench = new Bench()
    await bench.open()
    bench.submit(0)
    await passTime(bench.timers, 20)
    const second = new workers.RunExecutor({ timers: bench.timers, log: settings.createSilentLog(), driver: bench.worker }, { onEnd: () => {}, onLoad: () => {}, onCrash: crash => { bench.crashes.push(crash) }, onCapacityReserved: () => {} })
    bench.crash()
    second.applyReport(bench.worker.report())
    await passTime(bench.timers, SETTLED_MS)
    expect(bench.aboard).to.deep.equal([[0]])
  })
})
