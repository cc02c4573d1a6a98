/** A target that answers each request with raw bytes chosen by the test, and closes the connection. */

import type { AddressInfo, Server, Socket } from 'node:net'
import { createServer } from 'node:net'

export class RawTarget {
  requests = 0
  private readonly sockets = new Set<Socket>()
  private readonly server: Server

  private constructor (private readonly answer: (requestId: string, path: string, request: number) => string) {
    this.server = createServer((socket) => { this.serve(socket) })
  }

  /** @param answer returns the bytes of the answer to a request; `request` counts the requests from 0 */
  static async start (answer: (requestId: string, path: string, request: number) => string): Promise<RawTarget> {
    const target = new RawTarget(answer)
    await new Promise<void>((resolve) => { target.server.listen(0, '127.0.0.1', resolve) })
    return target
  }

  get address (): string {
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`
  }

  close (): void {
    for (const socket of this.sockets) socket.destroy()
    this.server.close()
  }

  private serve (socket: Socket): void {
    let received = ''
    this.sockets.add(socket)
    socket.on('error', () => undefined)
    socket.on('close', () => { this.sockets.delete(socket) })
    socket.on('data', (data) => {
      received += data.toString('latin1')
      if (!received.includes('\r\n\r\n') || socket.writableEnded) return
      socket.end(this.answer(/bulrushvalve-request-id: (\S+)/i.exec(received)?.[1] ?? '', received.split(' ', 2)[1] ?? '', this.requests++))
    })
  }
}
