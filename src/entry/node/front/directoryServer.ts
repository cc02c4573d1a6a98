/** Answers address queries from callers and readiness probes from the platform. */

import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Disposable } from '../../../base/common/lifecycle.ts'
import { failure, failureBody } from '../../../base/common/resultCode.ts'
import { MAX_LISTED_HOSTS } from '../../../core/common/routes/callerSpread.ts'
import type { Clock } from '../../../ports/common/clock.ts'
import type { Metrics, StateLog } from '../../../ports/common/observation.ts'
import type { FrontProtocol } from '../../../ports/common/protocols.ts'
import type { ClientMemory } from '../clientMemory.ts'
import type { ServerLimits } from '../limitedServer.ts'
import { LimitedServer } from '../limitedServer.ts'
import { RequestBodies } from '../requestBody.ts'
import { parseRequestTarget } from '../requestTarget.ts'

export interface DirectoryServerServices {
  /** Memory that clients occupy at all addresses of the host. */
  readonly memory: ClientMemory
  readonly clock: Pick<Clock, 'monotonic'>
  readonly protocol: FrontProtocol
  readonly metrics: Pick<Metrics, 'count' | 'gauge'>
  readonly stateLog: Pick<StateLog, 'alarm'>
  readonly isReady: () => boolean
  /** Returns the addresses for callers of hosts that accept requests, for a query from a failure domain. */
  readonly addresses: (place: string | undefined) => readonly string[]
}

export class DirectoryServer implements Disposable {
  private readonly server: LimitedServer

  constructor (private readonly services: DirectoryServerServices, private readonly validForMs: number, limits: ServerLimits) {
    const bodies = new RequestBodies(services)
    this.server = new LimitedServer({
      ...services,
      malformedCounter: 'requests.broken',
      receive: (request, response) => {
        bodies.discard(request)
        return { serve: () => { this.answer(request, response) }, discard: () => undefined }
      }
    }, limits)
  }

  async listen (address: string): Promise<void> {
    await this.server.listen(address)
  }

  dispose (): void {
    this.server.dispose()
  }

  private answer (request: IncomingMessage, response: ServerResponse): void {
    const { protocol, metrics, isReady, addresses } = this.services
    const target = parseRequestTarget(request.url)
    if (!target.ok) {
      metrics.count('requests.broken')
      return sendResponse(response, 400, {}, JSON.stringify(failureBody(target)))
    }
    const { path, query: parameters } = target.value
    const query = protocol.directoryRequest(request.method ?? '', path, parameters)
    if (query === undefined) return sendResponse(response, 404, {}, JSON.stringify(failureBody(failure('notFound', `no route for path ${path}`))))
    if (query.type === 'readiness') return sendResponse(response, isReady() ? 200 : 503, {}, '')
    const addressesFound = addresses(query.place).slice(0, MAX_LISTED_HOSTS)
    metrics.count('directory.answers')
    metrics.gauge('directory.listed', addressesFound.length)
    if (addressesFound.length === 0) return sendResponse(response, 503, {}, JSON.stringify(failureBody(failure('noTarget', 'no host accepts requests at present'))))
    const { status, headers, body } = protocol.addresses(addressesFound, this.validForMs)
    sendResponse(response, status, headers, body)
  }
}

function sendResponse (response: ServerResponse, status: number, headers: Readonly<Record<string, string>>, body: string): void {
  response.writeHead(status, { ...headers, 'content-length': Buffer.byteLength(body) })
  response.end(body)
}
