/** Route for calls from other hosts. */

import type { JsonRpcHandlers } from '../../../adapters/node/jsonRpcPeers.ts'
import { PEER_PATH } from '../../../adapters/node/jsonRpcPeers.ts'
import type { Exchange } from '../exchange.ts'
import type { Router } from '../router.ts'

/** Large enough for a call that carries samples that the log does not accept. */
const MAX_PEER_BODY_BYTES = 64 * 1024 * 1024

export class PeerRoutes {
  constructor (private readonly handlers: JsonRpcHandlers) {}

  register (router: Router): void {
    router.register({ method: 'POST', path: PEER_PATH, access: 'peer', internal: true, maximumBodyBytes: MAX_PEER_BODY_BYTES, handle: async (exchange) => { await this.answer(exchange) } })
  }

  private async answer (exchange: Exchange): Promise<void> {
    const body = await exchange.readText()
    if (!body.ok) return exchange.sendFailure(body)
    exchange.send(200, 'application/json', await this.handlers.receive(body.value))
  }
}
