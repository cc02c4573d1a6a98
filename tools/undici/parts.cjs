/** The parts of undici that the program uses, under the names that the package gives them. */

'use strict'

const Dispatcher = require('undici/lib/dispatcher/dispatcher.js')

// The package puts the calls on all kinds of connections as it is loaded whole.
Object.assign(Dispatcher.prototype, require('undici/lib/api/index.js'))

exports.Client = require('undici/lib/dispatcher/client.js')
exports.Pool = require('undici/lib/dispatcher/pool.js')
exports.buildConnector = require('undici/lib/core/connect.js')
