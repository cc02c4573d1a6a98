/** Answers that end early: none of them may look complete to its caller. */

import type { Server, ServerResponse } from 'node:http'

/**
 * Ends an answer so that it is seen to be incomplete. A chunked one lacks its last chunk; of any other, the end of the connection may be the only
 * mark, so that is a reset.
 */
export function cutAnswer (response: ServerResponse): void {
  if (response.chunkedEncoding || response.socket === null) response.destroy()
  else response.socket.resetAndDestroy()
}

/** The answers that a server owes: from the head of each request until its answer is whole or its connection gone. */
export class OpenAnswers {
  private readonly answers = new Set<ServerResponse>()

  constructor (server: Server) {
    server.on('request', (_request, response) => {
      this.answers.add(response)
      response.once('close', () => { this.answers.delete(response) })
    })
  }

  get count (): number {
    return this.answers.size
  }

  /** Cuts those that have begun. */
  cut (): void {
    for (const response of this.answers) if (response.headersSent) cutAnswer(response)
  }
}
