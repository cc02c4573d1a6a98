/** Aborting of responses, so that no partial response looks complete to its caller. */

import type { ServerResponse } from 'node:http'

/**
 * Ends a response so that the caller detects that it is incomplete. A chunked response lacks its last chunk. For any other,
 * the close of the connection may be the only sign of its end, so the connection is reset instead.
 */
export function abortResponse (response: ServerResponse): void {
  if (response.chunkedEncoding || response.socket === null) response.destroy()
  else response.socket.resetAndDestroy()
}
