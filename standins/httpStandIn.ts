/** HTTP server that all stand-ins are built on. */

import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'

export interface StandInRequest {
  readonly method: string
  readonly path: string
  readonly query: URLSearchParams
  readonly headers: IncomingMessage['headers']
  readonly text: string
  readonly request: IncomingMessage
  readonly response: ServerResponse
}

/** Handles a request. A request that the handler does not answer stays open. */
export type StandInHandler = (request: StandInRequest) => void | Promise<void>

export interface StandIn {
  readonly address: string
  close (): Promise<void>
}

/** Starts a server on the loopback interface. Port 0 selects a free port. */
export async function startStandIn (handler: StandInHandler, port = 0): Promise<StandIn> {
  const server = createServer((request, response) => {
    readBody(request).then(async (text) => {
      const url = new URL(request.url ?? '/', 'http://standin')
      await handler({ method: request.method ?? '', path: url.pathname, query: url.searchParams, headers: request.headers, text, request, response })
    }).catch(() => { response.destroy() })
  })
  server.keepAliveTimeout = 60_000
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, '127.0.0.1', resolve)
  })
  return { address: `http://127.0.0.1:${(server.address() as AddressInfo).port}`, close: async () => { await closeServer(server) } }
}

async function closeServer (server: Server): Promise<void> {
  await new Promise<void>((resolve) => {
    server.close(() => { resolve() })
    server.closeAllConnections()
  })
}

async function readBody (request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = []
  for await (const chunk of request as AsyncIterable<Buffer>) chunks.push(chunk)
  return Buffer.concat(chunks).toString('utf8')
}

export function sendJson (response: ServerResponse, status: number, body: unknown, headers: Record<string, string> = {}): void {
  response.writeHead(status, { 'content-type': 'application/json', ...headers })
  response.end(JSON.stringify(body))
}

export async function pause (milliseconds: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, milliseconds))
}
