// Stands in for undici in the platform's bundle: the connection pool without fetch, caches and web sockets, which cost start-up time.
export { default as Pool } from '../node_modules/undici/lib/dispatcher/pool.js'
