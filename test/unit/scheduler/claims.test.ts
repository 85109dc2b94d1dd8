/** Jobs of which one entry at a time may start tasks. */
import { expect } from 'chai'
import * as scheduler from '@egretvalve/scheduler'
import * as settings from '@egretvalve/settings'
import * as workers from '@egretvalve/workers'
import { flushEventLoop, passTime } from '../../support/simulatedTime.ts'

const SIZE: workers.RunSize = { cpuMilli: 3_000, memoryMb: 64, accelerators: 0 }
const TERMS: scheduler.JobTerms = { queue: 'shop.example/spares/', service: 'spares', priority: 0, maxAttempts: 2, targetLatencyMs: 60, slackFactor: 1.6 }
const DEADLINE_MS = 2_000

class FakePort implements scheduler.AgentPort {
  readonly ordered: Array<{ ref: workers.TaskRef, attempt: number }> = []
  readonly stopped: workers.TaskRef[] = []
  /** Time since the last message of the agent. */
  idleMs = 0
  readonly incarnation = 'life'
  readonly failureDomain = 'a'

  constructor (readonly agentId: string) {}

  sinceLastMessageMs (): number {
    return this.idleMs
  }

  sendTask (_job: scheduler.Job, task: scheduler.Task): void {
    this.ordered.push({ ref: task.ref, attempt: task.attempt })
  }

  stop (ref: workers.TaskRef): void {
    this.stopped.push(ref)
  }

  sendDemand (): void {}
}

/** Claims that are granted when the test says so. */
class FakeClaims implements scheduler.ClaimPort {
  readonly claimed: Array<{ jobId: string, validForMs: number }> = []
  readonly released: Array<{ jobId: string, hasSucceeded: boolean }> = []
  isGrantedAtOnce = false

  claim (jobId: string, validForMs: number): boolean {
    this.claimed.push({ jobId, validForMs })
    return this.isGrantedAtOnce
  }

  release (jobId: string, hasSucceeded: boolean): void {
    this.released.push({ jobId, hasSucceeded })
  }
}

function createLoad (): scheduler.ReportedLoad {
  const total = { cpuMilli: 30_000, memoryMb: 100_000, accelerators: 0 }
  return { isPresent: true, isDraining: false, service: 'spares', total, free: total, labels: ['a', 'rack-1'], waiting: 0, hasSuspect: false, runTimeRatio: 0, received: 0 }
}

interface Bench {
  timers: settings.FakeTimers
  scheduler: scheduler.Scheduler
  claims: FakeClaims
  port: FakePort
  submit: (count: number, deadlineMs?: number) => { job: scheduler.Job, outcomes: scheduler.JobOutcome[] }
  end: (ordered: { ref: workers.TaskRef, attempt: number }, end: workers.TaskEnd, port?: FakePort) => void
}

/** A scheduler with one agent. */
function createBench (): Bench {
  const timers = new settings.FakeTimers()
  const claims = new FakeClaims()
  const created = new scheduler.Scheduler({ timers, log: settings.createSilentLog(), claims, random: () => 0.5, failureDomain: 'a' })
  const port = new FakePort('agent-1')
  created.connect(port, createLoad())
  return {
    timers,
    scheduler: created,
    claims,
    port,
    submit: (count, deadlineMs = DEADLINE_MS) => {
      const outcomes: scheduler.JobOutcome[] = []
      const job = created.submit({ jobId: 'job', spec: 'x', steps: [{ count, size: SIZE, estimatedMs: 100, after: [] }] }, TERMS, deadlineMs)
      job.onOutcome(outcome => { outcomes.push(outcome) })
      return { job, outcomes }
    },
    end: (ordered, end, from = port) => { created.handleEnds(from, [{ ...ordered, end, runMs: 100, reason: '' }]) }
  }
}

/** A job of `count` tasks that has been granted and sent. */
async function createRunning (count: number): Promise<Bench & { job: scheduler.Job, outcomes: scheduler.JobOutcome[] }> {
  const bench = createBench()
  const submitted = bench.submit(count)
  bench.scheduler.handleClaimGranted('job')
  await flushEventLoop()
  expect(bench.port.ordered).to.have.length(count)
  return { ...bench, ...submitted }
}

