/** In place of undici's connections of HTTP/2: no connection of the program offers that protocol, and loading it takes time at each start. */

'use strict'

module.exports = function connectHttp2 () {
  throw new Error('connections of HTTP/2 are not part of this program')
}
