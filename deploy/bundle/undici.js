/**
 * What our programs use of undici, in place of its entry module when they are bundled.
 *
 * The entry module also loads fetch, cookies, web sockets and caches, and what of the runtime
 * those rest on.
 */
import Agent from '../../node_modules/undici/lib/dispatcher/agent.js'
import Client from '../../node_modules/undici/lib/dispatcher/client.js'
import Dispatcher from '../../node_modules/undici/lib/dispatcher/dispatcher.js'
import Pool from '../../node_modules/undici/lib/dispatcher/pool.js'
import api from '../../node_modules/undici/lib/api/index.js'
import errors from '../../node_modules/undici/lib/core/errors.js'

Object.assign(Dispatcher.prototype, api)

export { Agent, Client, Dispatcher, Pool, errors }
