/**
 * Calls between entry hosts: JSON-RPC 2.0 over pooled HTTP connections, authenticated with the key
 * shared by the peers. A call that times out retires its connection pool, so the next call uses a new
 * connection.
 */

import { JSONRPCClient, JSONRPCServer } from 'json-rpc-2.0'
import type { JSONRPCRequest, JSONRPCResponse } from 'json-rpc-2.0'
import type { Result } from '../../base/common/resultCode.ts'
import { failure, success } from '../../base/common/resultCode.ts'
import type { PeerHandlers, PeerMethod, PeerMethods, Peers } from '../../ports/common/peers.ts'
import type { Metrics } from '../../ports/common/observation.ts'
import type { ConnectionPools } from './connectionPools.ts'
import { isConnectionRefused, isTimeoutError } from './connectionPools.ts'
import { TimeLimit } from './timeLimit.ts'

/** Path that receives calls of peers. */
export const PEER_PATH = '/peer'

interface CallContext {
  readonly address: string
  readonly timeoutMs: number
  readonly connections: ConnectionPools
  /** Error that the call could not be sent or answered with. The library passes on its message only, not its code. */
  sendError?: unknown
}

export class JsonRpcPeers implements Peers {
  private readonly client: JSONRPCClient<CallContext>

  /**
   * @param longPollConnections pools for calls that the peer answers only once a slot is free. They are
   * separate because such calls could otherwise occupy all connections to a host; probes and releases
   * would then queue behind them, while they wait for these releases.
   */
  constructor (private readonly connections: ConnectionPools, private readonly longPollConnections: ConnectionPools, private readonly key: string, private readonly metrics: Metrics) {
    this.client = new JSONRPCClient<CallContext>(async (payload, context) => { await this.send(payload as JSONRPCRequest, context) })
  }

  async call<Method extends PeerMethod> (address: string, method: Method, parameters: PeerMethods[Method]['parameters'], timeoutMs: number): Promise<Result<PeerMethods[Method]['result']>> {
    const context: CallContext = { address, timeoutMs, connections: method === 'admission.acquire' ? this.longPollConnections : this.connections }
    try {
      return success(await this.client.request(method, parameters, context) as PeerMethods[Method]['result'])
    } catch (error) {
      return isConnectionRefused(context.sendError) ? failure('targetUnreachable', String(error)) : failure('unknownOutcome', String(error))
    }
  }

  private async send (payload: JSONRPCRequest, context: CallContext): Promise<void> {
    const { address, timeoutMs, connections } = context
    const pool = connections.poolFor(address)
    const body = JSON.stringify(payload)
    const limit = new TimeLimit(Math.ceil(timeoutMs))
    try {
      const response = await pool.request({
        method: 'POST',
        path: PEER_PATH,
        headers: { 'content-type': 'application/json', authorization: `Bearer ${this.key}` },
        body,
        signal: limit.signal
      })
      if (response.statusCode !== 200) {
        await response.body.dump()
        throw new Error(`the peer responded with status ${response.statusCode}`)
      }
      const text = await response.body.text()
      this.metrics.count('peers.calls')
      this.metrics.count('peers.characters', body.length + text.length)
      this.client.receive(JSON.parse(text) as JSONRPCResponse)
    } catch (error) {
      context.sendError = error
      if (isTimeoutError(error)) connections.retire(address, pool)
      throw error
    } finally {
      limit.end()
    }
  }
}

/** Receiving side of peer calls: dispatches them to registered handlers. */
export class JsonRpcHandlers implements PeerHandlers {
  private readonly server = new JSONRPCServer({ errorListener: () => undefined })

  handle<Method extends PeerMethod> (method: Method, handler: (parameters: PeerMethods[Method]['parameters']) => Promise<PeerMethods[Method]['result']>): void {
    this.server.addMethod(method, async (parameters: unknown) => await handler(parameters as PeerMethods[Method]['parameters']))
  }

  /** Handles the body of one call and returns the body of the response. */
  async receive (body: string): Promise<string> {
    return JSON.stringify(await this.server.receiveJSON(body))
  }
}
