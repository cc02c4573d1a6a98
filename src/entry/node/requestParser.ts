/**
 * Limits on what the HTTP parser of a server connection passes on. The parser handles all requests and chunks that are in one
 * read, up to some thousand, before the connection can be paused or closed, and each of them costs an object or a call. Node.js
 * has no documented way to stop it; its callbacks are the only place that sees the requests to which Node.js responds by itself.
 */

import type { IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'

/** Indexes of callbacks of the parser. */
const ON_MESSAGE_BEGIN = 0
const ON_BODY = 3
const ON_EXECUTE = 5
/** Return value for the parser: it ignores the rest of the input that it has. */
const STOP_PARSING = 2

interface RequestParser {
  /** Called at the first byte of each request. */
  [ON_MESSAGE_BEGIN]: (() => void) | null
  /** Receives the head of each request. */
  onIncoming: (request: IncomingMessage, shouldKeepAlive: boolean) => number
  /** Receives each part of a body. */
  [ON_BODY]: unknown
  /** Called after each read, with the number of bytes or an error. */
  [ON_EXECUTE]: ((result: unknown) => void) | null
}

export interface ParserListener {
  /** Called at the first byte of each request. */
  onRequestBegin (): void
  /** Called for each request whose head has been parsed. If it returns false, parsing stops. */
  acceptRequest (): boolean
  /** Called after each read of the connection. */
  onRead (): void
}

function parserOf (socket: Socket): RequestParser | undefined {
  return (socket as Socket & { readonly parser?: RequestParser }).parser
}

/** Listens to the parser of a connection until the connection is closed. */
export function listenToParser (socket: Socket, listener: ParserListener): void {
  const parser = parserOf(socket)
  const afterRead = parser?.[ON_EXECUTE]
  if (parser === undefined || afterRead == null) throw new Error('this version of Node.js has no parser with callbacks at its server connections')
  const receive = parser.onIncoming
  // Node.js resets these callbacks before it uses the parser for another connection.
  parser.onIncoming = (request, shouldKeepAlive) => listener.acceptRequest() ? receive(request, shouldKeepAlive) : STOP_PARSING
  parser[ON_MESSAGE_BEGIN] = () => { listener.onRequestBegin() }
  parser[ON_EXECUTE] = (result) => {
    afterRead(result)
    listener.onRead()
  }
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