describe('a job and its claim', () => {
  it('starts nothing before the claim is granted', async () => {
    const { timers, scheduler: created, claims, port, submit } = createBench()
    submit(2)
    await passTime(timers, 500)
    expect(port.ordered).to.deep.equal([])
    expect(claims.claimed).to.deep.equal([{ jobId: 'job', validForMs: DEADLINE_MS + scheduler.DEFAULT_SCHEDULER.lostAfterMs }])
    created.handleClaimGranted('job')
    await flushEventLoop()
    expect(port.ordered).to.have.length(2)
  })

  it('starts when the claim is granted at once', async () => {
    const { claims, port, submit } = createBench()
    claims.isGrantedAtOnce = true
    submit(1)
    await flushEventLoop()
    expect(port.ordered).to.have.length(1)
  })

  it('starts nothing when the claim is granted after the deadline or after the caller has left', async () => {
    const { timers, scheduler: created, port, submit } = createBench()
    submit(1, 500)
    await passTime(timers, 600)
    created.handleClaimGranted('job')
    await passTime(timers, 100)
    created.abandon(submit(1).job)
    created.handleClaimGranted('job')
    await passTime(timers, 100)
    expect(port.ordered).to.deep.equal([])
  })

  it('is released with success when the last task is done, and only then', async () => {
    const { claims, port, end } = await createRunning(2)
    end(port.ordered[0]!, workers.TaskEnd.Done)
    expect(claims.released).to.deep.equal([])
    end(port.ordered[1]!, workers.TaskEnd.Done)
    expect(claims.released).to.deep.equal([{ jobId: 'job', hasSucceeded: true }])
  })

  it('is released when the end of each run is known, after its caller has left', async () => {
    const { scheduler: created, claims, port, job, end } = await createRunning(2)
    created.abandon(job)
    end(port.ordered[0]!, workers.TaskEnd.Lost)
    expect(claims.released).to.deep.equal([])
    end(port.ordered[1]!, workers.TaskEnd.NotStarted)
    expect(claims.released).to.deep.equal([{ jobId: 'job', hasSucceeded: false }])
  })

  it('is released at once when a job ends that has not started', async () => {
    const { scheduler: created, claims, submit } = createBench()
    created.abandon(submit(1).job)
    expect(claims.released).to.deep.equal([{ jobId: 'job', hasSucceeded: false }])
  })

  it('is not released between the runs of a task that is returned, fails or is lost', async () => {
    const { claims, port, end } = await createRunning(1)
    const ends = [workers.TaskEnd.NotStarted, workers.TaskEnd.Lost, workers.TaskEnd.NotStarted]
    for (const [round, each] of ends.entries()) {
      end(port.ordered[round]!, each)
      await flushEventLoop()
      expect(port.ordered).to.have.length(round + 2)
    }
    expect(claims.released).to.deep.equal([])
    end(port.ordered.at(-1)!, workers.TaskEnd.Done)
    expect(claims.released).to.deep.equal([{ jobId: 'job', hasSucceeded: true }])
  })

  it('is not released by the end of an earlier attempt while the next one runs', async () => {
    const { scheduler: created, claims, port, job, end } = await createRunning(1)
    end(port.ordered[0]!, workers.TaskEnd.NotStarted)
    await flushEventLoop()
    created.abandon(job)
    end(port.ordered[0]!, workers.TaskEnd.NotStarted)
    expect(claims.released).to.deep.equal([])
    end(port.ordered[1]!, workers.TaskEnd.Lost)
    expect(claims.released).to.deep.equal([{ jobId: 'job', hasSucceeded: false }])
  })

  it('is released when the agent of an ended job is lost, once its runs have certainly ended', async () => {
    const { timers, scheduler: created, claims, port, job } = await createRunning(1)
    created.abandon(job)
    port.idleMs = scheduler.DEFAULT_SCHEDULER.lostAfterMs - 1
    await passTime(timers, 200)
    expect(claims.released).to.deep.equal([])
    port.idleMs = scheduler.DEFAULT_SCHEDULER.lostAfterMs
    await passTime(timers, 200)
    expect(claims.released).to.deep.equal([{ jobId: 'job', hasSucceeded: false }])
  })

  it('stands while the tasks of a lost agent run again elsewhere', async () => {
    const { timers, scheduler: created, claims, port, end } = await createRunning(1)
    const second = new FakePort('agent-2')
    created.connect(second, createLoad())
    created.disconnect(port, 'test')
    port.idleMs = scheduler.DEFAULT_SCHEDULER.lostAfterMs
    await passTime(timers, scheduler.DEFAULT_SCHEDULER.lostAfterMs + 200)
    expect(second.ordered).to.have.length(1)
    expect(claims.released).to.deep.equal([])
    end(second.ordered[0]!, workers.TaskEnd.Done, second)
    expect(claims.released).to.deep.equal([{ jobId: 'job', hasSucceeded: true }])
  })

  it('is not released by the ends of earlier runs once the job has come in again', async () => {
    const { scheduler: created, claims, port, job, submit, end } = await createRunning(2)
    created.abandon(job)
    claims.isGrantedAtOnce = true
    submit(2)
    end(port.ordered[0]!, workers.TaskEnd.Lost)
    end(port.ordered[1]!, workers.TaskEnd.Lost)
    expect(claims.released).to.deep.equal([])
    await flushEventLoop()
    for (const ordered of port.ordered.slice(2)) end(ordered, workers.TaskEnd.Done)
    expect(claims.released).to.deep.equal([{ jobId: 'job', hasSucceeded: true }])
  })

  it('is released with success when a run of an earlier submission ends last', async () => {
    const { scheduler: created, claims, port, job, submit, end } = await createRunning(2)
    created.abandon(job)
    claims.isGrantedAtOnce = true
    submit(1)
    await flushEventLoop()
    expect(port.ordered).to.have.length(3)
    end(port.ordered[2]!, workers.TaskEnd.Done)
    expect(claims.released).to.deep.equal([])
    end(port.ordered[1]!, workers.TaskEnd.Lost)
    expect(claims.released).to.deep.equal([{ jobId: 'job', hasSucceeded: true }])
  })

  it('is never refused as not run while it waits for another entry', async () => {
    const { timers, scheduler: created, submit } = createBench()
    const atDeadline = submit(1, 500)
    created.handleClaimHeld('job')
    await passTime(timers, 600)
    expect(atDeadline.outcomes.map(({ kind }) => kind)).to.deep.equal(['expired'])
    const atStop = submit(1)
    created.handleClaimHeld('job')
    created.refuseUnstarted('stop')
    expect(atStop.outcomes).to.deep.equal([])
    created.abortAll('stop')
    expect(atStop.outcomes.map(({ kind }) => kind)).to.deep.equal(['expired'])
  })

  // Guards against jobs that end in 504, after which their callers wait longer, although nothing of them has started.
  it('is refused as not run when the claim is not answered in useful time, and the claim is released', async () => {
    const { timers, scheduler: created, claims, port, submit } = createBench()
    const { outcomes } = submit(1, 500)
    await passTime(timers, 450)
    const reason = 'no other entry has confirmed in useful time that the job may run here'
    expect(outcomes).to.deep.equal([{ kind: 'refused', reason, retryAfterMs: scheduler.DEFAULT_SCHEDULER.minRetryAfterMs }])
    expect(claims.released).to.deep.equal([{ jobId: 'job', hasSucceeded: false }])
    created.handleClaimGranted('job')
    await passTime(timers, 100)
    expect(port.ordered).to.deep.equal([])
  })

  it('is refused as not run by a stop before the claim is answered', () => {
    const { scheduler: created, submit } = createBench()
    const first = submit(1)
    created.refuseUnstarted('stop')
    expect(first.outcomes.map(({ kind }) => kind)).to.deep.equal(['refused'])
    const second = submit(1)
    created.abortAll('stop')
    expect(second.outcomes.map(({ kind }) => kind)).to.deep.equal(['refused'])
  })

  it('is not refused as not run before the claim is answered while runs of an earlier submission go on here', async () => {
    const { timers, scheduler: created, job, submit } = await createRunning(1)
    created.abandon(job)
    const { outcomes } = submit(1, 500)
    created.refuseUnstarted('stop')
    await passTime(timers, 600)
    expect(outcomes.map(({ kind }) => kind)).to.deep.equal(['expired'])
  })

  it('lets a job be refused as not run once it is granted and nothing has started', () => {
    const { scheduler: created, submit } = createBench()
    const { outcomes } = submit(1)
    created.handleClaimGranted('job')
    created.refuseUnstarted('stop')
    expect(outcomes.map(({ kind }) => kind)).to.deep.equal(['refused'])
  })

  it('ends with success when the job has succeeded elsewhere, and starts nothing', async () => {
    const { timers, scheduler: created, port, submit } = createBench()
    const { outcomes } = submit(1)
    created.handleClaimHeld('job')
    created.handleClaimSucceeded('job', 'entry-2')
    expect(outcomes).to.deep.equal([{ kind: 'succeeded' }])
    created.handleClaimGranted('job')
    await passTime(timers, 100)
    expect(port.ordered).to.deep.equal([])
  })

  it('stops the runs of a job that another entry has got, and is released when they have ended', async () => {
    const { scheduler: created, claims, port, outcomes, end } = await createRunning(2)
    created.handleClaimLost('job', 'entry-2')
    expect(outcomes.map(({ kind }) => kind)).to.deep.equal(['expired'])
    expect(port.stopped).to.deep.equal(port.ordered.map(({ ref }) => ref))
    expect(claims.released).to.deep.equal([])
    for (const ordered of port.ordered) end(ordered, workers.TaskEnd.Lost)
    expect(claims.released).to.deep.equal([{ jobId: 'job', hasSucceeded: false }])
  })
})
