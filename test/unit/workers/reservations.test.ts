/** Guards against free capacity of a full worker going to less urgent tasks, or staying reserved for an entry that does not use it. */
import { expect } from 'chai'
import * as workers from '@egretvalve/workers'

const TASK: workers.RunSize = { cpuMilli: 3_000, memoryMb: 64, accelerators: 0 }
const FREE: workers.RunSize = { cpuMilli: 6_000, memoryMb: 1_024, accelerators: 0 }

function createDemand (changes: Partial<workers.Demand> = {}): workers.Demand {
  return { rank: 0, latestStartAtMs: 100, size: TASK, count: 1, ...changes }
}

describe('reservations of capacity', () => {
  it('go to the lowest rank, then to the earliest latest start', () => {
    const reservations = new workers.Reservations()
    reservations.updateDemand('late', createDemand({ rank: 256 }), 0)
    reservations.updateDemand('soon', createDemand({ latestStartAtMs: 50 }), 0)
    reservations.updateDemand('later', createDemand({ latestStartAtMs: 80 }), 0)
    expect(reservations.assign(FREE, 0)).to.deep.equal(['soon', 'later'])
    expect(reservations.freeCapacityFor('late', FREE).cpuMilli).to.equal(0)
    expect(reservations.freeCapacityFor('soon', FREE).cpuMilli).to.equal(3_000)
  })

  it('do not exceed the demand of an entry, and are announced once', () => {
    const reservations = new workers.Reservations()
    reservations.updateDemand('entry', createDemand(), 0)
    expect(reservations.assign(FREE, 0)).to.deep.equal(['entry'])
    expect(reservations.assign(FREE, 1)).to.deep.equal([])
    expect(reservations.freeCapacityFor('other', FREE).cpuMilli).to.equal(3_000)
  })

  it('end when the entry orders a task', () => {
    const reservations = new workers.Reservations()
    reservations.updateDemand('entry', createDemand(), 0)
    reservations.assign(FREE, 0)
    reservations.consumeReservation('entry', TASK)
    expect(reservations.freeCapacityFor('other', workers.subtractSize(FREE, TASK)).cpuMilli).to.equal(3_000)
  })

  it('pass to the next entry when the first does not use them in time, and end when demands are no longer repeated', () => {
    const reservations = new workers.Reservations()
    reservations.updateDemand('frozen', createDemand(), 0)
    reservations.updateDemand('live', createDemand({ rank: 1 }), 0)
    expect(reservations.assign(TASK, 0)).to.deep.equal(['frozen'])
    const untilMs = reservations.nextExpiryAtMs!
    expect(reservations.assign(TASK, untilMs - 1)).to.deep.equal([])
    expect(reservations.assign(TASK, untilMs)).to.deep.equal(['live'])
    expect(reservations.assign(TASK, 10_000)).to.deep.equal([])
    expect(reservations.freeCapacityFor('other', TASK)).to.deep.equal(TASK)
  })
})
