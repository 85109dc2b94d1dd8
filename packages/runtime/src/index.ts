/** What every process shares: broker, web server, links, graceful stop. */
export * from './addresses.ts'
export * from './broker.ts'
export * from './links.ts'
export * from './outbox.ts'
export * from './shutdown.ts'
export * from './tls.ts'
export * from './tlsSource.ts'
export * from './web.ts'
