/** Views of backend servers, the choice of servers for tasks, ejection, and subsets of peers. */
export * from './agentView.ts'
export * from './capacity.ts'
export * from './defaults.ts'
export * from './ejection.ts'
export * from './events.ts'
export * from './fleet.ts'
export * from './subset.ts'
