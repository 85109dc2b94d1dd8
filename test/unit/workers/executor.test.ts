/** Guards against tasks that run twice, ends that are lost or reported early, and runs that outlive their agent, on a leased worker with faults. */
import { expect } from 'chai'
import * as settings from '@egretvalve/settings'
import * as standin from '@egretvalve/standin'
import * as workers from '@egretvalve/workers'
import { passTime } from '../../support/simulatedTime.ts'

const TASK_SIZE: workers.RunSize = { cpuMilli: 3_000, memoryMb: 64, accelerators: 0 }
const TOTAL: workers.RunSize = { cpuMilli: 12_000, memoryMb: 1_024, accelerators: 0 }
const WORK_MS = 200

interface Bench {
  timers: settings.FakeTimers
  worker: standin.StandinWorker
  runRecorder: standin.RunRecorder
  executor: workers.RunExecutor
  endings: workers.TaskEnding[]
  order: (index: number, changes?: Partial<workers.TaskOrder>) => workers.TaskOrder
}

function createExecutor (worker: standin.StandinWorker, timers: settings.FakeTimers, endings: workers.TaskEnding[]): workers.RunExecutor {
  return new workers.RunExecutor({ timers, log: settings.createSilentLog(), driver: worker }, { onEnd: ending => { endings.push(ending) }, onLoad: () => {}, onCrash: () => {}, onCapacityReserved: () => {} })
}

async function createBench (clockRate = 1): Promise<Bench> {
  const timers = new settings.FakeTimers()
  const runRecorder = new standin.RunRecorder()
  const worker = new standin.StandinWorker({ workerId: 'w-1', total: TOTAL, workOf: () => WORK_MS, sizeOf: () => TASK_SIZE, clockRate, timers, runRecorder })
  const endings: workers.TaskEnding[] = []
  const executor = createExecutor(worker, timers, endings)
  executor.applyReport(worker.report())
  await passTime(timers, 20)
  const order = (index: number, changes: Partial<workers.TaskOrder> = {}): workers.TaskOrder => ({
    owner: 'entry-1', task: { jobId: 'job', step: 0, index }, attempt: 1, queue: 'queue', spec: 'x', size: TASK_SIZE, estimatedMs: WORK_MS, crashes: 0, observationMs: 0, age: new workers.Age(timers), expiresAfterMs: 2_000, ...changes
  })
  return { timers, worker, runRecorder, executor, endings, order }
}

