/** Makes a server listen at an address from the settings. */

import type { Server } from 'node:http'

/** Listens at `IP:PORT`, with IPv6 addresses in brackets. */
export async function listenAt (server: Server, address: string): Promise<void> {
  const colonIndex = address.lastIndexOf(':')
  const host = address.slice(0, colonIndex).replace(/^\[|\]$/g, '')
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(Number(address.slice(colonIndex + 1)), host, () => {
      server.removeListener('error', reject)
      resolve()
    })
  })
}
