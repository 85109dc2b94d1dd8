/** The platform's store: interface, client and call counts. */
export * from './client/calls.ts'
export * from './client/countingStore.ts'
export * from './client/httpStore.ts'
export * from './failures.ts'
export * from './store.ts'
