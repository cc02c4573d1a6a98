/** Aborting of responses, so that no partial response looks complete to its caller. */

import type { Server, ServerResponse } from 'node:http'

/**
 * Ends a response so that the caller detects that it is incomplete. A chunked response lacks its last chunk. For any other,
 * the close of the connection may be the only sign of its end, so the connection is reset instead.
 */
export function abortResponse (response: ServerResponse): void {
  if (response.chunkedEncoding || response.socket === null) response.destroy()
  else response.socket.resetAndDestroy()
}

/** Tracks the open responses of a server, from the head of each request until its response is complete or its connection closes. */
export class OpenResponses {
  private readonly responses = new Set<ServerResponse>()

  constructor (server: Server) {
    server.on('request', (_request, response) => {
      this.responses.add(response)
      response.once('close', () => { this.responses.delete(response) })
    })
  }

  get count (): number {
    return this.responses.size
  }

  /** Aborts the responses whose head has been sent. */
  abortStarted (): void {
    for (const response of this.responses) if (response.headersSent) abortResponse(response)
  }
}
