/** Jobs at one entry: placement, ends, loss of agents, refusal. */
import { expect } from 'chai'
import * as scheduler from '@egretvalve/scheduler'
import * as settings from '@egretvalve/settings'
import * as workers from '@egretvalve/workers'
import { createBench, createEnd, createJob, createLoad, FakePort, SIZE, TERMS } from '../../support/schedulerBench.ts'
import { passTime, flushEventLoop } from '../../support/simulatedTime.ts'

/** Time in which an entry hears of other crashes of the same moment before it gives up a task. */
const VERDICT_MS = 110
/** Time after the last new worker after which an entry takes its view of the fleet for complete, with one periodic check. */
const COMPLETE_VIEW_MS = 350

describe('jobs at an entry', () => {
  it('ends a job when its last task is done, and only then', async () => {
    const { scheduler: created, submit } = createBench()
    const port = new FakePort('agent-1')
    created.connect(port, createLoad())
    const { outcomes } = submit(createJob('job', 3))
    await flushEventLoop()
    expect(port.ordered).to.have.length(3)
    created.handleEnds(port, port.ordered.slice(0, 2).map(each => createEnd(each, workers.TaskEnd.Done)))
    expect(outcomes).to.deep.equal([])
    created.handleEnds(port, [createEnd(port.ordered[2]!, workers.TaskEnd.Done)])
    expect(outcomes).to.deep.equal([{ kind: 'succeeded' }])
  })

  // Guards against a task that is placed again while it runs: on a new link an agent reports the ends of earlier attempts again.
  it('counts the attempts of a refused job on when it is submitted again', async () => {
    const { scheduler: created, submit } = createBench()
    const port = new FakePort('agent-1')
    created.connect(port, createLoad())
    submit(createJob('job', 1))
    await flushEventLoop()
    const returned = createEnd(port.ordered[0]!, workers.TaskEnd.NotStarted, workers.ReturnReason.NoCapacity)
    created.handleEnds(port, [returned])
    created.refuseUnstarted('test')
    submit(createJob('job', 1))
    await flushEventLoop()
    created.handleEnds(port, [returned])
    await flushEventLoop()
    expect(port.ordered.map(({ attempt }) => attempt)).to.deep.equal([1, 2])
  })

  it('starts a step when all tasks of the steps before it are done', async () => {
    const { scheduler: created, submit } = createBench()
    const port = new FakePort('agent-1')
    created.connect(port, createLoad())
    const step = createJob('job', 1).steps[0]!
    submit({ jobId: 'job', spec: 'x', steps: [step, { ...step, after: [0] }] })
    await flushEventLoop()
    expect(port.ordered.map(({ ref }) => ref.step)).to.deep.equal([0])
    created.handleEnds(port, [createEnd(port.ordered[0]!, workers.TaskEnd.Done)])
    await flushEventLoop()
    expect(port.ordered.map(({ ref }) => ref.step)).to.deep.equal([0, 1])
  })

  it('does not place a task twice when its order crosses the agent\'s list of held tasks', async () => {
    const { timers, scheduler: created, submit } = createBench()
    const port = new FakePort('agent-1')
    created.connect(port, createLoad())
    submit(createJob('job', 1))
    await flushEventLoop()
    created.reconcile(port, [])
    await passTime(timers, 200)
    expect(port.ordered.map(({ attempt }) => attempt)).to.deep.equal([1])
  })

  it('places a task again if the agent did not receive it before its link broke', async () => {
    const { scheduler: created, submit } = createBench()
    const first = new FakePort('agent-1')
    created.connect(first, createLoad())
    submit(createJob('job', 1))
    await flushEventLoop()
    created.disconnect(first, 'test')
    const second = new FakePort('agent-1')
    created.connect(second, createLoad())
    created.reconcile(second, [])
    await flushEventLoop()
    expect(second.ordered.map(({ attempt }) => attempt)).to.deep.equal([2])
  })

  // Guards against runs that go on beside their next runs elsewhere because the stop of their job met a closed link.
  it('stops a run when the link reopens if its job ended while the link was closed', async () => {
    const { scheduler: created, submit } = createBench()
    const first = new FakePort('agent-1')
    created.connect(first, createLoad())
    const { job } = submit(createJob('job', 2))
    await flushEventLoop()
    created.disconnect(first, 'test')
    created.abandon(job)
    const second = new FakePort('agent-1')
    created.connect(second, createLoad())
    created.reconcile(second, first.ordered)
    expect(second.stopped).to.deep.equal(first.ordered.map(({ ref }) => ref))
    expect(created.counters.staleRunsStopped).to.equal(2)
  })

  // Guards against a stop that is written to a link which loses it and then reopens, again and again.
  it('repeats a stop on every link that opens until the end of the run is reported', async () => {
    const { timers, scheduler: created, submit } = createBench()
    const first = new FakePort('agent-1')
    created.connect(first, createLoad())
    const { job } = submit(createJob('job', 1), {}, 1_000)
    await passTime(timers, 1_050)
    expect(job.outcome?.kind).to.equal('expired')
    expect(first.stopped).to.have.length(1)
    const reopened = Array.from({ length: 3 }, () => new FakePort('agent-1'))
    let open = first
    for (const port of reopened) {
      created.disconnect(open, 'test')
      created.connect(port, createLoad())
      created.reconcile(port, first.ordered)
      open = port
    }
    expect(reopened.map(({ stopped }) => stopped.length)).to.deep.equal([1, 1, 1])
    created.handleEnds(open, [createEnd(first.ordered[0]!, workers.TaskEnd.Lost)])
    created.disconnect(open, 'test')
    const last = new FakePort('agent-1')
    created.connect(last, createLoad())
    created.reconcile(last, [])
    await passTime(timers, 1_000)
    expect(last.stopped).to.deep.equal([])
  })

  // Guards against a stop that an agent has received and whose run goes on.
  it('repeats a stop on an open link while the end of the run is not reported', async () => {
    const { timers, scheduler: created, submit } = createBench()
    const port = new FakePort('agent-1')
    created.connect(port, createLoad())
    const { job } = submit(createJob('job', 1))
    await flushEventLoop()
    created.abandon(job)
    await passTime(timers, scheduler.DEFAULT_SCHEDULER.stopRepeatMs + scheduler.DEFAULT_SCHEDULER.tickMs)
    expect(port.stopped).to.have.length(2)
    created.handleEnds(port, [createEnd(port.ordered[0]!, workers.TaskEnd.Lost)])
    await passTime(timers, 1_000)
    expect(port.stopped).to.have.length(2)
  })

  // Guards against a slow run that is never moved because the only order to stop it met a closed link.
  it('stops a slow run that was to move when the link reopens', async () => {
    const { scheduler: created, submit } = createBench()
    const slow = new FakePort('agent-1')
    created.connect(slow, createLoad())
    submit(createJob('job', 1))
    await flushEventLoop()
    created.connect(new FakePort('agent-2'), createLoad())
    created.handleSlowRuns(slow, [{ ref: slow.ordered[0]!.ref, elapsedMs: 1_000, percent: 10, stalledMs: 600 }])
    expect(slow.stopped).to.have.length(1)
    created.disconnect(slow, 'test')
    const reopened = new FakePort('agent-1')
    created.connect(reopened, createLoad())
    created.reconcile(reopened, slow.ordered)
    expect(reopened.stopped).to.have.length(1)
  })

  // Guards against runs that an entry has given up while their agent was away and that the agent still holds.
  it('stops the runs that an agent holds and the entry has no record of, and not those whose order crosses the list', async () => {
    const { scheduler: created, submit } = createBench()
    const port = new FakePort('agent-1')
    created.connect(port, createLoad())
    submit(createJob('job', 1))
    await flushEventLoop()
    const unknown = { ref: { jobId: 'other', step: 0, index: 3 }, attempt: 1 }
    const earlier = { ref: port.ordered[0]!.ref, attempt: 0 }
    created.reconcile(port, [unknown, earlier])
    expect(port.stopped).to.deep.equal([unknown.ref])
    expect(created.counters.staleRunsStopped).to.equal(1)
  })

  // Guards against a task that starts elsewhere while its run of an earlier submission is still being stopped.
  it('orders a task again at the agent that still holds its earlier run if a link has lost the order', async () => {
    const { scheduler: created, submit } = createBench()
    const first = new FakePort('agent-1')
    created.connect(first, createLoad())
    const earlier = submit(createJob('job', 1))
    await flushEventLoop()
    created.abandon(earlier.job)
    submit(createJob('job', 1))
    await flushEventLoop()
    const other = new FakePort('agent-2')
    created.connect(other, createLoad())
    created.disconnect(first, 'test')
    const second = new FakePort('agent-1')
    created.connect(second, createLoad())
    created.reconcile(second, first.ordered.slice(0, 1))
    await flushEventLoop()
    expect(second.ordered.map(({ attempt }) => attempt)).to.deep.equal([2])
    expect(other.ordered).to.deep.equal([])
  })

  // Guards against a task that starts elsewhere beside its run, as the end of a job hid that the agent still holds an earlier attempt.
  it('keeps a task at the agent that holds its earlier run when a link has lost the order of a job that ended', async () => {
    const { scheduler: created, submit } = createBench()
    const first = new FakePort('agent-1')
    created.connect(first, createLoad())
    for (let submission = 1; submission <= 2; submission++) {
      const { job } = submit(createJob('job', 1))
      await flushEventLoop()
      created.abandon(job)
    }
    const other = new FakePort('agent-2')
    created.connect(other, createLoad())
    created.disconnect(first, 'test')
    const second = new FakePort('agent-1')
    created.connect(second, createLoad({ free: workers.NO_SIZE }))
    created.reconcile(second, first.ordered.slice(0, 1))
    submit(createJob('job', 1))
    await flushEventLoop()
    expect(other.ordered).to.deep.equal([])
    created.handleEnds(second, [createEnd(first.ordered[0]!, workers.TaskEnd.Lost)])
    await flushEventLoop()
    expect(other.ordered.map(({ attempt }) => attempt)).to.deep.equal([3])
  })

  // Guards against a task of a resubmitted job that starts elsewhere while the stop of its earlier run is not confirmed.
  it('sends a task of a resubmitted job to no other agent before the stop of its earlier run is confirmed', async () => {
    const { timers, scheduler: created, submit } = createBench()
    const first = new FakePort('agent-1')
    created.connect(first, createLoad())
    const earlier = submit(createJob('job', 2))
    await flushEventLoop()
    const other = new FakePort('agent-2')
    created.connect(other, createLoad())
    created.handleLoad(first, createLoad({ isDraining: true, received: 2 }))
    created.abandon(earlier.job)
    const again = submit(createJob('job', 2))
    await passTime(timers, 200)
    expect(other.ordered).to.deep.equal([])
    created.handleEnds(first, [createEnd(first.ordered[1]!, workers.TaskEnd.Lost)])
    await flushEventLoop()
    expect(other.ordered.map(({ ref }) => ref.index)).to.deep.equal([1])
    created.handleEnds(first, [createEnd(first.ordered[0]!, workers.TaskEnd.Lost)])
    await flushEventLoop()
    created.handleEnds(other, other.ordered.map(each => createEnd(each, workers.TaskEnd.Done)))
    expect(again.outcomes).to.deep.equal([{ kind: 'succeeded' }])
  })

  it('logs with each further attempt of a task how the one before ended', async () => {
    const placed: string[] = []
    const timers = new settings.FakeTimers()
    const created = new scheduler.Scheduler({ timers, log: { event: ({ code }, fields) => { if (code === 11005) placed.push(String(fields?.tasks)) }, close: async () => {} }, random: () => 0.5, failureDomain: 'a' })
    const port = new FakePort('agent-1')
    created.connect(port, createLoad())
    created.submit(createJob('job', 1), TERMS, 2_000)
    await flushEventLoop()
    created.handleEnds(port, [createEnd(port.ordered[0]!, workers.TaskEnd.Lost, 'worker does not list the run')])
    await flushEventLoop()
    expect(placed.map(tasks => /,after=(.*)$/.exec(tasks)?.[1])).to.deep.equal([undefined, 'lost:worker-does-not-list-the-run'])
  })

  it('warns of a job whose caller leaves right after its tasks were sent, and not of other abandoned jobs', async () => {
    const warned: unknown[] = []
    const timers = new settings.FakeTimers()
    const created = new scheduler.Scheduler({ timers, log: { event: ({ code }, fields) => { if (code === 11017) warned.push(fields) }, close: async () => {} }, random: () => 0.5, failureDomain: 'a' })
    created.connect(new FakePort('agent-1'), createLoad())
    const abandonAfter = async (jobId: string, waitMs: number): Promise<void> => {
      const job = created.submit(createJob(jobId, 1), TERMS, 2_000)
      await flushEventLoop()
      await passTime(timers, waitMs)
      created.abandon(job)
    }
    await abandonAfter('late', 10)
    await abandonAfter('young', 300)
    expect(warned).to.deep.equal([{ jobId: 'late', sinceAcceptedMs: 10, agents: 'agent-1', lagMs: 0 }])
    expect(created.counters.lateRequests).to.equal(1)
  })

  it('places the tasks of a lost agent again only after their runs have certainly ended', async () => {
    const { timers, scheduler: created, submit } = createBench()
    const lost = new FakePort('agent-1')
    created.connect(lost, createLoad())
    submit(createJob('job', 1), {}, 10_000)
    await flushEventLoop()
    const other = new FakePort('agent-2')
    created.connect(other, createLoad())
    created.disconnect(lost, 'test')
    await passTime(timers, scheduler.DEFAULT_SCHEDULER.lostAfterMs - 100)
    expect(other.ordered).to.deep.equal([])
    await passTime(timers, 200)
    expect(other.ordered).to.have.length(1)
  })

  it('places the tasks of a restarted agent again once its new incarnation has stopped their runs', async () => {
    const { scheduler: created, submit } = createBench()
    const first = new FakePort('agent-1')
    created.connect(first, createLoad())
    submit(createJob('job', 1))
    await flushEventLoop()
    created.disconnect(first, 'test')
    const second = new FakePort('agent-1', 'life-2')
    created.connect(second, createLoad({ isPresent: false }))
    await flushEventLoop()
    expect(second.ordered).to.deep.equal([])
    created.handleLoad(second, createLoad())
    await flushEventLoop()
    expect(second.ordered.map(({ attempt }) => attempt)).to.deep.equal([2])
  })

  // Load: a quarter of the workers must get nothing more, while their free capacity still shows in their reports.
  it('places tasks outside of evacuated failure domains only, and on these again when they are taken back', async () => {
    const { scheduler: created, submit } = createBench()
    const [evacuated, other] = [new FakePort('agent-1', 'life-1', 'a'), new FakePort('agent-2', 'life-1', 'b')]
    created.connect(evacuated, createLoad())
    created.connect(other, createLoad({ free: SIZE }))
    created.setEvacuatedDomains(['a'])
    submit(createJob('job', 3))
    await flushEventLoop()
    expect([evacuated.ordered.length, other.ordered.length]).to.deep.equal([0, 1])
    expect([evacuated.demands.length, other.demands.length, created.workerCount, created.evacuatedWorkerCount]).to.deep.equal([0, 1, 1, 1])
    created.setEvacuatedDomains([])
    await flushEventLoop()
    expect([evacuated.ordered.length, other.ordered.length]).to.deep.equal([2, 1])
  })

  it('refuses a job that waits for workers of an evacuated failure domain only, and one that arrives, at once', async () => {
    const { timers, scheduler: created, submit } = createBench()
    created.connect(new FakePort('agent-1', 'life-1', 'a'), createLoad({ free: workers.NO_SIZE, labels: ['special'] }))
    created.connect(new FakePort('agent-2', 'life-1', 'b'), createLoad())
    await passTime(timers, COMPLETE_VIEW_MS)
    const waiting = submit(createJob('waiting', 1, { requirement: 'special' }), {}, 9_000)
    created.setEvacuatedDomains(['a'])
    await passTime(timers, 60)
    const arriving = submit(createJob('arriving', 1, { requirement: 'special' }), {}, 9_000)
    expect([...waiting.outcomes, ...arriving.outcomes].map(({ kind }) => kind)).to.deep.equal(['refused', 'refused'])
  })

  // Guards against jobs that wait for their deadline because the check of placement is skipped without any worker.
  it('refuses a waiting job at once when all workers are in evacuated failure domains, but not while the first workers of a new entry connect', async () => {
    const { timers, scheduler: created, submit } = createBench()
    created.setEvacuatedDomains(['a'])
    const early = submit(createJob('early', 1), {}, 9_000)
    created.connect(new FakePort('agent-1', 'life-1', 'a'), createLoad())
    await passTime(timers, 100)
    expect(early.outcomes).to.deep.equal([])
    created.connect(new FakePort('agent-2', 'life-1', 'b'), createLoad({ free: workers.NO_SIZE }))
    await passTime(timers, 1_500)
    const late = submit(createJob('late', 1), {}, 9_000)
    created.setEvacuatedDomains(['a', 'b'])
    await passTime(timers, 60)
    expect(late.outcomes.map(({ kind }) => kind)).to.deep.equal(['refused'])
  })

  it('fails a job when one task has used up its attempts, each on another worker', async () => {
    const { scheduler: created, submit } = createBench()
    const ports = [new FakePort('agent-1'), new FakePort('agent-2')]
    for (const port of ports) created.connect(port, createLoad())
    const { outcomes } = submit(createJob('job', 1))
    await flushEventLoop()
    for (let attempt = 1; attempt <= 2; attempt++) {
      const port = ports.find(each => each.ordered.at(-1)?.attempt === attempt)!
      created.handleEnds(port, [createEnd(port.ordered.at(-1)!, workers.TaskEnd.Failed)])
      await flushEventLoop()
    }
    expect(ports.map(port => port.ordered.length)).to.deep.equal([1, 1])
    expect(outcomes.map(({ kind }) => kind)).to.deep.equal(['failed'])
  })

  it('refuses a job immediately when no worker can run it, but waits for a first worker after the start', async () => {
    const { timers, scheduler: created, submit } = createBench()
    expect(submit(createJob('early', 1)).outcomes, 'waits for the first worker').to.deep.equal([])
    await passTime(timers, 1_600)
    expect(submit(createJob('without workers', 1)).outcomes.map(({ kind }) => kind)).to.deep.equal(['refused'])
    created.connect(new FakePort('agent-1'), createLoad())
    await passTime(timers, COMPLETE_VIEW_MS)
    expect(submit(createJob('large', 1, { size: { ...SIZE, cpuMilli: 31_000 } })).outcomes.map(({ kind }) => kind)).to.deep.equal(['refused'])
    expect(submit(createJob('label', 1, { requirement: 'gpu' })).outcomes.map(({ kind }) => kind)).to.deep.equal(['refused'])
  })

  it('keeps jobs that its first workers can not carry while others are still linking, and refuses them afterwards', async () => {
    const { timers, scheduler: created, submit } = createBench()
    created.connect(new FakePort('agent-1'), createLoad({ free: workers.NO_SIZE }))
    const jobs = Array.from({ length: 20 }, (_, index) => submit(createJob(`job-${index}`, 10, { estimatedMs: 300 })))
    expect(jobs.flatMap(({ outcomes }) => outcomes), 'refused from a sliver of the capacity').to.deep.equal([])
    const ports = Array.from({ length: 20 }, (_, index) => new FakePort(`later-${index}`))
    for (const port of ports) {
      await passTime(timers, 20)
      created.connect(port, createLoad())
    }
    await flushEventLoop()
    expect(ports.reduce((sum, port) => sum + port.ordered.length, 0)).to.equal(200)
    await passTime(timers, COMPLETE_VIEW_MS)
    expect(submit(createJob('after', 10_000, { estimatedMs: 300 })).outcomes.map(({ kind }) => kind)).to.deep.equal(['refused'])
  })

  it('refuses a job whose tasks were all returned unstarted, but not one of which a task may have started', async () => {
    const { timers, scheduler: created, submit } = createBench()
    const port = new FakePort('agent-1')
    created.connect(port, createLoad())
    const returned = submit(createJob('returned', 1), {}, 300)
    await flushEventLoop()
    created.handleLoad(port, createLoad({ isDraining: true, received: 1 }))
    created.handleEnds(port, [createEnd(port.ordered[0]!, workers.TaskEnd.NotStarted)])
    await passTime(timers, 400)
    expect(returned.outcomes.map(({ kind }) => kind)).to.deep.equal(['refused'])
    created.handleLoad(port, createLoad({ received: 1 }))
    const started = submit(createJob('started', 1), {}, 300)
    await passTime(timers, 400)
    expect(started.outcomes.map(({ kind }) => kind)).to.deep.equal(['expired'])
    expect(port.stopped.map(({ jobId }) => jobId)).to.deep.equal(['started'])
  })

  it('shares the outcome of a resubmitted job, and stops the tasks of a cancelled one', async () => {
    const { scheduler: created, submit } = createBench()
    const port = new FakePort('agent-1')
    created.connect(port, createLoad())
    const first = submit(createJob('job', 2))
    const second = submit(createJob('job', 2))
    await flushEventLoop()
    expect(second.job).to.equal(first.job)
    expect(port.ordered).to.have.length(2)
    created.cancel('job')
    expect(port.stopped).to.have.length(2)
    expect(second.outcomes.map(({ kind }) => kind)).to.deep.equal(['cancelled'])
  })

  // Guards against a cancelled job that runs because its submission arrives again.
  it('does not run a resubmission of a job that its caller has cancelled, whatever had become of it', async () => {
    const { timers, scheduler: created, submit } = createBench()
    const port = new FakePort('agent-1')
    created.connect(port, createLoad())
    submit(createJob('open', 1))
    created.abandon(submit(createJob('abandoned', 1)).job)
    submit(createJob('expired', 1), {}, 300)
    const done = submit(createJob('done', 1), {}, 300)
    await flushEventLoop()
    created.handleEnds(port, port.ordered.filter(({ ref }) => ref.jobId === 'done').map(each => createEnd(each, workers.TaskEnd.Done)))
    await passTime(timers, 400)
    for (const jobId of ['open', 'abandoned', 'expired', 'done', 'unknown']) created.cancel(jobId)
    const sentCount = port.ordered.length
    await passTime(timers, 30_000)
    const ids = ['open', 'abandoned', 'expired', 'unknown']
    expect(ids.flatMap(jobId => submit(createJob(jobId, 1)).outcomes.map(({ kind }) => kind))).to.deep.equal(ids.map(() => 'cancelled'))
    await passTime(timers, 500)
    expect(port.ordered).to.have.length(sentCount)
    expect(done.outcomes).to.deep.equal([{ kind: 'succeeded' }])
  })

  it('sends no task of a job whose deadline passed while the VM was suspended', async () => {
    const timers = new settings.FakeTimers()
    let suspendedMs = 0
    const suspendable: settings.Timers = { nowMs: () => timers.nowMs(), wallClockMs: () => timers.wallClockMs() + suspendedMs, after: (delayMs, callback) => timers.after(delayMs, callback), every: (periodMs, callback) => timers.every(periodMs, callback), sleep: async (delayMs, signal) => { await timers.sleep(delayMs, signal) } }
    const created = new scheduler.Scheduler({ timers: suspendable, log: settings.createSilentLog(), random: () => 0.5, failureDomain: 'a' })
    const outcomes: scheduler.JobOutcome[] = []
    created.submit(createJob('job', 1), TERMS, 1_000).onOutcome(outcome => { outcomes.push(outcome) })
    suspendedMs = 5_000
    const port = new FakePort('agent-1')
    created.connect(port, createLoad())
    await passTime(timers, 200)
    expect(port.ordered).to.deep.equal([])
    expect(outcomes.map(({ kind }) => kind)).to.deep.equal(['refused'])
  })

  it('runs a resubmitted job again after its caller\'s connection broke, and ignores late reports of the first submission', async () => {
    const { scheduler: created, submit } = createBench()
    const port = new FakePort('agent-1')
    created.connect(port, createLoad())
    const first = submit(createJob('job', 1))
    await flushEventLoop()
    created.abandon(first.job)
    const second = submit(createJob('job', 1))
    await flushEventLoop()
    expect(port.ordered.map(({ attempt }) => attempt)).to.deep.equal([1, 2])
    created.handleEnds(port, [createEnd(port.ordered[0]!, workers.TaskEnd.Lost)])
    created.handleEnds(port, [createEnd(port.ordered[1]!, workers.TaskEnd.Done)])
    expect(second.outcomes).to.deep.equal([{ kind: 'succeeded' }])
    expect(submit(createJob('job', 1)).outcomes).to.deep.equal([{ kind: 'succeeded' }])
  })

  it('sends no task to an unresponsive agent, and none beyond the free capacity that an agent reported', async () => {
    const { scheduler: created, submit } = createBench()
    const unresponsive = new FakePort('agent-1')
    unresponsive.idleMs = scheduler.DEFAULT_SCHEDULER.suspectAfterMs + 1
    const small = new FakePort('agent-2')
    created.connect(unresponsive, createLoad())
    created.connect(small, createLoad({ free: { cpuMilli: 7_000, memoryMb: 1_000, accelerators: 0 } }))
    submit(createJob('job', 5))
    await flushEventLoop()
    expect(unresponsive.ordered).to.deep.equal([])
    expect(small.ordered).to.have.length(2)
  })

  it('reserves capacity for a large task instead of giving it to later small ones', async () => {
    const { scheduler: created, submit } = createBench()
    const port = new FakePort('agent-1')
    created.connect(port, createLoad({ free: { cpuMilli: 2_000, memoryMb: 1_000, accelerators: 0 } }))
    submit(createJob('large', 1, { size: { ...SIZE, cpuMilli: 4_000 } }))
    submit(createJob('small', 1, { size: { ...SIZE, cpuMilli: 1_000 }, estimatedMs: 500 }))
    await flushEventLoop()
    expect(port.ordered).to.deep.equal([])
  })

  it('moves a stalled run, and one on a slow worker that would end sooner on another', async () => {
    const { scheduler: created, submit } = createBench()
    const slow = new FakePort('agent-1')
    created.connect(slow, createLoad({ runTimeRatio: 6 }))
    submit(createJob('job', 2), {}, 10_000)
    await flushEventLoop()
    const [first, second] = slow.ordered
    created.handleSlowRuns(slow, [{ ref: first!.ref, elapsedMs: 300, percent: 40, stalledMs: 250 }])
    expect(slow.stopped, 'no other worker').to.deep.equal([])
    for (const name of ['agent-2', 'agent-3']) {
      const port = new FakePort(name)
      created.connect(port, createLoad({ runTimeRatio: 1 }))
      created.handleLoad(port, createLoad({ runTimeRatio: 1 }))
    }
    created.handleLoad(slow, createLoad({ runTimeRatio: 6, received: 2 }))
    created.handleSlowRuns(slow, [{ ref: first!.ref, elapsedMs: 300, percent: 40, stalledMs: 250 }, { ref: second!.ref, elapsedMs: 200, percent: 30, stalledMs: 0 }])
    expect(slow.stopped.map(({ index }) => index)).to.deep.equal([first!.ref.index, second!.ref.index])
  })

  it('answers a job at once that is handed in again after another entry gave up one of its tasks', async () => {
    const { timers, scheduler: created, submit } = createBench()
    const port = new FakePort('agent-1')
    created.connect(port, createLoad())
    const lost = { task: { jobId: 'job', step: 0, index: 1 }, queue: TERMS.queue, attempt: 1, earlierCrashes: 0, isObserved: false, runMs: 50 }
    created.handleCrash({ crashId: 'w-1', kind: workers.CrashKind.Down, crashedAtMs: timers.nowMs(), runs: [lost] })
    created.handleCrash({ crashId: 'w-2', kind: workers.CrashKind.Down, crashedAtMs: timers.nowMs(), runs: [{ ...lost, isObserved: true }] })
    await passTime(timers, VERDICT_MS)
    const { outcomes } = submit(createJob('job', 2))
    expect(outcomes).to.deep.equal([{ kind: 'failed', reason: 'task 0.1 given up: 2 workers crashed while they ran it' }])
    await passTime(timers, 100)
    expect(port.ordered).to.deep.equal([])
  })

  it('continues the count of crashes when a job is handed in again after its caller left', async () => {
    const { timers, scheduler: created, submit } = createBench()
    const port = new FakePort('agent-1')
    created.connect(port, createLoad())
    const first = submit(createJob('job', 1))
    await flushEventLoop()
    created.handleCrash({ crashId: 'w-1', kind: workers.CrashKind.Down, crashedAtMs: timers.nowMs(), runs: [{ task: port.ordered[0]!.ref, queue: TERMS.queue, attempt: 1, earlierCrashes: 0, isObserved: false, runMs: 50 }] })
    created.abandon(first.job)
    const second = submit(createJob('job', 1))
    await flushEventLoop()
    expect(port.ordered.at(-1)).to.include({ attempt: 2, crashes: 1 })
    created.handleCrash({ crashId: 'w-2', kind: workers.CrashKind.Replaced, crashedAtMs: timers.nowMs(), runs: [{ task: port.ordered[0]!.ref, queue: TERMS.queue, attempt: 2, earlierCrashes: 1, isObserved: true, runMs: 50 }] })
    await passTime(timers, VERDICT_MS)
    expect(second.outcomes.map(({ kind }) => kind)).to.deep.equal(['failed'])
  })

  it('sends the suspects of a crash to separate workers, one job on each', async () => {
    const { timers, scheduler: created, submit } = createBench()
    const first = new FakePort('agent-1')
    created.connect(first, createLoad())
    for (const jobId of ['job-1', 'job-2', 'job-3']) submit(createJob(jobId, 2))
    await flushEventLoop()
    const others = ['agent-2', 'agent-3', 'agent-4'].map(agentId => new FakePort(agentId))
    for (const port of others) created.connect(port, createLoad())
    created.handleCrash({ crashId: 'w-1', kind: workers.CrashKind.Down, crashedAtMs: timers.nowMs(), runs: first.ordered.map(({ ref, attempt }) => ({ task: ref, queue: TERMS.queue, attempt, earlierCrashes: 0, isObserved: false, runMs: 50 })) })
    created.handleLoad(first, createLoad({ isPresent: false, received: 6 }))
    created.handleEnds(first, first.ordered.map(each => createEnd(each, workers.TaskEnd.Lost, 'worker is down')))
    await flushEventLoop()
    expect(others.map(port => new Set(port.ordered.map(({ ref }) => ref.jobId)).size)).to.deep.equal([1, 1, 1])
    expect(others.flatMap(port => port.ordered)).to.have.length(6)
  })
})