describe('runs on a leased worker', () => {
  it('reports each end once and acknowledges it', async () => {
    const { timers, worker, executor, endings, order } = await createBench()
    for (let index = 0; index < 4; index++) executor.submit(order(index))
    await passTime(timers, 400)
    expect(endings.map(({ end }) => end)).to.deep.equal(Array(4).fill(workers.TaskEnd.Done))
    expect(worker.unacknowledgedCount).to.equal(0)
  })

  it('immediately returns tasks that exceed the free capacity, and starts the others', async () => {
    const { timers, worker, executor, endings, order } = await createBench()
    for (let index = 0; index < 6; index++) executor.submit(order(index))
    expect(endings.map(({ order: { task }, end, reason }) => [task.index, end, reason])).to.deep.equal([[4, workers.TaskEnd.NotStarted, 'no room'], [5, workers.TaskEnd.NotStarted, 'no room']])
    await passTime(timers, 20)
    expect(worker.runCount).to.equal(4)
  })

  it('starts nothing beyond the capacity of a worker that has shrunk, and uses it again when it has grown', async () => {
    const { timers, worker, executor, endings, order } = await createBench()
    worker.faults.capacityShare = 0.5
    executor.applyReport(worker.report())
    expect(executor.load.free.cpuMilli).to.equal(TOTAL.cpuMilli / 2)
    for (let index = 0; index < 4; index++) executor.submit(order(index))
    await passTime(timers, 20)
    expect([worker.runCount, endings.length]).to.deep.equal([2, 2])
    worker.faults.capacityShare = 1
    executor.applyReport(worker.report())
    for (let index = 4; index < 6; index++) executor.submit(order(index))
    await passTime(timers, 20)
    expect(worker.runCount).to.equal(4)
  })

  // Guards against a start in an evacuated failure domain by an entry that does not know of the evacuation.
  it('returns every task while its failure domain is evacuated, without ending runs or reserving capacity, and starts tasks after that', async () => {
    const { timers, worker, executor, endings, order } = await createBench()
    executor.submit(order(0))
    await passTime(timers, 20)
    executor.setEvacuated(true)
    executor.submit(order(1))
    executor.updateDemand('entry-1', { rank: 0, latestStartAtMs: 0, size: TASK_SIZE, count: 1 })
    expect(endings.map(({ order: { task }, end, reason }) => [task.index, end, reason])).to.deep.equal([[1, workers.TaskEnd.NotStarted, 'domain evacuated']])
    expect([worker.runCount, executor.loadFor('entry-2').free.cpuMilli]).to.deep.equal([1, 9_000])
    await passTime(timers, 400)
    executor.setEvacuated(false)
    executor.submit(order(2))
    await passTime(timers, 400)
    expect(endings.slice(1).map(({ order: { task }, end }) => [task.index, end])).to.deep.equal([[0, workers.TaskEnd.Done], [2, workers.TaskEnd.Done]])
  })

  it('returns a suspect of a crash while one of another job is observed, and names the observed job when the worker crashes', async () => {
    const { timers, endings, order } = await createBench()
    const worker = new standin.StandinWorker({ workerId: 'w-2', total: TOTAL, workOf: () => WORK_MS, sizeOf: () => TASK_SIZE, crashesAfterMs: ({ index }) => index === 0 ? 40 : undefined, timers, runRecorder: new standin.RunRecorder() })
    const crashes: workers.WorkerCrash[] = []
    const observer = new workers.RunExecutor({ timers, log: settings.createSilentLog(), driver: worker }, { onEnd: ending => { endings.push(ending) }, onLoad: () => {}, onCrash: crash => { crashes.push(crash) }, onCapacityReserved: () => {} })
    observer.applyReport(worker.report())
    while (!observer.load.isPresent) await passTime(timers, 5)
    const suspect = { crashes: 1, observationMs: 100 }
    observer.submit(order(0, suspect))
    observer.submit(order(1, { ...suspect, task: { jobId: 'other', step: 0, index: 1 } }))
    observer.submit(order(2))
    expect(endings.map(({ order: { task }, reason }) => [task.jobId, reason])).to.deep.equal([['other', workers.ReturnReason.SuspectRunning]])
    expect(observer.load.hasSuspect).to.equal(true)
    while (crashes.length === 0) await passTime(timers, 5)
    expect(crashes[0]!.runs.map(({ task, earlierCrashes, isObserved }) => [task.index, earlierCrashes, isObserved])).to.deep.equal([[0, 1, true], [2, 0, false]])
  })

  it('counts the age of the runs of a worker that fell silent up to its last answer, so that they can be suspected', async () => {
    const { timers, endings, order } = await createBench()
    const worker = new standin.StandinWorker({ workerId: 'w-2', total: TOTAL, workOf: () => 5_000, sizeOf: () => TASK_SIZE, timers, runRecorder: new standin.RunRecorder() })
    const crashes: workers.WorkerCrash[] = []
    const observer = new workers.RunExecutor({ timers, log: settings.createSilentLog(), driver: worker }, { onEnd: ending => { endings.push(ending) }, onLoad: () => {}, onCrash: crash => { crashes.push(crash) }, onCapacityReserved: () => {} })
    observer.applyReport(worker.report())
    while (!observer.load.isPresent) await passTime(timers, 5)
    observer.submit(order(0))
    await passTime(timers, 1_000)
    observer.submit(order(1, { crashes: 1, observationMs: 100 }))
    await passTime(timers, 40)
    worker.faults.isUnresponsive = true
    while (crashes.length === 0) await passTime(timers, 5)
    expect(crashes[0]!.kind).to.equal(workers.CrashKind.Unresponsive)
    const [early, late] = crashes[0]!.runs
    expect(early!.runMs).to.be.within(850, 1_060)
    expect(late!.runMs).to.be.at.most(60)
    expect([early!.isObserved, late!.isObserved]).to.deep.equal([false, true])
  })

  it('reserves freed capacity for the entry with the more urgent task', async () => {
    const { timers, executor, endings, order } = await createBench()
    for (let index = 0; index < 4; index++) executor.submit(order(index))
    await passTime(timers, 20)
    const demand = { size: TASK_SIZE, count: 1, latestStartAtMs: timers.nowMs() + 100 }
    executor.updateDemand('entry-1', { ...demand, rank: 2 })
    executor.updateDemand('entry-2', { ...demand, rank: 1 })
    executor.stop('entry-1', each => each.task.index === 0, 'test')
    while (endings.length === 0) await passTime(timers, 5)
    expect([executor.loadFor('entry-1').free.cpuMilli, executor.loadFor('entry-2').free.cpuMilli]).to.deep.equal([0, TASK_SIZE.cpuMilli])
    executor.submit(order(10))
    executor.submit(order(11, { owner: 'entry-2' }))
    expect(executor.heldBy('entry-1').map(({ task }) => task.index)).to.deep.equal([1, 2, 3])
    expect(executor.heldBy('entry-2').map(({ task }) => task.index)).to.deep.equal([11])
  })

  it('renews the lease of a long run, also when the worker\'s clock is 2% slow or fast', async () => {
    for (const clockRate of [0.98, 1.02]) {
      const timers = new settings.FakeTimers()
      const runRecorder = new standin.RunRecorder()
      const worker = new standin.StandinWorker({ workerId: 'w-1', total: TOTAL, workOf: () => 5_000, sizeOf: () => TASK_SIZE, clockRate, timers, runRecorder })
      const endings: workers.TaskEnding[] = []
      const executor = createExecutor(worker, timers, endings)
      executor.applyReport(worker.report())
      await passTime(timers, 20)
      executor.submit({ owner: 'e', task: { jobId: 'job', step: 0, index: 0 }, attempt: 1, queue: 'queue', spec: '', size: TASK_SIZE, estimatedMs: 5_000, crashes: 0, observationMs: 0, age: new workers.Age(timers), expiresAfterMs: 10_000 })
      await passTime(timers, 5_200)
      expect(endings.map(({ end }) => end)).to.deep.equal([workers.TaskEnd.Done])
    }
  })

  it('ends the runs of a dead agent when the lease expires', async () => {
    const { timers, worker, executor, order } = await createBench()
    executor.submit(order(0))
    await passTime(timers, 20)
    worker.faults.isStalled = true
    await executor.close()
    await passTime(timers, workers.DEFAULT_WORKER_OPTIONS.leaseMs + 100)
    expect(worker.runCount).to.equal(0)
  })

  it('lets the worker end all runs with the first owner lease, also when the agent stands still', async () => {
    const { timers, worker, endings, order } = await createBench()
    const leaseEndsAtMs: Record<string, number> = { 'entry-1': timers.nowMs() + 300, 'entry-2': timers.nowMs() + 5_000 }
    const executor = new workers.RunExecutor({ timers, log: settings.createSilentLog(), driver: worker, ownerLeases: { remainingMs: owner => leaseEndsAtMs[owner]! - timers.nowMs() } }, { onEnd: ending => { endings.push(ending) }, onLoad: () => {}, onCrash: () => {}, onCapacityReserved: () => {} })
    executor.applyReport(worker.report())
    while (!executor.load.isPresent) await passTime(timers, 5)
    worker.faults.isStalled = true
    executor.submit(order(0, { owner: 'entry-1' }))
    executor.submit(order(1, { owner: 'entry-2' }))
    await passTime(timers, 150)
    expect(worker.runCount).to.equal(2)
    await executor.close()
    await passTime(timers, leaseEndsAtMs['entry-1']! - timers.nowMs() + 10)
    expect(worker.runCount).to.equal(0)
  })

  // Guards against a lease on the worker that outlasts the owner lease, because the worker's clock fell behind while no calls were made.
  it('lets the worker end a run with the owner lease, also if the worker was idle for a minute and its clock is slow', async () => {
    const { timers, worker, order } = await createBench(0.98)
    let leaseEndsAtMs = 0
    const executor = new workers.RunExecutor({ timers, log: settings.createSilentLog(), driver: worker, ownerLeases: { remainingMs: () => leaseEndsAtMs - timers.nowMs() } }, { onEnd: () => {}, onLoad: () => {}, onCrash: () => {}, onCapacityReserved: () => {} })
    for (let reports = 0; reports < 40; reports++) {
      executor.applyReport(worker.report())
      await passTime(timers, 1_500)
    }
    worker.faults.isStalled = true
    leaseEndsAtMs = timers.nowMs() + 300
    executor.submit(order(0))
    await passTime(timers, 5)
    expect(worker.runCount).to.equal(1)
    await executor.close()
    await passTime(timers, 300 * workers.DEFAULT_WORKER_OPTIONS.clockDrift)
    expect(worker.runCount).to.equal(0)
  })

  it('returns a task whose owner lease has nearly expired, and starts those of other owners', async () => {
    const { timers, worker, endings, order } = await createBench()
    const remainingMs: Record<string, number> = { 'entry-1': workers.DEFAULT_WORKER_OPTIONS.minStartLeaseMs - 1, 'entry-2': 1_000 }
    const executor = new workers.RunExecutor({ timers, log: settings.createSilentLog(), driver: worker, ownerLeases: { remainingMs: owner => remainingMs[owner]! } }, { onEnd: ending => { endings.push(ending) }, onLoad: () => {}, onCrash: () => {}, onCapacityReserved: () => {} })
    executor.applyReport(worker.report())
    while (!executor.load.isPresent) await passTime(timers, 5)
    executor.submit(order(0, { owner: 'entry-1' }))
    executor.submit(order(1, { owner: 'entry-2' }))
    await passTime(timers, 20)
    expect(endings.map(({ order: { task }, end, reason }) => [task.index, end, reason])).to.deep.equal([[0, workers.TaskEnd.NotStarted, workers.ReturnReason.OwnerLeaseExpired]])
    expect(worker.runCount).to.equal(1)
  })

  it('stops the runs of an earlier agent incarnation before it accepts tasks', async () => {
    const { timers, worker, runRecorder, executor, order } = await createBench()
    worker.faults.isStalled = true
    executor.submit(order(0))
    await passTime(timers, 20)
    await executor.close()
    const endings: workers.TaskEnding[] = []
    const second = createExecutor(worker, timers, endings)
    second.applyReport(worker.report())
    while (!second.load.isPresent) await passTime(timers, 5)
    expect(worker.runCount).to.equal(0)
    worker.faults.isStalled = false
    second.submit(order(0, { age: new workers.Age(timers) }))
    await passTime(timers, 400)
    expect(runRecorder.concurrentRuns).to.deep.equal([])
    expect(endings.map(({ end }) => end)).to.deep.equal([workers.TaskEnd.Done])
  })

  it('does not report a task as lost while its delayed start may still be carried out', async () => {
    const { timers, worker, runRecorder, executor, endings, order } = await createBench()
    worker.faults.delayedCalls.start = 1
    worker.faults.callDelayMs = 300
    executor.submit(order(0))
    while (endings.length === 0) await passTime(timers, 5)
    for (let passedMs = 0; passedMs < 1_500; passedMs += 5) {
      await passTime(timers, 5)
      expect(worker.runCount).to.equal(0)
    }
    executor.submit(order(0, { attempt: 2 }))
    await passTime(timers, 500)
    expect(runRecorder.concurrentRuns).to.deep.equal([])
    expect(endings.at(-1)?.end).to.equal(workers.TaskEnd.Done)
  })

  it('reports a task as lost within 160 ms of an unanswered start, in time to start it elsewhere', async () => {
    const { timers, worker, executor, endings, order } = await createBench()
    worker.faults.delayedCalls.start = 1
    executor.submit(order(0))
    await passTime(timers, 160)
    expect(endings.map(({ end }) => end)).to.deep.equal([workers.TaskEnd.Lost])
    await passTime(timers, 3_000)
    expect(worker.runCount).to.equal(0)
  })

  it('keeps a run whose start was carried out but whose answer was lost', async () => {
    const { timers, worker, runRecorder, executor, endings, order } = await createBench()
    worker.faults.lostAnswers.start = 1
    executor.submit(order(0))
    await passTime(timers, 600)
    expect(endings.map(({ end }) => end)).to.deep.equal([workers.TaskEnd.Done])
    expect(runRecorder.starts.get('job/0/0')).to.equal(1)
  })

  it('retries a stop that is not acknowledged', async () => {
    const { timers, worker, executor, endings, order } = await createBench()
    executor.submit(order(0))
    await passTime(timers, 20)
    worker.faults.isStalled = true
    worker.faults.delayedCalls.stop = 1
    executor.stop('entry-1', () => true, 'test')
    await passTime(timers, 260)
    expect(worker.runCount).to.equal(0)
    expect(endings.map(({ end }) => end)).to.deep.equal([workers.TaskEnd.Lost])
  })

  // Guards against a run that goes on to its end, under a lease that is renewed, because a worker has lost its first stops.
  it('repeats the stop of a run until the worker acknowledges it', async () => {
    const { timers, endings, order } = await createBench()
    const worker = new standin.StandinWorker({ workerId: 'w-2', total: TOTAL, workOf: () => 10_000, sizeOf: () => TASK_SIZE, timers, runRecorder: new standin.RunRecorder() })
    const executor = createExecutor(worker, timers, endings)
    executor.applyReport(worker.report())
    await passTime(timers, 20)
    executor.submit(order(0))
    await passTime(timers, 50)
    worker.faults.delayedCalls.stop = 2 * workers.DEFAULT_WORKER_OPTIONS.stopAttemptsUntilWarning
    worker.faults.callDelayMs = 60_000
    executor.stop('entry-1', () => true, 'test')
    await passTime(timers, 2_000)
    expect(worker.runCount).to.equal(0)
    expect(endings.map(({ end }) => end)).to.deep.equal([workers.TaskEnd.Lost])
  })

  // Guards against a task that starts elsewhere while its earlier run goes on because the worker has lost the stop.
  it('keeps a task whose earlier run has not ended, until it has', async () => {
    for (const isUnresponsive of [false, true]) {
      const { timers, endings, order } = await createBench()
      const worker = new standin.StandinWorker({ workerId: 'w-2', total: TOTAL, workOf: () => 5_000, sizeOf: () => TASK_SIZE, timers, runRecorder: new standin.RunRecorder() })
      const executor = createExecutor(worker, timers, endings)
      executor.applyReport(worker.report())
      await passTime(timers, 20)
      executor.submit(order(0))
      await passTime(timers, 50)
      worker.faults.delayedCalls.stop = 5
      worker.faults.callDelayMs = 60_000
      worker.faults.isUnresponsive = isUnresponsive
      executor.submit(order(0, { attempt: 2 }))
      await passTime(timers, 2_500)
      expect(endings.map(({ order: { attempt }, end }) => [attempt, end])).to.deep.equal(isUnresponsive ? [[1, workers.TaskEnd.Lost], [2, workers.TaskEnd.NotStarted]] : [[1, workers.TaskEnd.Lost]])
      expect(worker.runCount).to.equal(isUnresponsive ? 0 : 1)
    }
  })

  // Guards against a task that starts elsewhere during the stop of its earlier run, because the waiting order is returned for another reason.
  it('returns no task while its earlier run goes on, whatever the reason', async () => {
    for (const cause of ['owner lease', 'stop']) {
      const timers = new settings.FakeTimers()
      const worker = new standin.StandinWorker({ workerId: 'w-1', total: TOTAL, workOf: () => 1_000, sizeOf: () => TASK_SIZE, stopDurationMs: () => 50, timers, runRecorder: new standin.RunRecorder() })
      const leaseMs = new Map([['entry-1', 1_000], ['entry-2', cause === 'owner lease' ? 100 : 1_000]])
      const returned: number[] = []
      const executor = new workers.RunExecutor({ timers, log: settings.createSilentLog(), driver: worker, ownerLeases: { remainingMs: owner => leaseMs.get(owner) ?? 0 } }, { onEnd: ({ order: { owner } }) => { if (owner === 'entry-2') returned.push(worker.runCount) }, onLoad: () => {}, onCrash: () => {}, onCapacityReserved: () => {} })
      executor.applyReport(worker.report())
      await passTime(timers, 200)
      const task = { jobId: 'job', step: 0, index: 0 }
      const submit = (owner: string): void => { executor.submit({ owner, task, attempt: 1, queue: 'queue', spec: '', size: TASK_SIZE, estimatedMs: 1_000, crashes: 0, observationMs: 0, age: new workers.Age(timers), expiresAfterMs: 2_000 }) }
      submit('entry-1')
      await passTime(timers, 50)
      submit('entry-2')
      if (cause === 'stop') executor.stop('entry-2', () => true, 'test')
      await passTime(timers, 300)
      expect(returned, cause).to.deep.equal([0])
    }
  })

  it('raises a run number that another entry has already used', async () => {
    const { timers, worker, executor, endings, order } = await createBench()
    executor.submit(order(0))
    await passTime(timers, 400)
    executor.submit(order(0, { owner: 'entry-2' }))
    await passTime(timers, 400)
    expect(worker.unacknowledgedCount).to.equal(0)
    expect(endings.map(({ end }) => end)).to.deep.equal([workers.TaskEnd.Done, workers.TaskEnd.Done])
  })

  it('does not run a task twice at a time when another entry orders it again', async () => {
    const { timers, runRecorder, executor, endings, order } = await createBench()
    executor.submit(order(0))
    await passTime(timers, 50)
    executor.submit(order(0, { owner: 'entry-2' }))
    await passTime(timers, 600)
    expect(runRecorder.concurrentRuns).to.deep.equal([])
    expect(endings.filter(({ end }) => end === workers.TaskEnd.Done).map(({ order: { owner } }) => owner)).to.deep.equal(['entry-2'])
  })

  it('reports runs as lost immediately when the worker is down, and after the lease when it is unresponsive', async () => {
    const { timers, worker, executor, endings, order } = await createBench()
    executor.submit(order(0))
    await passTime(timers, 20)
    worker.faults.isDown = true
    worker.faults.isStalled = true
    await passTime(timers, 300)
    expect(endings.map(({ reason }) => reason)).to.deep.equal(['worker is down'])
    worker.restart()
    worker.faults.isDown = false
    executor.applyReport(worker.report())
    await passTime(timers, 50)
    executor.submit(order(1))
    await passTime(timers, 20)
    worker.faults.isUnresponsive = true
    const unresponsiveAtMs = timers.nowMs()
    while (endings.length < 2) await passTime(timers, 20)
    expect(timers.nowMs() - unresponsiveAtMs).to.be.within(workers.DEFAULT_WORKER_OPTIONS.leaseMs, 2 * workers.DEFAULT_WORKER_OPTIONS.leaseMs + 100)
    expect(worker.runCount).to.equal(0)
  })

  it('reports runs as lost only when the next incarnation of the worker does not run them', async () => {
    const timers = new settings.FakeTimers()
    const worker = new standin.StandinWorker({ workerId: 'w-1', total: TOTAL, workOf: () => 5_000, sizeOf: () => TASK_SIZE, timers, runRecorder: new standin.RunRecorder() })
    const runsAtLoss: number[] = []
    const executor = new workers.RunExecutor({ timers, log: settings.createSilentLog(), driver: worker }, { onEnd: () => { runsAtLoss.push(worker.runCount) }, onLoad: () => {}, onCrash: () => {}, onCapacityReserved: () => {} })
    executor.applyReport(worker.report())
    await passTime(timers, 20)
    worker.restart()
    executor.submit({ owner: 'e', task: { jobId: 'job', step: 0, index: 0 }, attempt: 1, queue: 'queue', spec: '', size: TASK_SIZE, estimatedMs: 5_000, crashes: 0, observationMs: 0, age: new workers.Age(timers), expiresAfterMs: 10_000 })
    executor.applyReport(worker.report())
    await passTime(timers, 1_000)
    expect(runsAtLoss).to.deep.equal([0])
  })

  // Guards against a start that reaches the next life of the worker before the agent knows of it, and gets the longest lease there.
  it('reports a run as lost only when it has ended, also if it was started on a life of the worker that the agent did not know', async () => {
    for (const isReported of [false, true]) {
      const { timers, worker, executor, endings, order } = await createBench(0.98)
      await passTime(timers, 5_000)
      worker.restart()
      worker.faults.isStalled = true
      executor.submit(order(0))
      worker.faults.isUnresponsive = true
      expect(worker.runCount).to.equal(1)
      await passTime(timers, 5)
      if (isReported) executor.applyReport(worker.report())
      while (endings.length === 0) await passTime(timers, 5)
      expect(worker.runCount, `reported: ${isReported}`).to.equal(0)
    }
  })

  it('reports runs as lost only after the lease when the worker stops reporting', async () => {
    const { timers, worker, executor, endings, order } = await createBench()
    worker.faults.isStalled = true
    executor.submit(order(0, { expiresAfterMs: 60_000 }))
    await passTime(timers, workers.DEFAULT_WORKER_OPTIONS.reportTimeoutMs + 100)
    expect([endings.length, worker.runCount]).to.deep.equal([0, 1])
    await passTime(timers, workers.DEFAULT_WORKER_OPTIONS.leaseMs + 200)
    expect([endings.length, worker.runCount]).to.deep.equal([1, 0])
  })

  // Guards against a task that runs again beside its next run, since its entry sent the order again on a new link while it waited here.
  it('runs an order once that arrives again while it waits for the end of an earlier run', async () => {
    const { timers, worker, runRecorder, executor, endings, order } = await createBench()
    executor.submit(order(0))
    await passTime(timers, 50)
    worker.faults.delayedCalls.stop = 1
    worker.faults.callDelayMs = 60
    executor.submit(order(0, { attempt: 2 }))
    executor.submit(order(0, { attempt: 2 }))
    await passTime(timers, 2_000)
    expect(endings.map(({ order: { attempt }, end }) => [attempt, end])).to.deep.equal([[1, workers.TaskEnd.Lost], [2, workers.TaskEnd.Done]])
    expect([...runRecorder.starts.values()]).to.deep.equal([2])
  })

  // Guards against an order that was under way while the worker was replaced by one of another kind.
  it('returns a task that requires a label which the worker lacks, and starts it once a worker has the label', async () => {
    const { timers, worker, executor, endings, order } = await createBench()
    const requirement = 'a'
    executor.submit(order(0, { requirement }))
    await passTime(timers, 50)
    expect(endings.map(({ end, reason }) => [end, reason])).to.deep.equal([[workers.TaskEnd.NotStarted, workers.ReturnReason.LabelMissing]])
    executor.applyReport({ ...worker.report(), labels: ['a'] })
    executor.submit(order(1, { requirement }))
    await passTime(timers, 50)
    expect(worker.runCount).to.equal(1)
  })

  it('starts nothing on a draining worker, and ignores a late report of an earlier incarnation', async () => {
    const { timers, worker, executor, endings, order } = await createBench()
    const outdated = worker.report()
    await passTime(timers, 20)
    worker.restart()
    executor.applyReport(worker.report())
    await passTime(timers, 20)
    expect(executor.applyReport(outdated)).to.equal(false)
    executor.applyReport(worker.report(true))
    executor.submit(order(0))
    await passTime(timers, 20)
    expect(endings.map(({ end }) => end)).to.deep.equal([workers.TaskEnd.NotStarted])
    expect(worker.runCount).to.equal(0)
  })

  // Guards against a task that runs beside its next run because a start of an earlier life of its worker is carried out late.
  it('has a late start refused by the next life of the worker under the same id', async () => {
    const { timers, worker, runRecorder, executor, endings, order } = await createBench()
    // The lease of the start is far ahead on the clock of the next life, which starts anew.
    await passTime(timers, 10_000)
    executor.applyReport(worker.report())
    await passTime(timers, 100)
    worker.faults.delayedCalls.start = 1
    worker.faults.callDelayMs = 3_000
    worker.faults.lateCallsOutliveRestarts = true
    executor.submit(order(0))
    await passTime(timers, 500)
    expect(endings.map(({ end }) => end)).to.deep.equal([workers.TaskEnd.Lost])
    worker.restart()
    executor.applyReport(worker.report())
    await passTime(timers, 4_000)
    expect(runRecorder.starts.size).to.equal(0)
    executor.submit(order(1))
    await passTime(timers, 20)
    expect(worker.runCount).to.equal(1)
  })

  // Guards against runs that outlive their lease because a renewal meant for the earlier life, whose clock was ahead, reached the next one.
  it('reports runs of a worker that started again and fell silent as lost only when they have ended there', async () => {
    const { timers, worker, executor, endings, order } = await createBench()
    await passTime(timers, 5_000)
    executor.submit(order(0))
    await passTime(timers, 20)
    worker.restart()
    await passTime(timers, 200)
    executor.applyReport(worker.report())
    await passTime(timers, 200)
    worker.faults.isStalled = true
    executor.submit(order(1))
    await passTime(timers, 600)
    worker.faults.isUnresponsive = true
    for (let waitedMs = 0; endings.length < 2 && waitedMs < 2_000; waitedMs += 5) await passTime(timers, 5)
    expect(endings.map(({ order: { task }, end }) => [task.index, end])).to.deep.equal([[0, workers.TaskEnd.Lost], [1, workers.TaskEnd.Lost]])
    expect(worker.runCount, 'runs when the last one is reported as lost').to.equal(0)
  })

  it('raises its fencing token when the worker has seen a higher one', async () => {
    const { timers, worker, executor, endings, order } = await createBench()
    await worker.stop({ workerId: 'w-1', fencingToken: timers.wallClockMs() + 10_000 }, { task: { jobId: 'other', step: 0, index: 0 }, run: 1 })
    executor.submit(order(0))
    await passTime(timers, 500)
    expect(endings.map(({ end }) => end)).to.deep.equal([workers.TaskEnd.Done])
  })
})
