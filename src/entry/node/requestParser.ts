/**
 * Limits on what the HTTP parser of a server connection passes on. The parser handles all requests and chunks that are in one
 * read, up to some thousand, before the connection can be paused or closed, and each of them costs an object or a call. Node.js
 * has no documented way to stop it; its callbacks are the only place that sees the requests to which Node.js responds by itself.
 */

import type { IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'

/** Index of a callback of the parser. */
const ON_BODY = 3
/** Return value for the parser: it ignores the rest of the input that it has. */
const STOP_PARSING = 2

interface RequestParser {
  /** Receives the head of each request. */
  onIncoming: (request: IncomingMessage, shouldKeepAlive: boolean) => number
  /** Receives each part of a body. */
  [ON_BODY]: unknown
}

function parserOf (socket: Socket): RequestParser | undefined {
  return (socket as Socket & { readonly parser?: RequestParser }).parser
}

/** Asks `accept` for each request of a connection, and stops parsing at the first one that it does not accept. */
export function limitRequests (socket: Socket, accept: () => boolean): void {
  const parser = parserOf(socket)
  if (parser === undefined) throw new Error('this version of Node.js has no parser at its server connections')
  const receive = parser.onIncoming
  parser.onIncoming = (request, shouldKeepAlive) => accept() ? receive(request, shouldKeepAlive) : STOP_PARSING
}

/** Ignores the rest of the input of a connection, which the caller then closes. */
export function stopParsing (socket: Socket): void {
  const parser = parserOf(socket)
  if (parser === undefined) return
  parser.onIncoming = () => STOP_PARSING
  const receiveBody = parser[ON_BODY]
  parser[ON_BODY] = undefined
  // Node.js uses the parser for another connection afterwards.
  socket.once('close', () => { parser[ON_BODY] = receiveBody })
}
