/** Stand-ins for the platform's store, for backend servers and for a faulty network. */
export * from './backend/index.ts'
export * from './network/index.ts'
export * from './store/index.ts'
export * from './worker/standinWorker.ts'
