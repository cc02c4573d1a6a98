/** Serves metrics in the Prometheus text format. */

import type { Server } from 'node:http'
import { createServer } from 'node:http'
import type { Disposable } from '../../../base/common/lifecycle.ts'
import type { PrometheusMetrics } from '../../../adapters/node/prometheusMetrics.ts'
import { listenAt } from '../listenAt.ts'

const METRICS_PATH = '/metrics'

export class MetricsServer implements Disposable {
  private readonly server: Server

  /** @param refresh updates the gauges that are computed only for a scrape */
  constructor (metrics: PrometheusMetrics, refresh: () => void) {
    this.server = createServer((request, response) => {
      if (request.method !== 'GET' || request.url !== METRICS_PATH) {
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
