/** A forwarding socket between two processes that the tests make silent or cut. */

import { once } from 'node:events'
import type { AddressInfo, Socket } from 'node:net'
import { connect, createServer } from 'node:net'

export interface Cutter {
  readonly address: string
  /** Connections that are open now pass nothing more on; new ones work. */
  silenceOpen (): void
  /** Passes nothing on, on old and new connections, until `heal`. */
  silenceAll (): void
  heal (): void
  /** Listens no more, as a host whose process has ended. */
  refuse (): void
  /** Connections made so far. */
  readonly made: number
  close (): Promise<void>
}

/** Starts a forwarder to an address on loopback. */
export async function startCutter (to: () => string): Promise<Cutter> {
  const pairs = new Set<{ readonly ends: readonly Socket[] }>()
  let silent = false
  let made = 0
  const server = createServer((near) => {
    made++
    const target = new URL(to())
    const far = connect(Number(target.port), target.hostname)
    const pair = { ends: [near, far] }
    pairs.add(pair)
    const muted = (): boolean => silent || !pairs.has(pair)
    near.on('data', (data) => { if (!muted()) far.write(data) })
    far.on('data', (data) => { if (!muted()) near.write(data) })
    for (const end of pair.ends) {
      end.on('error', () => undefined)
      end.on('close', () => {
        if (muted()) return
        pairs.delete(pair)
        for (const other of pair.ends) other.destroy()
      })
    }
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const all = new Set<Socket>()
  server.on('connection', (socket: Socket) => { all.add(socket) })
  return {
    address: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
    silenceOpen: () => { pairs.clear() },
    silenceAll: () => { silent = true; pairs.clear() },
    heal: () => { silent = false },
    refuse: () => {
      server.close()
      for (const socket of all) socket.destroy()
    },
    get made () { return made },
    close: async () => {
      for (const socket of all) socket.destroy()
      if (!server.listening) return
      server.close()
      await once(server, 'close')
    }
  }
}
