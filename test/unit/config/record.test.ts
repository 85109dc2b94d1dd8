import { expect } from 'chai'
import * as fc from 'fast-check'
import * as config from '@egretvalve/config'
import { appendAudit, createAuditTrail, type AuditEntryContent } from '../../../packages/config/src/audit.ts'
import { acceptChange, createTeamRecord, findAcceptedChange, fitRecord, MAX_AUDIT_ENTRIES, MAX_RECORD_BYTES } from '../../../packages/config/src/record.ts'
import { raiseHead } from '../../../packages/config/src/head.ts'

const document = config.createExampleDocument(config.ExampleName.Rozet)

function createRequest (changeId: string, weight: number, seenVersion: number): config.ChangeRequest {
  const changed = { ...document, quota: { ...document.quota, weight } }
  return { team: 'rozet', changeId, seenVersion, document: changed, action: config.AuditAction.Apply, operator: 'ayşe' }
}

function createAuditContent (changeId: string): AuditEntryContent {
  return {
    changeId,
    operator: 'ayşe',
    atMs: 1,
    entryId: 'entry-1',
    action: config.AuditAction.Apply,
    fromVersion: 0,
    toVersion: 1,
    accepted: true,
    reason: '',
    differences: [],
    omittedDifferences: 0
  }
}

function createTrail (length: number): config.AuditTrail {
  let trail = createAuditTrail()
  for (let index = 0; index < length; index++) trail = appendAudit(trail, createAuditContent(`change-${index}`))
  return trail
}

describe('findAuditBreak', () => {
  it('accepts an intact chain', () => {
    expect(config.findAuditBreak(createTrail(20))).to.equal(undefined)
  })

  it('detects any entry that is missing, altered or moved', () => {
    fc.assert(fc.property(fc.integer({ min: 0, max: 8 }), fc.constantFrom('remove', 'alter', 'swap'), (index, damage) => {
      const trail = createTrail(10)
      const entries = [...trail.entries]
      if (damage === 'remove') entries.splice(index, 1)
      if (damage === 'alter') entries[index] = { ...entries[index]!, operator: 'nobody' }
      if (damage === 'swap') [entries[index], entries[index + 1]] = [entries[index + 1]!, entries[index]!]
      expect(config.findAuditBreak({ ...trail, entries })?.sequence).to.equal(index + 1)
    }), { seed: 4, numRuns: 100 })
  })

  it('detects an entry that was replaced with a valid hash of its own', () => {
    const trail = createTrail(5)
    const forged = appendAudit({ ...trail, entries: trail.entries.slice(0, 2) }, createAuditContent('forged'))
    const entries = [...forged.entries, ...trail.entries.slice(3)]
    expect(config.findAuditBreak({ ...trail, entries })?.sequence).to.equal(4)
  })
})

describe('fitRecord', () => {
  it('archives old audit entries and keeps the chain across the archive', () => {
    let record = createTeamRecord('rozet')
    const archived: config.AuditEntry[] = []
    const changes = MAX_AUDIT_ENTRIES * 2 + 50
    for (let index = 0; index < changes; index++) {
      const fitted = fitRecord(acceptChange(record, createRequest(`change-${index}`, 1 + index % 900, index), { entryId: 'entry-1', atMs: index }))
      archived.push(...fitted.archived)
      expect(Buffer.byteLength(fitted.text)).to.be.at.most(MAX_RECORD_BYTES)
      record = fitted.record
    }
    expect(record.version).to.equal(changes)
    const whole = { ...createAuditTrail(), entries: [...archived, ...record.audit.entries] }
    expect(whole.entries).to.have.length(changes)
    expect(config.findAuditBreak(whole)).to.equal(undefined)
    expect(config.findAuditBreak(record.audit)).to.equal(undefined)
  })

  it('drops old versions when large documents exceed the record limit', () => {
    const kinds = Array.from({ length: 64 }, (_, index) => ({ ...document.services[0]!.requests[0]!, name: `kind-${index}`, path: `/kind/${index}` }))
    const services = Array.from({ length: 32 }, (_, index) => ({ ...document.services[0]!, name: `service-${index}`, requests: kinds }))
    const large = { ...document, services }
    let record = createTeamRecord('rozet')
    for (let index = 0; index < 6; index++) {
      const request = { ...createRequest(`change-${index}`, 1, index), document: { ...large, quota: { ...large.quota, weight: 1 + index } } }
      const fitted = fitRecord(acceptChange(record, request, { entryId: 'entry-1', atMs: index }))
      expect(Buffer.byteLength(fitted.text)).to.be.at.most(MAX_RECORD_BYTES)
      record = fitted.record
    }
    expect(config.currentDocument(record)?.quota.weight).to.equal(6)
    expect(findAcceptedChange(record, 'change-5')).to.not.equal(undefined)
  })
})

describe('raiseHead', () => {
  it('never lowers a bound', () => {
    const head = raiseHead({ versions: { rozet: 7 } }, 'rozet', 3)
    expect(head.versions).to.deep.equal({ rozet: 7 })
  })
})

describe('compareDocuments', () => {
  it('lists the fields that differ, with list elements identified by name', () => {
    const changed = structuredClone(document)
    changed.services[0]!.requests[0]!.deadlineMs = 250
    changed.services[0]!.requests.pop()
    expect(config.compareDocuments(document, changed).map(config.describeDifference).slice(0, 2)).to.deep.equal([
      'services[rozet-api].requests[inspection-check].deadlineMs: 300 -> 250',
      'services[rozet-api].requests[renewal].deadlineMs: 5000 -> (none)'
    ])
  })
})
