/** The platform's store: interface, HTTP client and call counts. */
export * from './client/calls.ts'
export * from './client/countingStore.ts'
export * from './client/httpStore.ts'
export * from './failures.ts'
export * from './store.ts'
