/**
 * Stands between one host and the platform's store, and brings about the disruptions of the store that the platform's pages name: a
 * write is done seconds late and not answered, and a machine is cut off from the store without a sign.
 */

import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { createServer, request as httpRequest } from 'node:http'
import type { AddressInfo } from 'node:net'

/** What becomes of a write: it is done at once and answered, or once the promise resolves and never answered. */
export type WriteFate = { readonly type: 'answered' } | { readonly type: 'late', readonly until: Promise<void> }

export class StoreProxy {
  address = ''
  isCut = false
  decideWrite: (topic: string, body: Buffer) => WriteFate = () => ({ type: 'answered' })

  private constructor (private readonly server: Server, private readonly store: URL) {}

  static async start (storeAddress: string): Promise<StoreProxy> {
    const server = createServer((request, response) => { proxy.receive(request, response).catch(() => { response.destroy() }) })
    const proxy = new StoreProxy(server, new URL(storeAddress))
    await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
    proxy.address = `http://127.0.0.1:${(server.address() as AddressInfo).port}`
    return proxy
  }

  async stop (): Promise<void> {
    this.server.closeAllConnections()
    await new Promise<void>((resolve) => { this.server.close(() => { resolve() }) })
  }

  private async receive (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const chunks: Buffer[] = []
    for await (const chunk of request as AsyncIterable<Buffer>) chunks.push(chunk)
    if (this.isCut) return
    const body = Buffer.concat(chunks)
    const path = request.url ?? '/'
    const fate: WriteFate = path.startsWith('/log-append') ? this.decideWrite(new URL(path, this.store).searchParams.get('topic') ?? '', body) : { type: 'answered' }
    if (fate.type === 'late') await fate.until
    const forwarded = httpRequest({ host: this.store.hostname, port: this.store.port, method: request.method, path, headers: { 'content-length': body.length } }, (answer) => {
      const received: Buffer[] = []
      answer.on('data', (chunk: Buffer) => { received.push(chunk) })
      answer.on('end', () => {
        if (fate.type === 'late' || this.isCut) return
        response.writeHead(answer.statusCode ?? 500, { 'content-type': answer.headers['content-type'] ?? 'application/octet-stream' }).end(Buffer.concat(received))
      })
    })
    forwarded.on('error', () => { response.destroy() })
    response.once('close', () => { if (fate.type === 'answered' && !response.writableFinished) forwarded.destroy() })
    forwarded.end(body)
  }
}
