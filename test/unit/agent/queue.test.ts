import { expect } from 'chai'
import * as fc from 'fast-check'
import * as protocol from '@egretvalve/protocol'
import * as settings from '@egretvalve/settings'
import { CREDIT_LIFETIME_MS, CreditLedger } from '../../../packages/agent/src/queue/credits.ts'
import { ProtectedSlots } from '../../../packages/agent/src/queue/protectedSlots.ts'
import { computeFreeCapacity } from '../../../packages/agent/src/queue/slots.ts'

const { URGENCY_IDLE, URGENCY_ORDINARY, URGENCY_PRESSING } = protocol.wire.Urgency
const ENTRIES = ['entry-1', 'entry-2', 'entry-3']

interface Fixture {
  timers: settings.FakeTimers
  ledger: CreditLedger<string>
  notified: string[]
  countExpiries: () => number
}

function createFixture (): Fixture {
  const timers = new settings.FakeTimers()
  const notified: string[] = []
  let expiries = 0
  const ledger = new CreditLedger<string>({ timers, onChange: link => { notified.push(link) }, onExpiry: () => { expiries++ } })
  return { timers, ledger, notified, countExpiries: () => expiries }
}

const noReportPending = (): boolean => false

describe('CreditLedger', () => {
  it('grants nothing while no entry has waiting work', () => {
    const { ledger } = createFixture()
    ledger.setUrgency('entry-1', URGENCY_IDLE)
    ledger.distribute(3, noReportPending)
    expect(ledger.outstanding).to.equal(0)
  })

  it('grants freed slots to the entry with the most urgent work', () => {
    const { ledger } = createFixture()
    ledger.setUrgency('entry-1', URGENCY_ORDINARY)
    ledger.setUrgency('entry-2', URGENCY_PRESSING)
    ledger.distribute(2, link => link === 'entry-1')
    expect([ledger.creditsOf('entry-1'), ledger.creditsOf('entry-2')]).to.deep.equal([0, 2])
  })

  it('divides the slots among equally urgent entries, with at most two more for the one with a pending report', () => {
    const { ledger } = createFixture()
    for (const entry of ENTRIES) ledger.setUrgency(entry, URGENCY_PRESSING)
    for (let slot = 0; slot < 300; slot++) ledger.distribute(1, link => link === 'entry-1')
    const credits = ENTRIES.map(entry => ledger.creditsOf(entry))
    expect(Math.max(...credits) - Math.min(...credits)).to.be.at.most(3)
  })

  it('grants an entry that returned its credits no more until it reports its urgency again', () => {
    const { ledger } = createFixture()
    ledger.setUrgency('entry-1', URGENCY_PRESSING)
    ledger.distribute(2, noReportPending)
    ledger.release('entry-1', 2)
    ledger.distribute(2, noReportPending)
    expect(ledger.outstanding).to.equal(0)
    ledger.setUrgency('entry-1', URGENCY_PRESSING)
    ledger.distribute(2, noReportPending)
    expect(ledger.creditsOf('entry-1')).to.equal(2)
  })

  it('frees credits that expire unused and notifies the entry', () => {
    const { ledger, timers, notified, countExpiries } = createFixture()
    ledger.setUrgency('entry-1', URGENCY_ORDINARY)
    ledger.distribute(1, noReportPending)
    timers.advance(CREDIT_LIFETIME_MS)
    expect(ledger.outstanding).to.equal(0)
    expect(countExpiries()).to.equal(1)
    expect(notified).to.deep.equal(['entry-1', 'entry-1'])
  })

  it('never has more credits outstanding than slots', () => {
    const step = fc.record({ link: fc.constantFrom(...ENTRIES), action: fc.constantFrom('urgency', 'use', 'return', 'wait', 'remove'), urgency: fc.integer({ min: 0, max: 3 }) })
    fc.assert(fc.property(fc.array(step, { maxLength: 200 }), steps => {
      const slots = 8
      const { ledger, timers } = createFixture()
      for (const { link, action, urgency } of steps) {
        if (action === 'urgency') ledger.setUrgency(link, urgency)
        if (action === 'use') ledger.consume(link, 1)
        if (action === 'return') ledger.release(link, 1)
        if (action === 'wait') timers.advance(CREDIT_LIFETIME_MS / 3)
        if (action === 'remove') ledger.remove(link)
        ledger.distribute(slots - ledger.outstanding, noReportPending)
        if (ledger.outstanding > slots) return false
      }
      return true
    }), { seed: 17, numRuns: 200 })
  })
})

describe('ProtectedSlots', () => {
  it('lets long tasks use all slots while there is no short work', () => {
    const slots = new ProtectedSlots()
    slots.recordEnd(4_000, 0)
    expect(slots.count(8, 0)).to.equal(0)
  })

  it('protects slots by the share of short work, up to half of them, until that work has decayed', () => {
    const slots = new ProtectedSlots()
    slots.recordEnd(3_000, 0)
    for (let task = 0; task < 10; task++) slots.recordEnd(100, 0)
    expect(slots.count(8, 0)).to.equal(2)
    for (let task = 0; task < 1_000; task++) slots.recordEnd(100, 0)
    expect(slots.count(8, 0)).to.equal(4)
    expect(slots.count(8, 600_000)).to.equal(0)
  })
})

describe('computeFreeCapacity', () => {
  it('subtracts the demand of running and queued tasks, never below zero', () => {
    const total = { slots: 2, connections: 64, cores: 4, memoryMb: 100, accelerators: 1 }
    const free = computeFreeCapacity(total, [{ wanted: { cores: 3, memoryMb: 80 } }, { wanted: { slots: 2, cores: 2, accelerators: 1 } }])
    expect(free).to.deep.equal({ slots: 0, connections: 64, cores: 0, memoryMb: 20, accelerators: 0 })
  })
})
