/** Limits how many requests a client may send on one connection before it has their responses. */

import type { IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'

/** The part of the HTTP parser of a server connection that receives request heads. It is not in the type definitions of Node.js. */
interface RequestParser {
  onIncoming: (request: IncomingMessage, shouldKeepAlive: boolean) => number
}

/** Return value for the parser: it ignores the rest of the input that it has. */
const STOP_PARSING = 2

/**
 * Stops parsing at the first request that is not accepted. The parser passes on all requests that are in one read, up to some thousand,
 * before the connection can be paused or closed, and an object for each of them stays in memory until then. It is also the
 * only place that sees the requests to which Node.js responds by itself.
 */
export function limitPipelining (socket: Socket, accept: () => boolean): void {
  const { parser } = socket as Socket & { readonly parser?: RequestParser }
  if (parser === undefined) throw new Error('this version of Node.js has no parser at its server connections')
  const receive = parser.onIncoming
  parser.onIncoming = (request, shouldKeepAlive) => accept() ? receive(request, shouldKeepAlive) : STOP_PARSING
}
