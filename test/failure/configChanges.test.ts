import { expect } from 'chai'
import * as fc from 'fast-check'
import * as config from '@egretvalve/config'
import * as settings from '@egretvalve/settings'
import * as standin from '@egretvalve/standin'
import { awaitWithTime, advanceTime } from '../support/configFleet.ts'

const TEAM = 'xylotechne'
const base = config.createExampleDocument(config.ExampleName.Xylotechne)

/** An in-memory store with configurable faults, and the repositories of several entries on it. */
class ChangeHarness {
  readonly timers = new settings.FakeTimers()
  readonly store = new standin.MemoryStore(this.timers)
  private changes = 0

  createRepository (entryId: string): config.ConfigRepository {
    return new config.ConfigRepository({ store: this.store, timers: this.timers, log: settings.createSilentLog(), entryId })
  }

  createRequest (weight: number, seenVersion: number): config.ChangeRequest {
    this.changes++
    const document = { ...base, quota: { ...base.quota, weight } }
    return { team: TEAM, changeId: `change-${this.changes}`, seenVersion, document, action: config.AuditAction.Apply, operator: `operator-${weight}` }
  }

  async change (repository: config.ConfigRepository, request: config.ChangeRequest): Promise<config.ChangeOutcome> {
    return await awaitWithTime(this.timers, repository.change(request))
  }

  async readRecord (): Promise<config.TeamRecord> {
    this.store.faults = standin.createNoFaults()
    const stored = await awaitWithTime(this.timers, this.createRepository('reader').read(TEAM))
    return stored.unwrap().record
  }
}

describe('concurrent changes', () => {
  it('accepts one change and reports the differences to the others', async () => {
    const harness = new ChangeHarness()
    await harness.change(harness.createRepository('entry-0'), harness.createRequest(1, 0))
    const requests = [2, 3, 4, 5, 6, 7].map(weight => harness.createRequest(weight, 1))
    const outcomes = await Promise.all(requests.map(async (request, index) => await harness.change(harness.createRepository(`entry-${index}`), request)))
    const kinds = outcomes.map(outcome => outcome.kind).sort()
    expect(kinds).to.deep.equal(['accepted', 'conflict', 'conflict', 'conflict', 'conflict', 'conflict'])
    const record = await harness.readRecord()
    const winner = requests[outcomes.findIndex(outcome => outcome.kind === config.ChangeOutcomeKind.Accepted)]!
    expect(record.version).to.equal(2)
    expect(config.currentDocument(record)).to.deep.equal(winner.document)
    const loser = outcomes.find((outcome): outcome is config.ConflictingChange => outcome.kind === config.ChangeOutcomeKind.Conflict)
    expect(loser?.changedBy).to.equal(winner.operator)
    expect(loser?.differences.map(config.describeDifference)).to.deep.equal([`quota.weight: 1 -> ${winner.document.quota.weight}`])
  })

  it('records a refused change in the audit trail without creating a version', async () => {
    const harness = new ChangeHarness()
    const repository = harness.createRepository('entry-0')
    await harness.change(repository, harness.createRequest(1, 0))
    await harness.change(repository, harness.createRequest(2, 1))
    await harness.change(repository, harness.createRequest(9, 1))
    const record = await harness.readRecord()
    expect(record.version).to.equal(2)
    expect(record.audit.entries.map(entry => [entry.operator, entry.accepted, entry.fromVersion, entry.toVersion])).to.deep.equal([
      ['operator-1', true, 0, 1], ['operator-2', true, 1, 2], ['operator-9', false, 1, 2]
    ])
    expect(config.findAuditBreak(record.audit)).to.equal(undefined)
  })
})

