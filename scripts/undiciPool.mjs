// Replaces undici in the platform bundle: the connection pool without fetch, caches and WebSockets, which are not used and would add
// to the start-up time.
import * as api from '../node_modules/undici/lib/api/index.js'
import Dispatcher from '../node_modules/undici/lib/dispatcher/dispatcher.js'

Object.assign(Dispatcher.prototype, api.default ?? api)

export { default as Pool } from '../node_modules/undici/lib/dispatcher/pool.js'
