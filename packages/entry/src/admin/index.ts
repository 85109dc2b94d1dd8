/** The administration API of an entry. */
export * from './access.ts'
export * from './handler.ts'
export * from './messages.ts'
export * from './openapi.ts'
export * from './routes.ts'
export * from './webRoutes.ts'
