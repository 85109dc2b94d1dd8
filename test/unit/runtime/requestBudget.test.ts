/** Guards against dropping ordinary requests, or those read completely, when clients fill the budget with unfinished ones. */
import { expect } from 'chai'
import * as runtime from '@egretvalve/runtime'

const { Receiving, Idle, Answering } = runtime.HolderState
const NOW_MS = 20_000

function hold (peer: string, state: runtime.HolderState, heldBytes: number, idleMs: number): runtime.Holder {
  return { peer, state, heldBytes, progressAtMs: NOW_MS - idleMs }
}

describe('choice of unfinished requests', () => {
  it('drops the request without progress for longest, of the peer that holds the most', () => {
    const holders = [hold('a', Receiving, 50_000, 9_000), hold('b', Receiving, 40_000, 2_000), hold('b', Receiving, 40_000, 3_000)]
    expect(runtime.chooseDropped(holders, NOW_MS)).to.equal(holders[2])
  })

  it('spares fresh ordinary requests, and requests that were read completely', () => {
    expect(runtime.chooseDropped([hold('a', Receiving, 200_000, 900), hold('a', Answering, 8_000_000, 9_000)], NOW_MS)).to.equal(undefined)
  })

  it('drops a large request that makes progress when nothing else is stale, and an idle connection last', () => {
    const holders = [hold('a', Idle, 16_384, 9_000), hold('a', Receiving, 7_000_000, 10)]
    expect(runtime.chooseDropped(holders, NOW_MS)).to.equal(holders[1])
    expect(runtime.chooseDropped(holders.slice(0, 1), NOW_MS)).to.equal(holders[0])
  })

  it('drops a request sooner while connections of which nothing was read wait for room', () => {
    const holders = [hold('a', Receiving, 60_000, 150), hold('a', Receiving, 60_000, 50)]
    expect(runtime.chooseDropped(holders, NOW_MS)).to.equal(undefined)
    expect(runtime.chooseDropped(holders, NOW_MS, 100)).to.equal(holders[0])
  })

  it('closes unfinished requests before idle connections, and none whose request is being answered or was not polled', () => {
    const holders = [hold('a', Idle, 16_384, 9_000), hold('a', Receiving, 16_384, 100), hold('a', Answering, 16_384, 9_500), hold('a', Receiving, 16_384, 0)]
    expect(runtime.chooseClosed(holders, NOW_MS)).to.equal(holders[1])
    expect(runtime.chooseClosed(holders.slice(2), NOW_MS)).to.equal(undefined)
  })

  it('derives the limits from memory and descriptors', () => {
    expect(runtime.deriveLimits(210 * 1_048_576, 4_100)).to.deep.equal({ maxHeldBytes: 27_525_120, maxConnections: 3_075 })
    expect(runtime.deriveLimits(64e9, 1_000).maxHeldBytes).to.equal(32 * 1_048_576)
  })
})
