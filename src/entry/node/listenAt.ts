/** Listening at an address of the settings. */

import type { Server } from 'node:http'

/** Listens at `IP:PORT`, an IPv6 address in brackets. */
export async function listenAt (server: Server, address: string): Promise<void> {
  const colon = address.lastIndexOf(':')
  const host = address.slice(0, colon).replace(/^\[|\]$/g, '')
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(Number(address.slice(colon + 1)), host, () => {
      server.removeListener('error', reject)
      resolve()
    })
  })
}
