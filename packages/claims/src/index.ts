/** Claims on jobs: one entry at a time runs a job. */
export * from './claimTable.ts'
export * from './defaults.ts'
export * from './events.ts'
export * from './jobClaims.ts'
export * from './model.ts'
export * from './registrars.ts'
