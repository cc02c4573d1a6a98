/** A loopback proxy that delays, resets, silences or cuts connections in one direction. */

import { once } from 'node:events'
import type { AddressInfo, Server, Socket } from 'node:net'
import { connect, createServer } from 'node:net'

export const linkFaults = ['delayed', 'reset', 'silent', 'requests lost', 'answers lost'] as const
export type LinkState = 'open' | typeof linkFaults[number]

/** Delay of each piece on a delayed link, in milliseconds. */
const DELAY_MS = 150

export class Link {
  state: LinkState = 'open'
  private readonly sockets = new Set<Socket>()
  private constructor (private readonly server: Server) {}

  static async to (address: string): Promise<Link> {
    const { hostname, port } = new URL(address)
    const server = createServer()
    const link = new Link(server)
    server.on('connection', (near) => { link.join(near, connect(Number(port), hostname)) })
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
    return link
  }

  get address (): string {
    return `http://127.0.0.1:${(this.server.address() as AddressInfo).port}`
  }

  /** Changes the state; connections that lost bytes in the former one do not work again. */
  set (state: LinkState): void {
    const broken = state === 'reset' || (state === 'open' && this.state !== 'open' && this.state !== 'delayed')
    this.state = state
    if (broken) for (const socket of this.sockets) socket.resetAndDestroy()
  }

  async close (): Promise<void> {
    for (const socket of this.sockets) socket.destroy()
    this.server.close()
    await once(this.server, 'close')
  }

  private join (near: Socket, far: Socket): void {
    if (this.state === 'reset') {
      far.destroy()
      near.resetAndDestroy()
      return
    }
    for (const [from, to, lostIn] of [[near, far, 'requests lost'], [far, near, 'answers lost']] as const) {
      this.sockets.add(from)
      from.on('data', (data) => {
        if (this.state === 'silent' || this.state === lostIn) return
        if (this.state === 'delayed') setTimeout(() => { to.write(data) }, DELAY_MS)
        else to.write(data)
      })
      from.on('error', () => undefined)
      from.on('close', () => {
        this.sockets.delete(from)
        // Bytes on a delayed link arrive before its end does.
        setTimeout(() => { to.destroy() }, this.state === 'delayed' ? DELAY_MS + 10 : 0)
      })
    }
  }
}
