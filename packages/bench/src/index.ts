/** Load plans, traces, measures and baselines. */
export * from './ideal.ts'
export * from './measures.ts'
export * from './percentiles.ts'
export * from './plan.ts'
export * from './profiles.ts'
export * from './promises.ts'
export * from './record.ts'
export * from './trace.ts'
