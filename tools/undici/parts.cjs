/** Exports the parts of undici that the program uses, under the names that the package gives them. */

'use strict'

const Dispatcher = require('undici/lib/dispatcher/dispatcher.js')

// The main module of undici adds these methods to all dispatchers. It is not loaded here, so they are added in the same way.
Object.assign(Dispatcher.prototype, require('undici/lib/api/index.js'))

exports.Client = require('undici/lib/dispatcher/client.js')
exports.Pool = require('undici/lib/dispatcher/pool.js')
exports.buildConnector = require('undici/lib/core/connect.js')
