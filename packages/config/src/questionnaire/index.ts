/** Interactive questionnaire for a team's configuration. */
export * from './interview.ts'
export * from './prompter.ts'
export * from './terminal.ts'
export { Topic, type AnswersDraft } from './topics.ts'
export * from './translator.ts'
