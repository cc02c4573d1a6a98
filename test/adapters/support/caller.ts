/** A process that calls an address as a host calls the store, other hosts and the platform's duties, and measures its own memory meanwhile. */

import { ConnectionPools } from '../../../src/adapters/node/connectionPools.ts'
import { HttpPlatformDuties } from '../../../src/adapters/node/httpPlatformDuties.ts'
import { JsonRpcPeers } from '../../../src/adapters/node/jsonRpcPeers.ts'
import { StoreClient } from '../../../src/adapters/node/storeClient.ts'
import { dutyProtocol } from '../../../platform/index.ts'
import { noopMetrics } from '../../support/fakeHost.ts'

export type Callee = 'the store' | 'another host' | 'the duties'

export interface CallMessage {
  readonly callee: Callee
  readonly address: string
}

export interface CallReport {
  /** The code of the failure, or `answered`. */
  readonly outcome: string
  readonly tookMs: number
  readonly growthMb: number
}

const MAXIMUM_ANSWER_BYTES = 1_048_576
const TIMEOUT_MS = 1000
const MEMORY_POLL_MS = 20

const connections = new ConnectionPools({ connections: 4, connectTimeoutMs: 500, inactivityTimeoutMs: 5000, maximumAnswerBytes: MAXIMUM_ANSWER_BYTES })

async function call ({ callee, address }: CallMessage): Promise<string> {
  const origin = `http://${address}`
  switch (callee) {
    case 'the store': {
      const answer = await new StoreClient(connections, noopMetrics, origin, TIMEOUT_MS).send({ method: 'GET', path: '/log-read' })
      return answer.ok ? 'answered' : answer.code
    }
    case 'another host': {
      const answer = await new JsonRpcPeers(connections, connections, 'key', noopMetrics).call(origin, 'membership.probe-for', { address: 'http://127.0.0.1:1' }, TIMEOUT_MS)
      return answer.ok ? 'answered' : answer.code
    }
    case 'the duties': return await new HttpPlatformDuties(connections, dutyProtocol, origin).scaleService({ service: 's', place: 'p', rental: 'regular', count: 1 }, { name: 'm', term: 1 })
  }
}

process.on('message', (message: CallMessage) => {
  const memoryMb = (): number => process.memoryUsage().rss / 1024 / 1024
  const before = memoryMb()
  let peakMb = before
  const polling = setInterval(() => { peakMb = Math.max(peakMb, memoryMb()) }, MEMORY_POLL_MS)
  const startedAt = Date.now()
  const report = (outcome: string): void => {
    clearInterval(polling)
    const answer: CallReport = { outcome, tookMs: Date.now() - startedAt, growthMb: peakMb - before }
    process.send?.(answer)
  }
  call(message).then(report, (error: unknown) => { report(String(error)) })
})
