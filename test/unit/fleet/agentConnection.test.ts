/** Guards against stops that overtake orders or are overtaken by them, are lost when the entry closes the link, or cost one message a task. */
import { expect } from 'chai'
import type * as protocol from '@egretvalve/protocol'
import * as runtime from '@egretvalve/runtime'
import * as scheduler from '@egretvalve/scheduler'
import * as settings from '@egretvalve/settings'
import * as workers from '@egretvalve/workers'
import { AgentConnection } from '../../../packages/fleet/src/agentConnection.ts'
import { flushEventLoop } from '../../support/simulatedTime.ts'

const TERMS: scheduler.JobTerms = { queue: 'queue', service: 'spares', priority: 0, maxAttempts: 2, targetLatencyMs: 60, slackFactor: 1.6 }
const SUSPICION: scheduler.Suspicion = { crashes: 0, observationMs: 0, checksWorker: false }

function createConnection (): { connection: AgentConnection, sent: string[], job: scheduler.Job } {
  const sent: string[] = []
  const write = ({ orders, stop }: protocol.runs.IFromEntry): boolean => {
    if (stop != null) sent.push(`stop ${stop.step}: ${stop.indexes!.join()}`)
    for (const { step, tasks } of orders?.orders ?? []) sent.push(`order ${step}: ${tasks!.map(({ index, attempt }) => `${index}#${attempt}`).join()}`)
    return true
  }
  const timers = new settings.FakeTimers()
  const stream = { write, once: () => {}, on: () => {}, end: () => {}, destroy: () => {} } as unknown as runtime.LinkStream<unknown, protocol.runs.IFromEntry>
  const step: scheduler.StepSpec = { count: 680, size: workers.NO_SIZE, estimatedMs: 1, after: [] }
  const job = new scheduler.Job({ jobId: 'job', spec: '', steps: [step, { ...step, count: 2 }] }, TERMS, 1_000, 0, new workers.Age(timers))
  return { connection: new AgentConnection({ agentId: 'agent', life: 'life' }, new runtime.Outbox(stream), timers, () => ({}), () => {}), sent, job }
}

describe('AgentConnection', () => {
  it('sends the stops of a job in one message a step', async () => {
    const { connection, sent, job } = createConnection()
    for (const task of job.tasks.flat()) connection.stop(task.ref)
    await flushEventLoop()
    expect(sent).to.have.length(2)
    expect(sent[1]).to.equal('stop 1: 0,1')
  })

  it('keeps the order of a stop and the next order of the same task', async () => {
    const { connection, sent, job } = createConnection()
    const task = job.tasks[0]![0]!
    task.attempt = 1
    connection.sendTask(job, task, 1_000, SUSPICION)
    connection.stop(task.ref)
    task.attempt = 2
    connection.sendTask(job, task, 1_000, SUSPICION)
    await flushEventLoop()
    expect(sent).to.deep.equal(['order 0: 0#1', 'stop 0: 0', 'order 0: 0#2'])
  })

  it('sends the stops of the same turn before it closes', () => {
    const { connection, sent, job } = createConnection()
    connection.stop(job.tasks[0]![0]!.ref)
    connection.close()
    expect(sent).to.deep.equal(['stop 0: 0'])
  })
})
