/** The limit of tasks of a step on one worker, on every way in which a task gets there. */
import { expect } from 'chai'
import type * as scheduler from '@egretvalve/scheduler'
import * as workers from '@egretvalve/workers'
import { type Bench, createBench, createEnd, createJob, createLoad, FakePort, TERMS } from '../../support/schedulerBench.ts'
import { flushEventLoop } from '../../support/simulatedTime.ts'

/** Crashes the worker of an agent, and reports its runs as lost. */
function crash ({ scheduler: created, timers }: Bench, port: FakePort): void {
  const runs = port.ordered.map(({ ref, attempt }) => ({ task: ref, queue: TERMS.queue, attempt, earlierCrashes: 0, isObserved: false, runMs: 100 }))
  created.handleCrash({ crashId: port.agentId, kind: workers.CrashKind.Down, crashedAtMs: timers.nowMs(), runs })
  created.handleLoad(port, createLoad({ isPresent: false, received: runs.length }))
  created.handleEnds(port, port.ordered.map(each => createEnd(each, workers.TaskEnd.Lost, 'worker is down')))
}

function connectAgents ({ scheduler: created }: Bench, loads: ReadonlyArray<Partial<scheduler.ReportedLoad>>): FakePort[] {
  return loads.map((load, index) => {
    const port = new FakePort(`agent-${index + 1}`)
    created.connect(port, createLoad(load))
    return port
  })
}

