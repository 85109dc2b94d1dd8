/** Stand-ins for the store, for backend servers and for a faulty network. */
export * from './store/index.ts'
