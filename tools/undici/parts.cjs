/** The parts of undici that the program uses, under the names that the package gives them. */

'use strict'

exports.Client = require('undici/lib/dispatcher/client.js')
exports.Pool = require('undici/lib/dispatcher/pool.js')
exports.buildConnector = require('undici/lib/core/connect.js')
