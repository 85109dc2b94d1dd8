/** Guards against clients that bring down the executable, by memory or descriptors, with requests that they do not finish. */
import { expect } from 'chai'
import * as undici from 'undici'
import { createUnendingRequest, holdConnections, LARGE_CHUNK_BYTES, observeProcess, readMemoryMb } from '../fixtures/clientLoad.ts'
import { TestProcess } from '../fixtures/process.ts'

const MAX_GROWTH_MB = 128
const MAX_OPEN_FILES = 4_096
const OBSERVED_MS = 6_000

describe('egretvalve dev whose clients do not finish their requests', () => {
  let fleet: TestProcess
  let closeLoad: () => void = () => {}

  afterEach(async () => {
    closeLoad()
    await fleet.kill()
  })

  it('stays alive when bodies come in chunks of one byte', async () => {
    await check(6, 200_000, 1)
  })

  it('stays alive when bodies come in large chunks', async () => {
    await check(30, 7_000_000, LARGE_CHUNK_BYTES)
  })

  it('stays alive when bodies come in small chunks on many connections', async () => {
    await check(1_500, 60_000, 600)
  })

  async function check (count: number, sizeBytes: number, chunkBytes: number): Promise<void> {
    fleet = new TestProcess(['dev', '--entries', '1', '--servers', '1'])
    const [address] = await fleet.addresses()
    const limitMb = readMemoryMb(fleet.processId) + MAX_GROWTH_MB
    closeLoad = holdConnections(address!, count, createUnendingRequest('/v1/jobs', 'a', sizeBytes, chunkBytes))
    const use = await observeProcess(fleet.processId, OBSERVED_MS, limitMb)
    expect(use.isAlive, `alive; used ${JSON.stringify(use)}`).to.equal(true)
    expect(use.peakMb).to.be.at.most(limitMb)
    expect(use.peakDescriptors).to.be.at.most(MAX_OPEN_FILES)
    const answer = await undici.request(`http://${address}/healthz`)
    await answer.body.dump()
    expect(answer.statusCode).to.equal(200)
  }
})
