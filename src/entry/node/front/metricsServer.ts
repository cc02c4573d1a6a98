/** Serves metrics in the Prometheus text format. */

import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Disposable } from '../../../base/common/lifecycle.ts'
import type { PrometheusMetrics } from '../../../adapters/node/prometheusMetrics.ts'
import type { Clock } from '../../../ports/common/clock.ts'
import type { StateLog } from '../../../ports/common/observation.ts'
import type { ClientMemory } from '../clientMemory.ts'
import type { ServerLimits } from '../limitedServer.ts'
import { LimitedServer } from '../limitedServer.ts'
import { RequestBodies } from '../requestBody.ts'

const METRICS_PATH = '/metrics'

export interface MetricsServerServices {
  /** Memory that clients occupy at all addresses of the host. */
  readonly memory: ClientMemory
  readonly clock: Pick<Clock, 'monotonic'>
  readonly metrics: PrometheusMetrics
  readonly stateLog: Pick<StateLog, 'alarm'>
}

export class MetricsServer implements Disposable {
  private readonly server: LimitedServer

  /** @param refresh updates the gauges that are computed only for a scrape */
  constructor (private readonly services: MetricsServerServices, private readonly refresh: () => void, limits: ServerLimits) {
    const bodies = new RequestBodies(services)
    this.server = new LimitedServer({
      ...services,
      malformedCounter: 'requests.broken',
      receive: (request, response) => {
        bodies.discard(request)
        return { serve: async () => { await this.answer(request, response) }, discard: () => undefined }
      }
    }, limits)
  }

  async listen (address: string): Promise<void> {
    await this.server.listen(address)
  }

  dispose (): void {
    this.server.dispose()
  }

  private async answer (request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (request.method !== 'GET' || request.url !== METRICS_PATH) {
      response.writeHead(404).end()
      return
    }
    this.refresh()
    const text = await this.services.metrics.text()
    response.writeHead(200, { 'content-type': 'text/plain; version=0.0.4', 'content-length': Buffer.byteLength(text) }).end(text)
  }
}
