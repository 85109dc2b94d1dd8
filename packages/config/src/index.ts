/** Questionnaire, configuration documents, their versions and how they spread. */
export { describeConfigProblem, type ConfigProblem } from './checks.ts'
export * from './answers.ts'
export * from './document.ts'
export * from './examples.ts'
export * from './generate.ts'
export * from './policy.ts'
