/** Flags and environment variables, logs, metrics and timers. */
export * from './instruments.ts'
export * from './kinds.ts'
export * from './log.ts'
export * from './metrics.ts'
export * from './schema.ts'
export * from './timers.ts'
