/** Callers that read more slowly than they are sent to. */

import type { ServerResponse } from 'node:http'

/** Resolves once a caller has read what is buffered for it, or has gone. */
export async function drained (response: ServerResponse): Promise<void> {
  if (response.destroyed) return
  await new Promise<void>((resolve) => {
    const settle = (): void => {
      response.off('drain', settle)
      response.off('close', settle)
      resolve()
    }
    response.once('drain', settle)
    response.once('close', settle)
  })
}
