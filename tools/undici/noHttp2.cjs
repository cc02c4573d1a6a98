/** Replaces undici's HTTP/2 client. No connection of the program negotiates HTTP/2, and loading the client takes time at each start. */

'use strict'

module.exports = function connectHttp2 () {
  throw new Error('HTTP/2 is not supported by this build')
}
