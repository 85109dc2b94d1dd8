import { expect } from 'chai'
import * as config from '@egretvalve/config'
import * as settings from '@egretvalve/settings'

const DEPTH = 100_000

function createDocument (team: string): config.TeamDocument {
  return { ...config.createExampleDocument(config.ExampleName.Rozet), team }
}

describe('ConfigRegistry.offerDelta', () => {
  const odd: Readonly<Record<string, string>> = {
    'nested 100,000 levels deep': `{"format":1,"displayName":{"a":${'['.repeat(DEPTH)}${']'.repeat(DEPTH)}}}`,
    'with a number too large': '{"format":1e400}',
    'without JSON': '{"format":'
  }
  for (const [name, documentJson] of Object.entries(odd)) {
    it(`takes the other documents of a message when one is ${name}`, () => {
      const registry = new config.ConfigRegistry(settings.createSilentLog())
      const good = config.createDelta([{ team: 'rozet', version: 2, document: createDocument('rozet') }]).teams![0]!
      expect(registry.offerDelta({ teams: [{ team: 'odd', version: 1, documentJson }, good] }, config.ConfigSource.Entry)).to.deep.equal(['rozet'])
    })
  }
})
