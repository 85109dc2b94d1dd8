/** Guards against a task that is placed again while it runs, since the end of an earlier attempt with the same number is sent again. */
import { expect } from 'chai'
import * as fleet from '@egretvalve/fleet'
import * as protocol from '@egretvalve/protocol'
import * as settings from '@egretvalve/settings'
import * as standin from '@egretvalve/standin'
import type * as workers from '@egretvalve/workers'
import { SimulatedLink } from '../../support/simulatedLink.ts'
import { SimulatedProcess } from '../../support/simulatedProcess.ts'
import { passTime } from '../../support/simulatedTime.ts'

const SIZE: workers.RunSize = { cpuMilli: 1_000, memoryMb: 1, accelerators: 0 }
const ADDRESS = '127.0.0.1:1000'
const { runs } = protocol

/** An agent with links to one entry, which is played by the test. */
function createBench (): { timers: settings.FakeTimers, received: protocol.runs.FromAgent[], order: (size: workers.RunSize) => void, resetLink: () => void, stop: () => Promise<void> } {
  const timers = new settings.FakeTimers()
  const process = new SimulatedProcess()
  const received: protocol.runs.FromAgent[] = []
  const worker = new standin.StandinWorker({ workerId: 'w-1', total: SIZE, workOf: () => 5_000, sizeOf: () => SIZE, timers, runRecorder: new standin.RunRecorder() })
  let link: SimulatedLink<protocol.runs.IFromAgent, protocol.runs.FromAgent, protocol.runs.IFromEntry, protocol.runs.FromEntry>
  const serve = async (): Promise<void> => {
    const { acceptor } = link
    try {
      for await (const message of acceptor) {
        received.push(message)
        if (message.greeting != null) acceptor.write({ greeting: { entryId: 'entry', life: 'entry-life' }, heardAtMs: message.sentAtMs })
        else acceptor.write({ beat: {}, heardAtMs: message.sentAtMs })
      }
    } catch {
      // The test has reset the link.
    }
  }
  const agent = new fleet.AgentNode({ agentId: 'agent', life: 'agent-life', failureDomain: 'a' }, {
    timers,
    log: settings.createSilentLog(),
    driver: worker,
    dialLink: () => {
      link = new SimulatedLink(process, process, protocol.runLink.exchange, timers, () => 1)
      serve()
      return { stream: link.dialer, close: () => { link.dialer.destroy() } }
    }
  })
  agent.executor.applyReport(worker.report())
  agent.updateEntries([{ address: ADDRESS, failureDomain: 'a' }])
  return {
    timers,
    received,
    order: size => { link.acceptor.write({ heardAtMs: timers.nowMs(), orders: { orders: [{ jobId: 'job', step: 0, queue: 'queue', size, estimatedMs: 100, expiresInMs: 10_000, tasks: [{ index: 0, attempt: 1 }] }] } }) },
    resetLink: () => { link.reset() },
    stop: async () => { await agent.stop() }
  }
}

describe('ends that an agent sends again on a new link', () => {
  it('are not those of an attempt that its entry has ordered again under the same number, as for a refused job that is submitted again', async () => {
    const { timers, received, order, resetLink, stop } = createBench()
    await passTime(timers, 100)
    order({ ...SIZE, cpuMilli: 2_000 })
    await passTime(timers, 100)
    expect(received.flatMap(({ report }) => report?.ends ?? []).map(({ kind }) => kind)).to.deep.equal([runs.EndKind.END_KIND_NOT_STARTED])
    order(SIZE)
    await passTime(timers, 100)
    received.length = 0
    resetLink()
    await passTime(timers, 500)
    expect(received.flatMap(({ held }) => held?.runs ?? []).map(({ jobId, attempt }) => [jobId, attempt])).to.deep.equal([['job', 1]])
    expect(received.flatMap(({ report }) => report?.ends ?? [])).to.deep.equal([])
    await stop()
  })
})
