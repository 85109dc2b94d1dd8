import { expect } from 'chai'
import * as fastCheck from 'fast-check'
import * as zod from 'zod'
import * as protocol from '@egretvalve/protocol'

const schema = zod.strictObject({
  team: zod.string().min(1),
  class: zod.enum(['pressing', 'ordinary']).optional(),
  tasks: zod.array(zod.strictObject({ body: zod.string() })).max(2)
})

function refusalOf (body: Buffer | string): string {
  const parsed = protocol.parseJson(Buffer.from(body), schema)
  return parsed.ok ? 'accepted' : protocol.describeInputProblem(parsed.val)
}

describe('parseJson', () => {
  it('accepts a body that matches the schema', () => {
    expect(refusalOf('{"team":"a","tasks":[{"body":"\\"tasks\\":"}]}')).to.equal('accepted')
  })

  const refusals: ReadonlyArray<[string, Buffer | string, string]> = [
    ['an empty body', '', 'body: got nothing; expected a JSON object'],
    ['invalid UTF-8', Buffer.from([0x22, 0xc3, 0x22]), 'body: got bytes that are not UTF-8; expected JSON in UTF-8'],
    ['a value of the wrong type', '{"team":7,"tasks":[]}', 'team: got 7; expected a value of type string'],
    ['a missing field', '{"team":"a"}', 'tasks: got nothing; expected a value of type array'],
    ['too many items', '{"team":"a","tasks":[{"body":""},{"body":""},{"body":""}]}', 'tasks: got a list of 3; expected at most 2 items'],
    ['an invalid enum value', '{"team":"a","class":"slow","tasks":[]}', 'class: got "slow"; expected one of pressing, ordinary'],
    ['an unknown field', '{"team":"a","tasks":[{"body":"","runs":3}]}', 'tasks.0.runs: got 3; expected no such field'],
    ['a duplicate key', '{"team":"a","team":"b","tasks":[]}', 'team: got the key more than once in one object; expected each key once'],
    ['a duplicate key written with an escape', '{"team":"a","te\\u0061m":"b","tasks":[]}', 'team: got the key more than once in one object; expected each key once'],
    ['a duplicate key whose first value is an object', '{"team":{"x":1},"team":{}}', 'team: got the key more than once in one object; expected each key once'],
    ['a duplicate key in a nested object', '{"team":"a","tasks":[{"body":"x","body":"y"}]}', 'body: got the key more than once in one object; expected each key once']
  ]
  for (const [name, body, expected] of refusals) {
    it(`rejects ${name}`, () => { expect(refusalOf(body)).to.equal(expected) })
  }

  const DEPTH = 100_000
  const nestings: ReadonlyArray<[string, string]> = [
    ['lists', `{"team":{"a":${'['.repeat(DEPTH)}${']'.repeat(DEPTH)}}}`],
    ['objects', `{"team":${'{"a":'.repeat(DEPTH)}1${'}'.repeat(DEPTH)}}`],
    ['lists without any text', `${'['.repeat(DEPTH)}${']'.repeat(DEPTH)}`],
    ['lists that follow the last text', `{"team":"a","tasks":${'['.repeat(DEPTH)}${']'.repeat(DEPTH)}}`]
  ]
  for (const [name, body] of nestings) {
    it(`rejects 100,000 nested ${name}`, () => { expect(refusalOf(body)).to.equal('body: got more than 64 nested lists and objects; expected at most that many') })
  }

  it('accepts 64 nested lists and objects and braces within texts', () => {
    expect(protocol.parseStrictJson(Buffer.from(`${'['.repeat(63)}{"a":"${'[{'.repeat(DEPTH)}"}${']'.repeat(63)}`)).ok).to.equal(true)
    expect(protocol.parseStrictJson(Buffer.from(`${'['.repeat(64)}{}${']'.repeat(64)}`)).ok).to.equal(false)
  })

  it('rejects a key of 100,000 characters with a bounded description', () => {
    const key = 'k'.repeat(DEPTH)
    expect(refusalOf(`{"team":"a","tasks":[],"${key}":1}`).length).to.be.below(300)
    expect(refusalOf(`{"team":"a","${key}":1,"${key}":2}`).length).to.be.below(300)
  })

  it('reports a body that is not JSON', () => {
    expect(refusalOf('{"team":')).to.match(/^body: got text that is not JSON/)
  })

  it('finds no duplicate key in any value without one', () => {
    fastCheck.assert(fastCheck.property(fastCheck.jsonValue(), value => {
      const parsed = protocol.parseStrictJson(Buffer.from(JSON.stringify(value, undefined, 1)))
      expect(parsed.ok).to.equal(true)
    }), { seed: 7, numRuns: 2000 })
  })

  it('finds a duplicate key at any depth', () => {
    fastCheck.assert(fastCheck.property(fastCheck.jsonValue(), fastCheck.string(), (value, key) => {
      const name = JSON.stringify(key)
      const text = `[${JSON.stringify(value)},{"a":{${name}:1,"b${name.slice(1)}:2,${name}:${JSON.stringify(value)}}}]`
      const parsed = protocol.parseStrictJson(Buffer.from(text))
      expect(parsed.err && parsed.val.field).to.equal(key)
    }), { seed: 7, numRuns: 1000 })
  })
})
