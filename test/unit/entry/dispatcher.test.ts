import { expect } from 'chai'
import * as protocol from '@egretvalve/protocol'
import * as settings from '@egretvalve/settings'
import { Dispatcher } from '../../../packages/entry/src/dispatch/dispatcher.ts'
import { Job } from '../../../packages/entry/src/jobs/job.ts'
import { AgentSession, OutstandingTasks } from '../../../packages/entry/src/links/agentSession.ts'

const SERVICE = 'rozet-api'
const SLOTS = 8

interface Fixture {
  timers: settings.FakeTimers
  dispatcher: Dispatcher
  granted: Set<number>
  ended: Job[]
  sent: protocol.wire.IEntryToAgent[]
}

type Outbox = ConstructorParameters<typeof AgentSession>[2]

function createFixture (agents: number): Fixture {
  const timers = new settings.FakeTimers()
  const granted = new Set<number>()
  const ended: Job[] = []
  const sent: protocol.wire.IEntryToAgent[] = []
  const dispatcher = new Dispatcher({
    timers,
    log: settings.createSilentLog(),
    failureDomain: 'marmara-a',
    weightOf: () => 1,
    guard: { checkStart: partition => granted.has(partition) ? { epoch: 1, leaseExpiresAtMs: Number.MAX_SAFE_INTEGER } : undefined },
    onJobEnded: job => { ended.push(job) }
  })
  for (let agent = 0; agent < agents; agent++) {
    const outbox = { send: (message: protocol.wire.IEntryToAgent) => sent.push(message) > 0 } as unknown as Outbox
    const load = { service: SERVICE, freeSlots: SLOTS, freeLongSlots: SLOTS, total: { slots: SLOTS } }
    dispatcher.addAgent(new AgentSession({ agentId: `agent-${agent}`, failureDomain: 'marmara-a', load }, new OutstandingTasks(), outbox, () => {}))
  }
  return { timers, dispatcher, granted, ended, sent }
}

function createJob (timers: settings.Timers, submissionId: string, tasks: number, deadlineMs = 10_000): Job {
  const key = { team: 'team-1', submissionId }
  return new Job({ key, service: SERVICE, deadlineAtMs: timers.wallClockMs() + deadlineMs, tasks: Array.from({ length: tasks }, () => ({ declaredRunMs: 100 })) }, timers.nowMs())
}

function startedJobs (sent: readonly protocol.wire.IEntryToAgent[]): Set<string> {
  return new Set(sent.flatMap(message => message.start?.jobs ?? []).map(job => job.key!.submissionId!))
}

describe('Dispatcher', () => {
  before(async () => { await protocol.loadHash() })

  it('parks tasks of a partition without a start grant while others start, and starts them once it is granted', () => {
    const { timers, dispatcher, granted, sent } = createFixture(1)
    const ungrantedJob = createJob(timers, 'held', 2)
    const grantedJob = createJob(timers, 'free', 2, 20_000)
    granted.add(grantedJob.partition)
    expect(ungrantedJob.partition).not.to.equal(grantedJob.partition)
    dispatcher.enqueue(ungrantedJob)
    dispatcher.enqueue(grantedJob)
    timers.advance(100)
    expect([...startedJobs(sent)]).to.deep.equal(['free'])
    expect(dispatcher.waitingCount).to.equal(2)
    granted.add(ungrantedJob.partition)
    timers.advance(100)
    expect([...startedJobs(sent)]).to.deep.equal(['free', 'held'])
    dispatcher.stop()
  })

  it('refuses tasks of a partition without a start grant at their deadline, without starting them', () => {
    const { timers, dispatcher, ended, sent } = createFixture(1)
    const job = createJob(timers, 'held', 3, 500)
    dispatcher.enqueue(job)
    timers.advance(1_000)
    expect(ended).to.deep.equal([job])
    expect(startedJobs(sent).size).to.equal(0)
    dispatcher.stop()
  })

  it('cancels a job with one message to each agent that has outstanding tasks of it', () => {
    const { timers, dispatcher, granted, sent } = createFixture(3)
    const job = createJob(timers, 'wave', 100)
    granted.add(job.partition)
    dispatcher.enqueue(job)
    timers.advance(20)
    sent.length = 0
    dispatcher.cancel(job)
    expect(sent.filter(message => message.cancel != null)).to.have.length(3)
    expect(dispatcher.waitingCount).to.equal(0)
    expect(job.remainingCount).to.equal(3 * SLOTS)
    dispatcher.stop()
  })
})
