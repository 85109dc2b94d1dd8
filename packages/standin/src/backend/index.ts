/** The stand-in backend server. */
export { TaskHeader, createStandinBackend, type StandinBackend } from './backend.ts'
export { backendFaultsSchema, NO_FAULTS, type BackendFaults, type StandinBackendOptions } from './options.ts'
export type { StartCount, TaskIdentity } from './startCounter.ts'
export type { BackendCounters } from './tasks.ts'
