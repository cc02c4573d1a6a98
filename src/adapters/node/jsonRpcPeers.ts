/**
 * Calls between entry hosts: json-rpc-2.0 over kept HTTP connections, with the peers' key. A call
 * that gets no answer puts its connections aside, so the next one is made over a new connection.
 */

import { JSONRPCClient, JSONRPCServer } from 'json-rpc-2.0'
import type { JSONRPCRequest, JSONRPCResponse } from 'json-rpc-2.0'
import type { Result } from '../../base/common/resultCode.ts'
import { failure, success } from '../../base/common/resultCode.ts'
import type { PeerHandlers, PeerMethod, PeerMethods, Peers } from '../../ports/common/peers.ts'
import type { Metrics } from '../../ports/common/observation.ts'
import type { Connections } from './connections.ts'
import { refusedConnection, wentSilent } from './connections.ts'

/** Where peers' calls arrive. */
export const PEER_PATH = '/peer'

interface CallContext {
  readonly address: string
  readonly timeoutMs: number
  readonly connections: Connections
}

export class JsonRpcPeers implements Peers {
  private readonly client: JSONRPCClient<CallContext>

  /**
   * @param held connections for calls whose answer waits for something. They are kept apart: were
   * they to use up the connections to a host, probes and releases would wait behind them, and the
   * waiting calls would wait for those releases.
   */
  constructor (private readonly connections: Connections, private readonly held: Connections, private readonly key: string, private readonly metrics: Metrics) {
    this.client = new JSONRPCClient<CallContext>(async (payload, context) => { await this.send(payload as JSONRPCRequest, context) })
  }

  async call<Method extends PeerMethod> (address: string, method: Method, parameters: PeerMethods[Method]['parameters'], timeoutMs: number): Promise<Result<PeerMethods[Method]['result']>> {
    try {
      return success(await this.client.request(method, parameters, { address, timeoutMs, connections: method === 'admission.acquire' ? this.held : this.connections }) as PeerMethods[Method]['result'])
    } catch (error) {
      return refusedConnection(error) ? failure('targetUnreachable', String(error)) : failure('unknownOutcome', String(error))
    }
  }

  private async send (payload: JSONRPCRequest, { address, timeoutMs, connections }: CallContext): Promise<void> {
    const pool = connections.to(address)
    const body = JSON.stringify(payload)
    try {
      const answer = await pool.request({
        method: 'POST',
        path: PEER_PATH,
        headers: { 'content-type': 'application/json', authorization: `Bearer ${this.key}` },
        body,
        signal: AbortSignal.timeout(Math.ceil(timeoutMs))
      })
      if (answer.statusCode !== 200) {
        await answer.body.dump()
        throw new Error(`the peer answered ${answer.statusCode}`)
      }
      const text = await answer.body.text()
      this.metrics.count('peers.calls')
      this.metrics.count('peers.characters', body.length + text.length)
      this.client.receive(JSON.parse(text) as JSONRPCResponse)
    } catch (error) {
      if (wentSilent(error)) connections.suspect(address, pool)
      throw error
    }
  }
}

/** The receiving side: a registry of handlers. */
export class JsonRpcHandlers implements PeerHandlers {
  private readonly server = new JSONRPCServer({ errorListener: () => undefined })

  handle<Method extends PeerMethod> (method: Method, handler: (parameters: PeerMethods[Method]['parameters']) => Promise<PeerMethods[Method]['result']>): void {
    this.server.addMethod(method, async (parameters: unknown) => await handler(parameters as PeerMethods[Method]['parameters']))
  }

  /** Answers the body of one call. */
  async receive (body: string): Promise<string> {
    return JSON.stringify(await this.server.receiveJSON(body))
  }
}
