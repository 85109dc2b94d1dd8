/** Ownership of partitions, takeover, store outage, and the agents' record of starts. */
export * from './assignment.ts'
export * from './defaults.ts'
export * from './events.ts'
export * from './firstSight.ts'
export * from './ownership.ts'
export * from './startRecord.ts'
export * from './startRecordDefaults.ts'
export * from './transports.ts'
