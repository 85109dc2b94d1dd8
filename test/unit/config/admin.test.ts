import * as chai from 'chai'
import { jestSnapshotPlugin } from 'mocha-chai-jest-snapshot'
import * as config from '@egretvalve/config'
import * as protocol from '@egretvalve/protocol'
import * as settings from '@egretvalve/settings'
import * as standin from '@egretvalve/standin'
import * as admin from '../../../packages/entry/src/admin/index.ts'
import { createIdentity } from '../../support/configFleet.ts'

chai.use(jestSnapshotPlugin())
const { expect } = chai

const TEAM = 'rozet'
const principals: admin.Principal[] = [
  { name: 'reader', role: admin.Role.Reader, team: '' },
  { name: 'ayse', role: admin.Role.Operator, team: TEAM },
  { name: 'nikos', role: admin.Role.Operator, team: 'xylotechne' },
  { name: 'root', role: admin.Role.Administrator, team: '' }
]

/** Administration API of an entry, with one token per principal. */
class Api {
  private readonly tokens = new Map<string, string>()
  private readonly handler: admin.AdminHandler

  constructor () {
    const timers = new settings.FakeTimers()
    const log = settings.createSilentLog()
    const identity = createIdentity('entry-0', protocol.wire.NodeKind.NODE_KIND_ENTRY, 'marmara-a')
    const entryConfig = new config.EntryConfig(identity, { store: new standin.MemoryStore(timers), timers, log })
    const grants = principals.map(principal => {
      const created = admin.createToken(principal)
      this.tokens.set(principal.name, created.token)
      return created.grantText
    })
    const access = admin.createAccessControl(admin.parseGrants(grants.join(',')).unwrap())
    this.handler = admin.createAdminHandler(admin.createAdminRoutes(entryConfig), access, log)
  }

  async call (principalName: string, method: string, path: string, body?: unknown): Promise<admin.AdminResponse> {
    const token = this.tokens.get(principalName) ?? principalName
    const authorization = token === '' ? undefined : `Bearer ${token}`
    return await this.handler({ method, path: admin.ADMIN_PREFIX + path, query: new URLSearchParams(), authorization, body })
  }
}

function createBody (seenVersion: number, reservedPercent = 20): object {
  return { seenVersion, changeId: `change-${seenVersion}-${reservedPercent}`, answers: { ...config.readExampleAnswers(config.ExampleName.Rozet), reservedPercent } }
}

describe('administration API', () => {
  it('refuses a request without a known token and gives the reason', async () => {
    const api = new Api()
    expect(await api.call('', 'GET', '/config')).to.deep.include({ statusCode: 401 })
    expect((await api.call('guess', 'GET', '/config')).body).to.include({ message: 'the token is not known to this entry' })
  })

  it('allows readers to read, operators to change their own team and administrators to change every team', async () => {
    const api = new Api()
    const codes = []
    for (const [index, principalName] of ['reader', 'nikos', 'ayse', 'root'].entries()) {
      const seenVersion = Math.max(0, index - 2)
      codes.push((await api.call(principalName, 'POST', `/config/${TEAM}`, createBody(seenVersion, index))).statusCode)
    }
    expect(codes).to.deep.equal([403, 403, 200, 200])
    const refusal = await api.call('nikos', 'POST', `/config/${TEAM}`, createBody(0))
    expect(refusal.body).to.include({ message: 'nikos is operator of team xylotechne; a change of team rozet takes its operator or an administrator' })
    expect((await api.call('reader', 'GET', `/config/${TEAM}`)).body).to.include({ version: 2 })
  })

  it('returns the differences to the operator whose change conflicts', async () => {
    const api = new Api()
    await api.call('root', 'POST', `/config/${TEAM}`, createBody(0))
    await api.call('ayse', 'POST', `/config/${TEAM}`, createBody(1, 30))
    const second = await api.call('root', 'POST', `/config/${TEAM}`, createBody(1, 40))
    expect(second).to.deep.equal({
      statusCode: 409,
      body: { kind: 'conflict', seenVersion: 1, currentVersion: 2, changedBy: 'ayse', differences: [{ path: 'quota.reservedShare', from: '0.2', to: '0.3' }] }
    })
  })

  it('creates a new version for a rollback and records it in the audit trail', async () => {
    const api = new Api()
    await api.call('root', 'POST', `/config/${TEAM}`, createBody(0))
    await api.call('root', 'POST', `/config/${TEAM}`, createBody(1, 30))
    expect((await api.call('ayse', 'POST', `/config/${TEAM}/rollback`, { seenVersion: 2, toVersion: 1 })).body).to.include({ version: 3 })
    expect((await api.call('ayse', 'POST', `/config/${TEAM}/rollback`, { seenVersion: 3, toVersion: 9 })).statusCode).to.equal(422)
    const audit = (await api.call('reader', 'GET', `/config/${TEAM}/audit`)).body as config.AuditTrail & { isWhole: boolean }
    expect(audit.isWhole).to.equal(true)
    expect(audit.entries.map(entry => `${entry.operator} ${entry.action} ${entry.fromVersion} ${entry.toVersion} ${entry.entryId}`)).to.deep.equal(
      ['root apply 0 1 entry-0', 'root apply 1 2 entry-0', 'ayse rollback 2 3 entry-0'])
  })

  it('names each field of a body that is not valid', async () => {
    const response = await new Api().call('root', 'POST', `/config/${TEAM}`, { seenVersion: 'latest' })
    expect(response).toMatchSnapshot()
  })

  it('describes its routes', async () => {
    const description = (await new Api().call('', 'GET', '/openapi.json')).body as { paths: Record<string, object> }
    expect(Object.entries(description.paths).map(([path, methods]) => `${Object.keys(methods).join(',')} ${path}`)).toMatchSnapshot()
  })

  it('does not store tokens and rejects an invalid grant', () => {
    const created = admin.createToken(principals[1]!)
    expect(created.grantText).to.not.include(created.token)
    expect(admin.parseGrant('ayse:operator:abc').err).to.equal(true)
    expect(admin.parseGrant(created.grantText).unwrap().principal).to.deep.equal(principals[1])
  })
})
