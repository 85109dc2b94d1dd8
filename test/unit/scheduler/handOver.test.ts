/** Guards against jobs that are refused while other entries could serve them, and against entries that overload each other with jobs handed over. */
import { expect } from 'chai'
import * as scheduler from '@egretvalve/scheduler'
import * as settings from '@egretvalve/settings'

const ARRIVAL: scheduler.RefusedArrival = { ownDelayMs: 80, waitedMs: 20, deadlineMs: 1_500, staysHere: false, isStopping: false }

function createPeer (entryId: string, coresLeft: number, changes: Partial<scheduler.HandOverPeer> = {}): scheduler.HandOverPeer {
  return { entryId, coresLeft, delayMs: 0, silentMs: 0, ...changes }
}

describe('HandOverChoice', () => {
  let timers: settings.FakeTimers
  let choice: scheduler.HandOverChoice
  let seed: number

  beforeEach(() => {
    timers = new settings.FakeTimers()
    seed = 1
    const random = (): number => (seed = (seed * 1_103_515_245 + 12_345) % 2 ** 31) / 2 ** 31
    choice = new scheduler.HandOverChoice({ timers, random })
  })

  function chooseAll (count: number, peers: readonly scheduler.HandOverPeer[], changes: Partial<scheduler.RefusedArrival> = {}): Map<string | undefined, number> {
    const chosen = new Map<string | undefined, number>()
    for (let number = 0; number < count; number++) {
      timers.advance(10)
      const entryId = choice.choose({ ...ARRIVAL, ...changes }, peers)
      chosen.set(entryId, (chosen.get(entryId) ?? 0) + 1)
    }
    return chosen
  }

  it('divides jobs in proportion to the processor time left, and hands over no more than half of that', () => {
    const chosen = chooseAll(1_000, [createPeer('small', 0.2), createPeer('large', 0.6), createPeer('busy', 0)])
    expect(chosen.get('large')! / chosen.get('small')!).to.be.within(2, 4)
    expect(chosen.get('busy')).to.equal(undefined)
    const few = chooseAll(1_000, [createPeer('other', 0.04)])
    // 10 s of 0.02 of a core, at 2 ms a job.
    expect(few.get('other')).to.be.within(90, 105)
  })

  const kept: Array<[string, Partial<scheduler.RefusedArrival>, Partial<scheduler.HandOverPeer>]> = [
    ['was handed over before, or is known', { staysHere: true }, {}],
    ['arrives during a stop', { isStopping: true }, {}],
    ['this entry is too late to pass on', { ownDelayMs: 400 }, {}],
    ['has waited too long', { waitedMs: 1_400 }, {}],
    ['would wait too long at the other entry', {}, { delayMs: 1_400 }],
    ['could only go to an entry without processor time', {}, { coresLeft: 0 }],
    ['could only go to an entry that has fallen silent', {}, { silentMs: 1_000 }]
  ]
  for (const [name, arrival, peer] of kept) {
    it(`hands over no job that ${name}`, () => {
      expect([...chooseAll(50, [createPeer('other', 1, peer)], arrival).keys()]).to.deep.equal([undefined])
    })
  }

  it('hands over fewer jobs the longer this entry is late', () => {
    const chosen = chooseAll(1_000, [createPeer('other', 1)], { ownDelayMs: 250 })
    expect(chosen.get('other')).to.be.within(450, 550)
  })

  it('leaves an entry alone that refuses jobs itself, is not ready or uses nearly all of its cores', () => {
    const idle = { cores: 1, usedCores: 0.1, acceptedShare: 1, isReady: true }
    expect(scheduler.coresLeft(idle)).to.be.closeTo(0.8, 0.01)
    for (const change of [{ acceptedShare: 0.99 }, { isReady: false }, { usedCores: 0.95 }]) expect(scheduler.coresLeft({ ...idle, ...change })).to.equal(0)
  })
})
