// Stands in for undici in the platform's bundle: the connection pool without fetch, caches and web sockets, which cost start-up time.
import * as api from '../node_modules/undici/lib/api/index.js'
import Dispatcher from '../node_modules/undici/lib/dispatcher/dispatcher.js'

Object.assign(Dispatcher.prototype, api.default ?? api)

export { default as Pool } from '../node_modules/undici/lib/dispatcher/pool.js'