describe('the limit of tasks of a step on one worker', () => {
  // Guards against suspects of a crash that all go to the worker chosen for the first of them, beyond the limit of their step.
  it('holds for the suspects of workers that crash together', async () => {
    const bench = createBench()
    const ports = connectAgents(bench, [{}, {}, {}, {}])
    const { outcomes } = bench.submit(createJob('job', 4, { maxPerWorker: 1 }))
    await flushEventLoop()
    expect(ports.map(({ ordered }) => ordered.length)).to.deep.equal([1, 1, 1, 1])
    for (const port of ports.slice(2)) bench.scheduler.handleEnds(port, port.ordered.map(each => createEnd(each, workers.TaskEnd.Done)))
    for (const port of ports.slice(0, 2)) crash(bench, port)
    await flushEventLoop()
    expect(ports.slice(2).map(({ ordered }) => ordered.length), 'one suspect on each').to.deep.equal([2, 2])
    for (const port of ports.slice(2)) bench.scheduler.handleEnds(port, [createEnd(port.ordered[1]!, workers.TaskEnd.Done)])
    expect(outcomes).to.deep.equal([{ kind: 'succeeded' }])
  })

  // Guards against suspects that go to a worker without the label of their step, as it was chosen for a suspect of another one.
  it('leaves the suspects of two steps to workers with the label of each', async () => {
    const bench = createBench()
    const ports = connectAgents(bench, [{ labels: ['a', 'b'] }, { labels: ['a'] }, { labels: ['b'] }])
    const step = createJob('job', 1).steps[0]!
    ports.slice(1).forEach(port => { bench.scheduler.handleLoad(port, createLoad({ isPresent: false })) })
    bench.submit({ jobId: 'job', spec: 'x', steps: [{ ...step, requirement: 'a' }, { ...step, requirement: 'b' }] })
    await flushEventLoop()
    expect(ports[0]!.ordered).to.have.length(2)
    bench.scheduler.handleLoad(ports[1]!, createLoad({ labels: ['a'] }))
    bench.scheduler.handleLoad(ports[2]!, createLoad({ labels: ['b'] }))
    crash(bench, ports[0]!)
    await flushEventLoop()
    expect(ports.slice(1).map(({ ordered }) => ordered.map(({ ref }) => ref.step))).to.deep.equal([[0], [1]])
  })

  // Guards against tasks that wait beside free workers because a task of an earlier step has reached its limit, or has no worker with its label.
  it('holds up no task of another step', async () => {
    const bench = createBench()
    const ports = connectAgents(bench, [{}, { labels: ['b'], isPresent: false }])
    const step = createJob('job', 1).steps[0]!
    bench.submit({ jobId: 'job', spec: 'x', steps: [{ ...step, count: 2, maxPerWorker: 1 }, { ...step, requirement: 'b' }, step] })
    await flushEventLoop()
    expect(ports[0]!.ordered.map(({ ref }) => `${ref.step}.${ref.index}`)).to.deep.equal(['0.0', '2.0'])
  })

  // Guards against a task that starts beside the run of a sibling that is being stopped, since only the tasks of the new submission counted.
  it('counts runs of an earlier submission until their end is known', async () => {
    const bench = createBench()
    const ports = connectAgents(bench, [{}, {}])
    const earlier = bench.submit(createJob('job', 2, { maxPerWorker: 1 }))
    await flushEventLoop()
    const stopping = ports.find(({ ordered }) => ordered[0]!.ref.index === 1)!
    const ended = ports.find(port => port !== stopping)!
    bench.scheduler.abandon(earlier.job)
    bench.scheduler.handleEnds(ended, [createEnd(ended.ordered[0]!, workers.TaskEnd.Lost)])
    bench.scheduler.handleLoad(ended, createLoad({ isPresent: false, received: 1 }))
    const again = bench.submit(createJob('job', 2, { maxPerWorker: 1 }))
    await flushEventLoop()
    expect(stopping.ordered.map(({ ref }) => ref.index), 'only the task whose earlier run is being stopped there').to.deep.equal([1, 1])
    bench.scheduler.handleEnds(stopping, [createEnd(stopping.ordered[1]!, workers.TaskEnd.Done)])
    await flushEventLoop()
    expect(stopping.ordered.map(({ ref }) => ref.index)).to.deep.equal([1, 1, 0])
    bench.scheduler.handleEnds(stopping, [createEnd(stopping.ordered[2]!, workers.TaskEnd.Done)])
    expect(again.outcomes).to.deep.equal([{ kind: 'succeeded' }])
  })

  // Guards against a task that starts beside a sibling of the earlier submission when the order of their ends is the other one.
  it('frees the place of a stopped run for a sibling once its end is known', async () => {
    const bench = createBench()
    const ports = connectAgents(bench, [{}])
    const port = ports[0]!
    const earlier = bench.submit(createJob('job', 2, { maxPerWorker: 1 }))
    await flushEventLoop()
    expect(port.ordered).to.have.length(1)
    bench.scheduler.abandon(earlier.job)
    bench.scheduler.handleEnds(port, [createEnd(port.ordered[0]!, workers.TaskEnd.Lost)])
    bench.submit(createJob('job', 2, { maxPerWorker: 1 }))
    await flushEventLoop()
    expect(port.ordered).to.have.length(2)
  })

  // Guards against a sibling that starts on a worker whose agent is disconnected, or has restarted, while the run there may go on.
  it('counts the run of a disconnected agent until the agent no longer holds it', async () => {
    const bench = createBench()
    const [first] = connectAgents(bench, [{}]) as [FakePort]
    bench.submit(createJob('job', 2, { maxPerWorker: 1 }), {}, 10_000)
    await flushEventLoop()
    bench.scheduler.disconnect(first, 'test')
    const second = new FakePort('agent-1')
    bench.scheduler.connect(second, createLoad())
    await flushEventLoop()
    expect(second.ordered).to.deep.equal([])
    bench.scheduler.reconcile(second, [])
    await flushEventLoop()
    expect(second.ordered).to.have.length(1)
  })

  // Guards against tasks that look as if they waited for free capacity, and against agents that keep capacity free for them.
  it('tells tasks that wait for it from those that wait for free capacity', async () => {
    const bench = createBench()
    const [port] = connectAgents(bench, [{}]) as [FakePort]
    bench.submit(createJob('limited', 3, { maxPerWorker: 1 }))
    await flushEventLoop()
    expect([port.ordered.length, port.demands.length, bench.scheduler.counters.limitedSteps]).to.deep.equal([1, 0, 1])
    bench.submit(createJob('large', 11))
    await flushEventLoop()
    expect([port.ordered.length, port.demands.at(-1)?.count, bench.scheduler.counters.limitedSteps]).to.deep.equal([10, 2, 1])
    expect(bench.logged.filter(({ code }) => code === 11018).map(({ fields }) => fields)).to.deep.equal([{ jobId: 'limited', step: 0, tasks: 2, maxPerWorker: 1, ageMs: 0 }])
  })
})
