/** Answers to the questionnaire, from which a team's document is generated. */
import * as results from 'ts-results'
import * as yaml from 'yaml'
import * as zod from 'zod'
import * as checks from './checks.ts'

/** Importance of a team when teams compete for a shared fleet. */
export enum Importance {
  Small = 'small',
  Usual = 'usual',
  Large = 'large'
}

/** How a service's backend servers stop. */
export enum Departure {
  /** They announce that they are about to stop. */
  Announced = 'announced',
  /** They may stop without notice. */
  Sudden = 'sudden'
}

const requestAnswersSchema = zod.strictObject({
  name: checks.identifier(),
  path: checks.requestPath(),
  pressing: checks.yesOrNo(),
  mayRunTwice: checks.yesOrNo(),
  usualRunMs: checks.wholeNumber('milliseconds', 1, 600_000),
  answerWithinMs: checks.wholeNumber('milliseconds', 1, 600_000)
}).refine(request => request.answerWithinMs > request.usualRunMs, {
  path: ['answerWithinMs'],
  error: 'a longer time than usualRunMs'
})

const serviceAnswersSchema = zod.strictObject({
  name: checks.identifier(),
  slots: checks.wholeNumber('slots', 1, 1_024),
  connections: checks.wholeNumber('connections', 1, 65_535),
  cores: checks.decimalNumber('cores', 0, 1_024),
  memoryMb: checks.decimalNumber('megabytes', 0, 4_194_304),
  accelerators: checks.wholeNumber('accelerators', 0, 64),
  departure: checks.choice(Departure),
  longestRunMs: checks.wholeNumber('milliseconds', 1, 300_000),
  requests: checks.distinctList(requestAnswersSchema, 64, request => request.path, 'request kinds')
})

const regionAnswersSchema = zod.strictObject({
  name: checks.identifier(),
  failureDomains: checks.distinctList(checks.identifier(), 12, name => name, 'failure domains')
})

/** Schema of the answers to the questionnaire; rejects unknown fields. */
export const answersSchema = zod.strictObject({
  team: checks.identifier(),
  displayName: checks.title(),
  regions: checks.distinctList(regionAnswersSchema, 8, region => region.name, 'regions'),
  importance: checks.choice(Importance),
  reservedPercent: checks.wholeNumber('percent', 0, 90),
  services: checks.distinctList(serviceAnswersSchema, 32, service => service.name, 'services')
})

/** Answers of a team. */
export type Answers = zod.infer<typeof answersSchema>
/** Answers about one service. */
export type ServiceAnswers = Answers['services'][number]
/** Answers about one request kind. */
export type RequestAnswers = ServiceAnswers['requests'][number]

/** Validates answers. Each problem names the question, the value given and what is valid. */
export function parseAnswers (input: unknown): results.Result<Answers, checks.ConfigProblem[]> {
  const outcome = answersSchema.safeParse(input)
  if (outcome.success) return results.Ok(outcome.data)
  return results.Err(checks.describeIssues(outcome.error, input))
}

/** Parses and validates answers in YAML. A text that is not YAML gives one problem for the question `file`. */
export function parseAnswersYaml (text: string): results.Result<Answers, checks.ConfigProblem[]> {
  try {
    return parseAnswers(yaml.parse(text))
  } catch (thrown) {
    const message = thrown instanceof Error ? thrown.message.split('\n')[0] ?? '' : String(thrown)
    return results.Err([{ question: 'file', given: message, expects: 'a YAML file of answers' }])
  }
}

/** Formats answers as YAML that `parseAnswersYaml` accepts. */
export function formatAnswersYaml (answers: Answers): string {
  return yaml.stringify(answers)
}
