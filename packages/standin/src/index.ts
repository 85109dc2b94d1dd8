/** Stand-ins for the platform's key-value service, backend servers, workers and a faulty network. */
export * from './backend/index.ts'
export * from './network/index.ts'
export * from './store/index.ts'
export * from './worker/standinWorker.ts'
