/** Messages, identifiers, answers, errors and limits that all processes share. */
export { wire } from './generated/wire.js'
export * from './answers.ts'
export * from './errors.ts'
export * from './ids.ts'
export * from './json.ts'
export * from './limits.ts'
export * from './services.ts'
export * from './traffic.ts'