describe('configuration changes with lost store answers', () => {
  it('detects by reading the record that a change with a lost answer took effect', async () => {
    const harness = new ChangeHarness()
    harness.store.faults = { ...harness.store.faults, loseAnswers: true }
    const outcome = await harness.change(harness.createRepository('entry-0'), harness.createRequest(2, 0))
    expect(outcome.kind).to.equal(config.ChangeOutcomeKind.Accepted)
    const record = await harness.readRecord()
    expect(record.version).to.equal(1)
    expect(record.audit.entries).to.have.length(1)
  })

  it('reports an unknown outcome, which a retry with the same change id through another entry settles', async () => {
    const harness = new ChangeHarness()
    await harness.change(harness.createRepository('entry-0'), harness.createRequest(1, 0))
    const request = harness.createRequest(2, 1)
    const write = harness.store.compareAndSwap.bind(harness.store)
    harness.store.compareAndSwap = async (...args) => {
      const isRecord = args[0] === config.teamKey(TEAM)
      harness.store.faults = { ...harness.store.faults, loseAnswers: isRecord }
      const answer = await write(...args)
      harness.store.faults = { ...harness.store.faults, down: isRecord }
      return answer
    }
    const first = await harness.change(harness.createRepository('entry-0'), request)
    expect(first.kind).to.equal(config.ChangeOutcomeKind.Unknown)
    harness.store.compareAndSwap = write
    harness.store.faults = standin.createNoFaults()
    const second = await harness.change(harness.createRepository('entry-1'), request)
    expect(second.kind).to.equal(config.ChangeOutcomeKind.Accepted)
    expect((await harness.readRecord()).version).to.equal(2)
  })

  it('reports unavailable and writes nothing while the store is down', async () => {
    const harness = new ChangeHarness()
    harness.store.faults = { ...harness.store.faults, down: true }
    const outcome = await harness.change(harness.createRepository('entry-0'), harness.createRequest(2, 0))
    expect(outcome.kind).to.equal(config.ChangeOutcomeKind.Unavailable)
    expect((await harness.readRecord()).version).to.equal(0)
  })
})

describe('configuration changes under random faults', () => {
  const faults = fc.record({ down: fc.boolean(), slowMs: fc.constantFrom(0, 30, 400), loseAnswers: fc.boolean() })
  const step = fc.record({ operators: fc.integer({ min: 1, max: 4 }), faults, pauseMs: fc.integer({ min: 0, max: 900 }) })

  it('never lose, duplicate or revert an accepted change', async () => {
    await fc.assert(fc.asyncProperty(fc.array(step, { minLength: 1, maxLength: 6 }), async steps => {
      const harness = new ChangeHarness()
      const accepted = new Map<number, string>()
      const refused = new Set<string>()
      let seenVersion = 0
      let weight = 1
      for (const { operators, faults, pauseMs } of steps) {
        harness.store.faults = faults
        const requests = Array.from({ length: operators }, () => harness.createRequest(++weight, seenVersion))
        const pending = Promise.all(requests.map(async (request, index) => await harness.createRepository(`entry-${index}`).change(request)))
        await advanceTime(harness.timers, pauseMs)
        harness.store.faults = { ...harness.store.faults, down: false }
        const outcomes = await awaitWithTime(harness.timers, pending)
        outcomes.forEach((outcome, index) => {
          const { changeId } = requests[index]!
          if (outcome.kind === config.ChangeOutcomeKind.Accepted) {
            expect(accepted.has(outcome.config.version), 'each version comes from one change').to.equal(false)
            accepted.set(outcome.config.version, changeId)
          } else if (outcome.kind !== config.ChangeOutcomeKind.Unknown) refused.add(changeId)
        })
        seenVersion = (await harness.readRecord()).version
      }
      const record = await harness.readRecord()
      const stored = record.audit.entries.filter(entry => entry.accepted)
      for (const [version, changeId] of accepted) {
        expect(stored.filter(entry => entry.changeId === changeId).map(entry => entry.toVersion)).to.deep.equal([version])
      }
      expect(stored.some(entry => refused.has(entry.changeId)), 'a refused change had no effect').to.equal(false)
      expect(stored.map(entry => entry.toVersion)).to.deep.equal(stored.map((_, index) => index + 1))
      expect(config.findAuditBreak(record.audit)).to.equal(undefined)
    }), { seed: 4, numRuns: 60 })
  })
})
