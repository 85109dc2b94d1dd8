/** The platform's store: interface, client and lease holding. */
export * from './store.ts'
