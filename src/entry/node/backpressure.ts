/** Backpressure for responses whose callers read more slowly than data is written. */

import type { ServerResponse } from 'node:http'

/** Resolves once the write buffer of a response has drained or its connection has closed. */
export async function waitForDrain (response: ServerResponse): Promise<void> {
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
