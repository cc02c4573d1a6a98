/** Serves counters and histograms as text. */

import type { Server } from 'node:http'
import { createServer } from 'node:http'
import type { Disposable } from '../../../base/common/lifecycle.ts'
import type { ScrapedMetrics } from '../../../adapters/node/scrapedMetrics.ts'
import { listenAt } from '../listenAt.ts'

const PATH = '/metrics'

export class MetricsServer implements Disposable {
  private readonly server: Server

  /** @param refresh sets gauges that are only worth looking at when somebody asks */
  constructor (metrics: ScrapedMetrics, refresh: () => void) {
    this.server = createServer((request, response) => {
      if (request.method !== 'GET' || request.url !== PATH) {
        response.writeHead(404).end()
        return
      }
      refresh()
      metrics.text().then((text) => {
        response.writeHead(200, { 'content-type': 'text/plain; version=0.0.4', 'content-length': Buffer.byteLength(text) }).end(text)
      }, () => { response.destroy() })
    })
  }

  async listen (address: string): Promise<void> {
    await listenAt(this.server, address)
  }

  dispose (): void {
    this.server.close()
    this.server.closeAllConnections()
  }
}
