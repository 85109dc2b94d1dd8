/** Stand-ins for backend servers, for a faulty network and for the platform's store. */
export * from './backend/index.ts'
export * from './network/index.ts'
