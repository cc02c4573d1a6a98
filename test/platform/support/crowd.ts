/**
 * Crowds of clients that ignore what a host expects of its callers: they send requests ahead, read no answers, or
 * leave messages incomplete. Each client opens a fixed number of connections, one after the other, and sends the same
 * bytes over each.
 */

import type { Socket } from 'node:net'
import { connect } from 'node:net'

/** What one client sends over each of its connections. */
export interface ClientMessage {
  readonly opening?: string
  readonly piece: string
  readonly pieces: number
}

export interface CrowdOptions extends ClientMessage {
  readonly clients: number
  /** Number of connections that each client opens; the next one when the former has been closed by the host. */
  readonly connectionsPerClient: number
}

/** Sends at most this many bytes with one write. */
const WRITE_BYTES = 65_536

export class Crowd {
  private readonly open = new Set<Socket>()
  private isLeaving = false
  private readonly message: Buffer

  constructor (private readonly address: string, private readonly options: CrowdOptions) {
    this.message = Buffer.from((options.opening ?? '') + options.piece.repeat(options.pieces))
  }

  /** Connects all clients. */
  enter (): void {
    for (let client = 0; client < this.options.clients; client++) this.connect(this.options.connectionsPerClient)
  }

  /** Closes all connections. */
  leave (): void {
    this.isLeaving = true
    for (const socket of this.open) socket.destroy()
  }

  private connect (remainingConnections: number): void {
    if (this.isLeaving || remainingConnections === 0) return
    const { hostname, port } = new URL(this.address)
    // Nothing reads from the socket, so that answers stay with the host.
    const socket = connect({ host: hostname, port: Number(port) }).pause()
    this.open.add(socket)
    socket.on('error', () => undefined)
    socket.once('connect', () => { this.send(socket, 0) })
    socket.once('close', () => {
      this.open.delete(socket)
      this.connect(remainingConnections - 1)
    })
  }

  private send (socket: Socket, offset: number): void {
    if (offset >= this.message.length || socket.destroyed) return
    const end = Math.min(offset + WRITE_BYTES, this.message.length)
    socket.write(this.message.subarray(offset, end), (error) => { if (error == null) this.send(socket, end) })
  }
}
