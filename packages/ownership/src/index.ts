/** Ownership of partitions, takeover, operation during store outages, and the agents' start records. */
export * from './assignment.ts'
export * from './defaults.ts'
export * from './events.ts'
export * from './freshness.ts'
export * from './ownership.ts'
export * from './startRecord.ts'
export * from './startRecordDefaults.ts'
export * from './transports.ts'
