/** Answers without end to the requests that a host sends to the store, to other hosts and to the platform's duties. */

import { expect } from 'chai'
import { ConnectionPools } from '../../src/adapters/node/connectionPools.ts'
import { HttpPlatformDuties } from '../../src/adapters/node/httpPlatformDuties.ts'
import { JsonRpcPeers } from '../../src/adapters/node/jsonRpcPeers.ts'
import { StoreClient } from '../../src/adapters/node/storeClient.ts'
import { dutyProtocol } from '../../platform/index.ts'
import { EndlessTarget, endlessAnswers } from '../platform/support/endlessTarget.ts'
import type { EndlessAnswerName } from '../platform/support/endlessTarget.ts'
import { noopMetrics } from '../support/fakeHost.ts'

const MAXIMUM_ANSWER_BYTES = 1_048_576
const TIMEOUT_MS = 1000
/** Time that a busy machine may take on top of the longest limit, that of duties. */
const LONGEST_MS = 1500 + 1500
const MAX_GROWTH_MB = 64
const MEMORY_POLL_MS = 20

describe('an answer without end', function () {
  this.timeout(20_000)
  let endless: EndlessTarget
  let connections: ConnectionPools
  const memoryMb = (): number => process.memoryUsage().rss / 1024 / 1024

  beforeEach(async () => {
    endless = await EndlessTarget.start()
    connections = new ConnectionPools({ connections: 4, connectTimeoutMs: 500, inactivityTimeoutMs: 5000, maximumAnswerBytes: MAXIMUM_ANSWER_BYTES })
  })
  afterEach(() => {
    connections.dispose()
    endless.close()
  })

  const clients: Record<string, (address: string) => Promise<string>> = {
    'the store': async (address) => {
      const answer = await new StoreClient(connections, noopMetrics, `http://${address}`, TIMEOUT_MS).send({ method: 'GET', path: '/log-read' })
      return answer.ok ? 'answered' : answer.code
    },
    'another host': async (address) => {
      const answer = await new JsonRpcPeers(connections, connections, 'key', noopMetrics).call(`http://${address}`, 'membership.probe-for', { address: 'http://127.0.0.1:1' }, TIMEOUT_MS)
      return answer.ok ? 'answered' : answer.code
    },
    'the duties': async (address) => await new HttpPlatformDuties(connections, dutyProtocol, `http://${address}`).scaleService({ service: 's', place: 'p', rental: 'regular', count: 1 }, { name: 'm', term: 1 })
  }

  for (const [name, call] of Object.entries(clients)) {
    for (const answer of Object.keys(endlessAnswers) as EndlessAnswerName[]) {
      it(`of ${answer} by ${name} ends within its time limit, in bounded memory`, async () => {
        // Guards against a host that runs out of memory because of a process that it calls.
        endless.answer = answer
        const before = memoryMb()
        let peakMb = 0
        const polling = setInterval(() => { peakMb = Math.max(peakMb, memoryMb()) }, MEMORY_POLL_MS)
        const startedAt = Date.now()
        const outcome = await call(endless.address)
        clearInterval(polling)
        expect(endless.requests).to.equal(1)
        expect(outcome).to.not.equal('answered')
        expect(Date.now() - startedAt).to.be.below(LONGEST_MS)
        expect(peakMb - before, 'growth of memory in MB').to.be.below(MAX_GROWTH_MB)
      })
    }
  }
})
