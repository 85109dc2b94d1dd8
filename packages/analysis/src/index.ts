/** Analysis of structured logs: which callers were refused, late or failed, and why. */
export * from './analysis.ts'
export * from './causes.ts'
export * from './logLines.ts'
export * from './phases.ts'
export * from './report.ts'
export * from './submissions.ts'
