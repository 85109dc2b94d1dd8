/** Links between entries and the agents of leased workers, and their discovery of each other. */
export * from './agentNode.ts'
export * from './configCopy.ts'
export * from './defaults.ts'
export * from './entryChoice.ts'
export * from './entryNode.ts'
export * from './events.ts'
export * from './membership.ts'
export * from './entryDiscovery.ts'
