import { expect } from 'chai'
import * as uuid from 'uuid'
import { startEntryFleet, urlOf } from '../fixtures/entryFleet.ts'
import * as fleets from '../fixtures/fleet.ts'

const PAUSE_MS = 100

describe('an entry that is the only one disconnected from the store', () => {
  it('forwards submissions to the entries that have taken over its partitions, and owns partitions again after reconnecting', async () => {
    const fleet = await startEntryFleet(3, 2)
    const cut = fleet.entries[0]!
    const answers: Array<Promise<fleets.HttpAnswer<{ kind: string }>>> = []
    fleet.setStoreDisconnected(0, true)
    await fleets.until(async () => {
      answers.push(fleets.submit(urlOf(cut), fleets.createJob({ submissionId: uuid.v7() }), 20_000))
      await new Promise(resolve => { setTimeout(resolve, PAUSE_MS) })
      return cut.ownedPartitionCount === 0
    })
    const kinds = (await Promise.all(answers)).map(answer => answer.value.kind)
    expect(new Set(kinds)).to.deep.equal(new Set(['complete']))
    fleet.setStoreDisconnected(0, false)
    await fleets.until(() => cut.ownedPartitionCount > 0)
    await fleet.stop()
  })
})
