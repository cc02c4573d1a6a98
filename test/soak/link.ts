/** A loopback proxy that delays, resets or silences connections, or drops the bytes of one direction. */

import { once } from 'node:events'
import type { AddressInfo, Server, Socket } from 'node:net'
import { connect, createServer } from 'node:net'

export const linkFaults = ['delayed', 'reset', 'silent', 'requests lost', 'answers lost'] as const
export type LinkState = 'open' | typeof linkFaults[number]

/** Delay of each chunk on a delayed link, in milliseconds. */
const LINK_DELAY_MS = 150

export class Link {
  state: LinkState = 'open'
  private readonly sockets = new Set<Socket>()
  private constructor (private readonly server: Server) {}

  static async to (address: string): Promise<Link> {
    const { hostname, port } = new URL(address)
    const server = createServer()
    const link = new Link(server)
    server.on('connection', (near) => { link.forward(near, connect(Number(port), hostname)) })
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
    return link
  }

  get address (): string {
    return `http://127.0.0.1:${(this.server.address() as AddressInfo).port}`
  }

  /** Changes the state. Connections that may have lost bytes in the previous state are reset. */
  set (state: LinkState): void {
    const mustReset = state === 'reset' || (state === 'open' && this.state !== 'open' && this.state !== 'delayed')
    this.state = state
    if (mustReset) for (const socket of this.sockets) socket.resetAndDestroy()
  }

  async close (): Promise<void> {
    for (const socket of this.sockets) socket.destroy()
    this.server.close()
    await once(this.server, 'close')
  }

  private forward (near: Socket, far: Socket): void {
    if (this.state === 'reset') {
      far.destroy()
      near.resetAndDestroy()
      return
    }
    for (const [from, to, droppingState] of [[near, far, 'requests lost'], [far, near, 'answers lost']] as const) {
      this.sockets.add(from)
      from.on('data', (data) => {
        if (this.state === 'silent' || this.state === droppingState) return
        if (this.state === 'delayed') setTimeout(() => { to.write(data) }, LINK_DELAY_MS)
        else to.write(data)
      })
      from.on('error', () => undefined)
      from.on('close', () => {
        this.sockets.delete(from)
        // Delayed bytes must be delivered before the connection is closed.
        setTimeout(() => { to.destroy() }, this.state === 'delayed' ? LINK_DELAY_MS + 10 : 0)
      })
    }
  }
}
