import * as agent from '../../../packages/agent/src/announcement/announcer.ts'
import { expect } from 'chai'
import * as settings from '@egretvalve/settings'

const announcement = { service: 'spares-shop', address: '127.0.0.1:9', slots: 8, connections: 64, cores: 30, memoryMb: 128_000, accelerators: 0, rack: 'rack-1', leaseMs: 3_000 }

describe('Announcer', () => {
  let timers: settings.FakeTimers
  let announcer: agent.Announcer
  let changes: number

  beforeEach(() => {
    timers = new settings.FakeTimers()
    changes = 0
    announcer = new agent.Announcer(timers, settings.createSilentLog(), () => { changes++ })
  })

  it('accepts tasks while the announcement is renewed', () => {
    announcer.renew(announcement)
    timers.advance(2_000)
    announcer.renew(announcement)
    timers.advance(2_000)
    expect(announcer.acceptsTasks).to.equal(true)
    expect(changes).to.equal(1)
  })

  it('accepts no tasks after the lease has expired', () => {
    announcer.renew(announcement)
    timers.advance(3_000)
    expect(announcer.acceptsTasks).to.equal(false)
  })

  it('accepts no tasks while the backend server is leaving', () => {
    announcer.renew(announcement)
    announcer.leave()
    expect(announcer.acceptsTasks).to.equal(false)
    expect(announcer.current?.address).to.equal(announcement.address)
  })

  it('keeps draining for an operator through renewals until the drain is ended', () => {
    announcer.renew(announcement)
    announcer.setDraining(true)
    announcer.renew(announcement)
    expect(announcer.acceptsTasks).to.equal(false)
    announcer.setDraining(false)
    expect(announcer.acceptsTasks).to.equal(true)
  })
})
