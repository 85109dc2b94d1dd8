/** Room of a full worker that several entries want. */
import { expect } from 'chai'
import * as workers from '@egretvalve/workers'

const TASK: workers.RunSize = { cpuMilli: 3_000, memoryMb: 64, accelerators: 0 }
const ROOM: workers.RunSize = { cpuMilli: 6_000, memoryMb: 1_024, accelerators: 0 }

function createDemand (changes: Partial<workers.Demand> = {}): workers.Demand {
  return { rank: 0, latestStartAtMs: 100, size: TASK, count: 1, ...changes }
}

describe('reservations of room', () => {
  it('keep room for the lowest rank, then for the earliest start', () => {
    const reservations = new workers.Reservations()
    reservations.note('late', createDemand({ rank: 256 }), 0)
    reservations.note('soon', createDemand({ latestStartAtMs: 50 }), 0)
    reservations.note('later', createDemand({ latestStartAtMs: 80 }), 0)
    expect(reservations.assign(ROOM, 0)).to.deep.equal(['soon', 'later'])
    expect(reservations.roomFor('late', ROOM).cpuMilli).to.equal(0)
    expect(reservations.roomFor('soon', ROOM).cpuMilli).to.equal(3_000)
  })

  it('keep no more than an entry wants, and tell it once', () => {
    const reservations = new workers.Reservations()
    reservations.note('entry', createDemand(), 0)
    expect(reservations.assign(ROOM, 0)).to.deep.equal(['entry'])
    expect(reservations.assign(ROOM, 1)).to.deep.equal([])
    expect(reservations.roomFor('other', ROOM).cpuMilli).to.equal(3_000)
  })

  it('end with the order that takes the room', () => {
    const reservations = new workers.Reservations()
    reservations.note('entry', createDemand(), 0)
    reservations.assign(ROOM, 0)
    reservations.noteOrder('entry', TASK)
    expect(reservations.roomFor('other', workers.subtractSize(ROOM, TASK)).cpuMilli).to.equal(3_000)
  })

  it('go to the next entry when the first does not use them in time or says nothing any more', () => {
    const reservations = new workers.Reservations()
    reservations.note('frozen', createDemand(), 0)
    reservations.note('live', createDemand({ rank: 1 }), 0)
    expect(reservations.assign(TASK, 0)).to.deep.equal(['frozen'])
    const untilMs = reservations.reservedUntilMs!
    expect(reservations.assign(TASK, untilMs - 1)).to.deep.equal([])
    expect(reservations.assign(TASK, untilMs)).to.deep.equal(['live'])
    expect(reservations.assign(TASK, 10_000)).to.deep.equal([])
    expect(reservations.roomFor('other', TASK)).to.deep.equal(TASK)
  })
})
