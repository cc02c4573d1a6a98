/** A TCP forwarder between two processes whose connections a test can silence or close. */

import { once } from 'node:events'
import type { AddressInfo, Socket } from 'node:net'
import { connect, createServer } from 'node:net'

export interface FaultyForwarder {
  readonly address: string
  /** Stops forwarding on all open connections without closing them. New connections work. */
  silenceOpenConnections (): void
  /** Stops forwarding on open and new connections without closing them, until `restore` is called. */
  silenceAll (): void
  restore (): void
  /** Stops listening and closes all connections, like a host whose process has exited. */
  stopListening (): void
  /** Number of connections accepted so far. */
  readonly connectionCount: number
  close (): Promise<void>
}

/** Starts a forwarder to an address on the loopback interface. The address is read for each connection. */
export async function startFaultyForwarder (to: () => string): Promise<FaultyForwarder> {
  const pairs = new Set<{ readonly ends: readonly Socket[] }>()
  let isSilent = false
  let made = 0
  const server = createServer((clientSocket) => {
    made++
    const target = new URL(to())
    const targetSocket = connect(Number(target.port), target.hostname)
    const pair = { ends: [clientSocket, targetSocket] }
    pairs.add(pair)
    const isMuted = (): boolean => isSilent || !pairs.has(pair)
    clientSocket.on('data', (data) => { if (!isMuted()) targetSocket.write(data) })
    targetSocket.on('data', (data) => { if (!isMuted()) clientSocket.write(data) })
    for (const end of pair.ends) {
      end.on('error', () => undefined)
      end.on('close', () => {
        if (isMuted()) return
        pairs.delete(pair)
        for (const other of pair.ends) other.destroy()
      })
    }
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const sockets = new Set<Socket>()
  server.on('connection', (socket: Socket) => { sockets.add(socket) })
  return {
    address: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
    silenceOpenConnections: () => { pairs.clear() },
    silenceAll: () => { isSilent = true; pairs.clear() },
    restore: () => { isSilent = false },
    stopListening: () => {
      server.close()
      for (const socket of sockets) socket.destroy()
    },
    get connectionCount () { return made },
    close: async () => {
      for (const socket of sockets) socket.destroy()
      if (!server.listening) return
      server.close()
      await once(server, 'close')
    }
  }
}
