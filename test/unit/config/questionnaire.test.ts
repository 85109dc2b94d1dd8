import { readFileSync } from 'node:fs'
import * as chai from 'chai'
import { jestSnapshotPlugin } from 'mocha-chai-jest-snapshot'
import * as config from '@egretvalve/config'

chai.use(jestSnapshotPlugin())
const { expect } = chai

const CONTINUE = 'continue'

/** Answers questions from a script and records the output that an operator would see. */
class ScriptedPrompter implements config.Prompter {
  readonly seen: string[] = []

  constructor (private readonly script: Array<string | boolean>) {}

  async text (prompt: config.TextPrompt): Promise<string> {
    for (;;) {
      const answer = this.next(prompt.message) as string
      const text = answer === '' ? prompt.current : answer
      const validation = prompt.validate(text)
      if (validation === true) return text
      this.seen.push(`! ${validation}`)
    }
  }

  async choose<T extends string> (prompt: config.ChoicePrompt<T>): Promise<T> {
    const answer = this.next(`${prompt.message} [${prompt.choices.map(choice => choice.label).join(' | ')}]`)
    const choice = prompt.choices.find(candidate => candidate.value === answer)
    if (choice === undefined) throw new Error(`${String(answer)} is not a choice of: ${prompt.message}`)
    return choice.value
  }

  async confirm (message: string): Promise<boolean> {
    return this.next(message) as boolean
  }

  show (text: string): void {
    this.seen.push(text)
  }

  get isDone (): boolean {
    return this.script.length === 0
  }

  private next (message: string): string | boolean {
    const answer = this.script.shift()
    if (answer === undefined) throw new Error(`no scripted answer left for: ${message}`)
    this.seen.push(`${message} ${String(answer)}`)
    return answer
  }
}

/** Creates the script whose answers equal the `rozet` example. */
function createScript (): Array<string | boolean> {
  return [
    'rozet', 'Pazaryeri Rozet Teknolojileri', CONTINUE,
    'marmara', 'marmara-a, marmara-b, marmara-c', false, CONTINUE,
    'usual', '20', CONTINUE,
    'rozet-api', '8', '64', '30', '131072', '0', 'announced', '5000', false, CONTINUE,
    'inspection-check', '/badges/check', true, true, '50', '300', true,
    'renewal', '/permits/renew', false, false, '300', '5000', true,
    'issuance', '/badges/issue', false, false, '500', '10000', false, CONTINUE,
    'finish'
  ]
}

describe('questionnaire', () => {
  for (const language of Object.values(config.Language)) {
    it(`gives the example's answers in ${language}`, async () => {
      const prompter = new ScriptedPrompter(createScript())
      const answers = await config.runInterview(prompter, config.createTranslator(language))
      expect(answers).to.deep.equal(config.readExampleAnswers(config.ExampleName.Rozet))
      expect(prompter.isDone).to.equal(true)
      expect(prompter.seen.join('\n')).toMatchSnapshot()
    })
  }

  it('returns to the previous topic with the earlier answers as defaults', async () => {
    const script = createScript()
    script.splice(6, 1, 'back', '', 'Rozet', CONTINUE, '', '', false, CONTINUE)
    const answers = await config.runInterview(new ScriptedPrompter(script), config.createTranslator(config.Language.English))
    expect(answers).to.deep.equal({ ...config.readExampleAnswers(config.ExampleName.Rozet), displayName: 'Rozet' })
  })

  it('changes one topic from the review', async () => {
    const script = [...createScript().slice(0, -1), 'share', 'large', '30', 'finish']
    const answers = await config.runInterview(new ScriptedPrompter(script), config.createTranslator(config.Language.English))
    expect(answers).to.include({ importance: config.Importance.Large, reservedPercent: 30 })
  })

  it('reports the question, the value given and what is valid before it repeats the question', async () => {
    const script = createScript()
    script.unshift('Rozet Ltd')
    const prompter = new ScriptedPrompter(script)
    await config.runInterview(prompter, config.createTranslator(config.Language.Turkish))
    expect(prompter.seen.filter(line => line.startsWith('!'))).to.deep.equal([
      '! team (Ekibin kısa adı): verilen "Rozet Ltd"; beklenen harfle başlayan, 1-63 küçük harf (a-z), rakam ve tireden oluşan bir ad'
    ])
  })

  it('does not offer to finish while two requests have the same path', async () => {
    const script = createScript()
    script.splice(script.indexOf('/permits/renew'), 1, '/badges/check')
    script.splice(-1, 1, 'requests', '', '', true, true, '', '', true, '', '/permits/renew', false, false, '', '', true, '', '', false, false, '', '', false, 'finish')
    const prompter = new ScriptedPrompter(script)
    const answers = await config.runInterview(prompter, config.createTranslator(config.Language.English))
    expect(answers).to.deep.equal(config.readExampleAnswers(config.ExampleName.Rozet))
    expect(prompter.seen.some(line => line.startsWith('services[0].requests: got'))).to.equal(true)
  })

  it('explains a wrong answers file in the operator\'s language', () => {
    const outcome = config.parseAnswersYaml(readFileSync('test/fixtures/answers/wrong.yaml', 'utf8'))
    const translator = config.createTranslator(config.Language.Greek)
    expect((outcome.val as config.ConfigProblem[]).map(problem => config.translateProblem(translator, problem))).toMatchSnapshot()
  })

  it('resolves the language from a locale', () => {
    expect(['el_GR.UTF-8', 'tr', 'de_DE', undefined].map(config.resolveLanguage)).to.deep.equal(['el', 'tr', 'en', 'en'])
  })
})
