/** An engine that streams large answers as fast as they are read, and tells what became of each. */

import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { drained } from '../../../src/entry/node/backpressure.ts'
import type { StoreStandIn } from './storeStandIn.ts'

/** Bytes of an event, about. */
const EVENT_BYTES = 1500

export interface BusyRun {
  readonly path: string
  sentBytes: number
  ended: 'open' | 'answered' | 'dropped'
  /** When it ended, in milliseconds since the epoch. */
  endedAt: number
}

export class BusyEngine {
  readonly runs: BusyRun[] = []
  private readonly server: Server

  private constructor () {
    this.server = createServer((request, response) => { this.serve(request, response).catch(() => { response.destroy() }) })
  }

  /** Starts an engine of the fleet's service `engines`. */
  static async start (id: string, store: StoreStandIn): Promise<BusyEngine> {
    const engine = new BusyEngine()
    await new Promise<void>((resolve) => { engine.server.listen(0, '127.0.0.1', resolve) })
    store.put('keyed.servers', id, { service: 'engines', addr: `127.0.0.1:${(engine.server.address() as AddressInfo).port}`, zone: 'place-0', version: 'v1', slots: 500, state: 'ready', cold_left_ms: 0, seq: 1, stage: 'both', models: [{ name: 'm', version: 1, adapters: [] }] })
    return engine
  }

  async stop (): Promise<void> {
    this.server.closeAllConnections()
    await new Promise((resolve) => { this.server.close(resolve) })
  }

  private async serve (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const head = { 'bulrushvalve-request-id': String(request.headers['bulrushvalve-request-id']), 'bulrushvalve-response-seal': 's' }
    if (request.url === '/report') {
      response.writeHead(200, { 'content-type': 'application/json' }).end(JSON.stringify({ stage: 'both', models: [{ name: 'm', version: 1, adapters: [] }], busy: false, seq: 0, waiting: 0, running: 0, kv_used: 0, kv_total: 1, handles: 0 }))
      return
    }
    request.resume()
    const run: BusyRun = { path: request.url ?? '', sentBytes: 0, ended: 'open', endedAt: 0 }
    this.runs.push(run)
    const end = (ended: BusyRun['ended']): void => {
      if (run.ended === 'open') Object.assign(run, { ended, endedAt: Date.now() })
    }
    response.once('close', () => { end('dropped') })
    response.writeHead(200, { ...head, 'content-type': 'text/event-stream' })
    const count = Number(/events-(\d+)/.exec(run.path)?.[1] ?? 3)
    for (let number = Number(request.headers['last-event-id'] ?? -1) + 1; number < count && run.ended === 'open'; number++) {
      const event = `id: ${number}\ndata: ${'x'.repeat(EVENT_BYTES)}\n\n`
      run.sentBytes += event.length
      if (!response.write(event)) await drained(response)
    }
    if (run.ended !== 'open') return
    end('answered')
    response.end()
  }
}
