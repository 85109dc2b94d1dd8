/** The questionnaire at the terminal. */
export * from './interview.ts'
export * from './prompter.ts'
export * from './terminal.ts'
export { Topic, type AnswersDraft } from './topics.ts'
export * from './translator.ts'
