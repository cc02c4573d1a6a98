/** Tells callers which hosts to use, and the platform whether this host is ready. */

import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { createServer } from 'node:http'
import type { Disposable } from '../../../base/common/lifecycle.ts'
import { failure, failureBody } from '../../../base/common/resultCode.ts'
import type { FrontProtocol } from '../../../ports/common/protocols.ts'
import { listenAt } from '../listenAt.ts'

export interface DirectoryServerServices {
  readonly protocol: FrontProtocol
  readonly isReady: () => boolean
  /** Callers' addresses of hosts that take requests; those of a place first. */
  readonly addresses: (place: string | undefined) => readonly string[]
}

/** Hosts in one answer, at most. */
const MOST_ADDRESSES = 64

export class DirectoryServer implements Disposable {
  private readonly server: Server

  constructor (private readonly services: DirectoryServerServices, private readonly validForMs: number) {
    this.server = createServer((request, response) => { this.answer(request, response) })
  }

  async listen (address: string): Promise<void> {
    await listenAt(this.server, address)
  }

  dispose (): void {
    this.server.close()
    this.server.closeAllConnections()
  }

  private answer (request: IncomingMessage, response: ServerResponse): void {
    const url = new URL(request.url ?? '/', 'http://host')
    const { protocol, isReady, addresses } = this.services
    const asked = protocol.directoryRequest(request.method ?? '', url.pathname, url.searchParams)
    if (asked === undefined) return reply(response, 404, {}, JSON.stringify(failureBody(failure('notFound', `there is no ${url.pathname}`))))
    if (asked.type === 'readiness') return reply(response, isReady() ? 200 : 503, {}, '')
    const found = addresses(asked.place).slice(0, MOST_ADDRESSES)
    if (found.length === 0) return reply(response, 503, {}, JSON.stringify(failureBody(failure('noTarget', 'no host takes requests now'))))
    const { status, headers, body } = protocol.addresses(found, this.validForMs)
    reply(response, status, headers, body)
  }
}

function reply (response: ServerResponse, status: number, headers: Readonly<Record<string, string>>, body: string): void {
  response.writeHead(status, { ...headers, 'content-length': Buffer.byteLength(body) })
  response.end(body)
}
