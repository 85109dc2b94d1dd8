import { readFileSync } from 'node:fs'
import * as chai from 'chai'
import * as fc from 'fast-check'
import { jestSnapshotPlugin } from 'mocha-chai-jest-snapshot'
import * as config from '@egretvalve/config'

chai.use(jestSnapshotPlugin())
const { expect } = chai

function problemsOf (input: unknown): string[] {
  const outcome = config.parseAnswers(input)
  expect(outcome.err).to.equal(true)
  return (outcome.val as config.ConfigProblem[]).map(config.describeConfigProblem)
}

describe('example answers', () => {
  for (const name of Object.values(config.ExampleName)) {
    it(`${name} is embedded with the same text as its file`, () => {
      expect(config.readExampleText(name)).to.equal(readFileSync(`packages/config/examples/${name}.yaml`, 'utf8'))
    })

    it(`${name} generates a valid document`, () => {
      const document = config.createExampleDocument(name)
      expect(config.parseDocument(document).ok).to.equal(true)
      expect(document).toMatchSnapshot()
    })
  }

  it('declare reservations, renewals and issuances as not repeatable', () => {
    const shop = config.createExampleDocument(config.ExampleName.Xylotechne)
    const badges = config.createExampleDocument(config.ExampleName.Rozet)
    expect(config.findRequestKind(shop, 'spares-shop', '/parts/reserve')?.repeatable).to.equal(false)
    expect(config.findRequestKind(badges, 'rozet-api', '/permits/renew')?.repeatable).to.equal(false)
    expect(config.findRequestKind(badges, 'rozet-api', '/badges/issue')?.repeatable).to.equal(false)
  })
})

describe('parseAnswers', () => {
  it('names the question, what was given and what is right', () => {
    const outcome = config.parseAnswersYaml(readFileSync('test/fixtures/answers/wrong.yaml', 'utf8'))
    expect((outcome.val as config.ConfigProblem[]).map(config.describeConfigProblem)).toMatchSnapshot()
  })

  it('reports a question without an answer', () => {
    const { displayName, ...rest } = config.readExampleAnswers(config.ExampleName.Rozet)
    expect(problemsOf(rest)).to.deep.equal(['displayName: got nothing; expected a text of 1 to 120 characters'])
  })

  it('rejects a deadline shorter than the usual run time', () => {
    const answers = config.readExampleAnswers(config.ExampleName.Rozet)
    answers.services[0]!.requests[0]!.answerWithinMs = 10
    expect(problemsOf(answers)[0]).to.match(/^services\[0\]\.requests\[0\]\.answerWithinMs: got 10;/)
  })

  it('rejects text that is not YAML', () => {
    const outcome = config.parseAnswersYaml('team: [')
    expect((outcome.val as config.ConfigProblem[])[0]?.question).to.equal('file')
  })
})

describe('generateDocument', () => {
  it('does not depend on the order of the answers', () => {
    const answers = config.readExampleAnswers(config.ExampleName.Xylotechne)
    const expected = JSON.stringify(config.generateDocument(answers))
    const requests = answers.services[0]!.requests
    fc.assert(fc.property(fc.shuffledSubarray(requests, { minLength: requests.length }), shuffled => {
      const reordered = { ...answers, services: [{ ...answers.services[0]!, requests: shuffled }] }
      expect(JSON.stringify(config.generateDocument(reordered))).to.equal(expected)
    }), { seed: 4, numRuns: 50 })
  })

  it('keeps the answers equal in a round trip through YAML', () => {
    const answers = config.readExampleAnswers(config.ExampleName.Rozet)
    expect(config.parseAnswersYaml(config.formatAnswersYaml(answers)).unwrap()).to.deep.equal(answers)
  })
})
