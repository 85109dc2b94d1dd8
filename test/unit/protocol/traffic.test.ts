/** Kinds under which messages on links are counted. */
import { expect } from 'chai'
import { LinkTraffic } from '../../../packages/protocol/src/traffic.ts'

describe('LinkTraffic', () => {
  // Guards against reports of slow runs that pass for load reports in measurements and tests.
  it('counts a report as load only if it holds nothing else', () => {
    const traffic = new LinkTraffic()
    const load = { isPresent: true }
    const reports = [{ load }, { load, ends: [], crashes: [] }, { load, slow: [{}] }, { load, ends: [{}] }, { load, crashes: [{}] }, { load, jobs: [{ tasks: [{}, {}] }] }]
    for (const report of reports) traffic.add('agent', { report }, 10)
    traffic.add('agent', { beat: { load } }, 10)
    expect([...traffic.read()].map(([kind, { messages, tasks }]) => [kind, messages, tasks])).to.deep.equal([['agent.load', 2, 0], ['agent.report', 4, 2], ['agent.beat', 1, 0]])
  })
})
