/** Guards against an entry that keeps callers whom others could serve, and against all entries sending them away at once. */
import { expect } from 'chai'
import * as scheduler from '@egretvalve/scheduler'
import * as settings from '@egretvalve/settings'

describe('LoadShedding', () => {
  let timers: settings.FakeTimers
  let acceptedShare: number
  let hasRoomElsewhere: boolean
  let changes: boolean[]
  let shedding: scheduler.LoadShedding

  beforeEach(() => {
    timers = new settings.FakeTimers()
    acceptedShare = 1
    hasRoomElsewhere = true
    changes = []
    shedding = new scheduler.LoadShedding({ timers, acceptedShare: () => acceptedShare, hasRoomElsewhere: () => hasRoomElsewhere, random: () => 0.3, onChanged: isShedding => { changes.push(isShedding) } })
  })

  function advance (durationMs: number): void {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 50) timers.advance(50)
  }

  it('sends callers elsewhere after a lasting overload, closes connections once the balancer has reacted, and takes callers again', () => {
    acceptedShare = 0.5
    advance(800)
    expect(shedding.isShedding, 'a short burst').to.equal(false)
    advance(500)
    expect({ isShedding: shedding.isShedding, closes: shedding.closesConnection() }).to.deep.equal({ isShedding: true, closes: false })
    advance(3_000)
    expect(shedding.closesConnection(), 'after the balancer has reacted').to.equal(true)
    acceptedShare = 0.95
    expect(shedding.closesConnection(), 'with hardly any refusals').to.equal(false)
    advance(2_500)
    expect(shedding.isShedding, 'right after the overload').to.equal(true)
    advance(1_000)
    expect(shedding.isShedding).to.equal(false)
    expect(changes).to.deep.equal([true, false])
  })

  it('keeps its callers while no other entry has room, and takes them back when the last one fills up', () => {
    acceptedShare = 0.5
    hasRoomElsewhere = false
    advance(5_000)
    expect(shedding.isShedding).to.equal(false)
    hasRoomElsewhere = true
    advance(200)
    expect(shedding.isShedding).to.equal(true)
    hasRoomElsewhere = false
    advance(200)
    expect(shedding.isShedding).to.equal(false)
  })
})
