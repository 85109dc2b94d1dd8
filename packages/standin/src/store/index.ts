/** An in-memory stand-in for the platform's key-value service. */
export * from './events.ts'
export * from './faults.ts'
export * from './memoryStore.ts'
export * from './storeServer.ts'
