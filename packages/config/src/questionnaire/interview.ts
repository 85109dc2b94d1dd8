/** Flow of the questionnaire: one topic at a time, with steps back and a review at the end. */
import { formatAnswersYaml, parseAnswers, type Answers } from '../answers.ts'
import { FieldAsker } from './fields.ts'
import type { TextKey } from './locales/en.ts'
import type { PromptChoice, Prompter } from './prompter.ts'
import { askTopic, Topic, type AnswersDraft } from './topics.ts'
import { translateProblem, type Translator } from './translator.ts'

enum Step {
  Continue = 'continue',
  Repeat = 'repeat',
  Back = 'back'
}

enum ReviewKind {
  Finished,
  Change
}

type ReviewOutcome = { kind: ReviewKind.Finished, answers: Answers } | { kind: ReviewKind.Change, topic: Topic }

const FINISH = 'finish'
const TOPICS = Object.values(Topic)

/** Asks the questions of all topics, with earlier answers as defaults, until the operator finishes the review with valid answers. */
export async function runInterview (prompter: Prompter, translator: Translator, before: AnswersDraft = {}): Promise<Answers> {
  const asker = new FieldAsker(prompter, translator)
  let draft = before
  let index = 0
  for (;;) {
    const topic = TOPICS[index]
    if (topic === undefined) {
      const answers = await review(asker, draft)
      if (answers.kind === ReviewKind.Finished) return answers.answers
      draft = await askWithTitle(asker, answers.topic, draft)
      continue
    }
    draft = await askWithTitle(asker, topic, draft)
    const step = await askStep(asker, index > 0)
    if (step === Step.Continue) index++
    if (step === Step.Back) index--
  }
}

async function askWithTitle (asker: FieldAsker, topic: Topic, draft: AnswersDraft): Promise<AnswersDraft> {
  asker.prompter.show(`\n${asker.translator.translate(`topic.${topic}`)}`)
  return await askTopic(topic, asker, draft)
}

async function askStep (asker: FieldAsker, hasBack: boolean): Promise<Step> {
  const steps = hasBack ? [Step.Continue, Step.Repeat, Step.Back] : [Step.Continue, Step.Repeat]
  const choices = steps.map(value => ({ value, label: asker.translator.translate(`choice.${value}`) }))
  return await asker.choose('prompt.next', choices, Step.Continue)
}

async function review (asker: FieldAsker, draft: AnswersDraft): Promise<ReviewOutcome> {
  const { prompter, translator } = asker
  prompter.show(`\n${translator.translate('topic.review')}\n${formatAnswersYaml(draft as Answers)}`)
  const parsed = parseAnswers(draft)
  if (parsed.err) for (const problem of parsed.val) prompter.show(translateProblem(translator, problem))
  const changes = TOPICS.map(topic => createChangeChoice(translator, topic))
  const finish = { value: FINISH, label: translator.translate('choice.finish') } as const
  const choices: Array<PromptChoice<Topic | typeof FINISH>> = parsed.ok ? [finish, ...changes] : changes
  const choice = await prompter.choose({ message: translator.translate('prompt.next'), choices, current: undefined })
  if (choice === FINISH && parsed.ok) return { kind: ReviewKind.Finished, answers: parsed.val }
  return { kind: ReviewKind.Change, topic: choice as Topic }
}

function createChangeChoice (translator: Translator, topic: Topic): PromptChoice<Topic> {
  const key: TextKey = `topic.${topic}`
  return { value: topic, label: translator.translate('choice.change', { topic: translator.translate(key) }) }
}
