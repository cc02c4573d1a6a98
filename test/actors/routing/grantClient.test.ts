/** Tests the holder side of admission with fake services. */

import { expect } from 'chai'
import { asHostId, asFailureDomain, asPoolName, asTargetName, shardKey } from '../../../src/base/common/ids.ts'
import { failure, success } from '../../../src/base/common/resultCode.ts'
import type { GrantClientServices } from '../../../src/actors/common/routing/grantClient.ts'
import { GrantClient } from '../../../src/actors/common/routing/grantClient.ts'
import type { AcquireResponse } from '../../../src/ports/common/peers.ts'
import type { AcquireRequest } from '../../../src/core/common/routing/admissionMessages.ts'
import { NodeRandomSource, NodeClock } from '../../../src/adapters/node/nodeClock.ts'
import { Emitter } from '../../../src/base/common/lifecycle.ts'
import { ManualClock } from '../../support/manualClock.ts'

const shard = shardKey(asPoolName('drafter'), asFailureDomain('Abdali'))
const home = { host: asHostId('home'), address: 'http://home', place: asFailureDomain('Abdali'), status: 'alive' as const, incarnation: 1, since: 0 }

/** Creates a client whose home answers with the given function. */
function clientWith (answer: (request: AcquireRequest, client: () => GrantClient) => Promise<AcquireResponse>): { client: GrantClient, released: string[] } {
  const released: string[] = []
  const services = {
    membership: { self: { ...home, host: asHostId('here') }, onChange: () => ({ dispose: () => undefined }), pressureOf: () => undefined, probeNow: () => undefined },
    directory: { shardsOf: () => [shard] },
    homes: { homeOfShard: () => home },
    localAdmission: {},
    peers: {
      call: async (_address: string, method: string, parameters: { request: AcquireRequest, grant: string }) => {
        if (method === 'admission.acquire') return success(await answer(parameters.request, () => client))
        if (method === 'admission.release') released.push(parameters.grant)
        return success(null)
      }
    },
    handlers: { handle: () => undefined },
    clock: new NodeClock(),
    chance: new NodeRandomSource(1),
    metrics: { count: () => undefined, gauge: () => undefined, timing: () => undefined }
  }
  const client: GrantClient = new GrantClient(services as unknown as GrantClientServices, 1000)
  return { client, released }
}

function granted (request: AcquireRequest): AcquireResponse {
  const grant = { grant: request.grant, holder: request.holder, target: asTargetName('t'), workClass: request.workClass, flow: request.flow, caller: request.caller }
  return { type: 'granted', grant, address: 'http://t', pressure: 0 }
}

const slotRequest = { pool: asPoolName('drafter'), workClass: 'rollout' as const, priority: 10, flow: 'drafts', share: 1, caller: 'drafts', callerLimit: 10, deadline: Number.MAX_SAFE_INTEGER, exclude: [] }

describe('GrantClient', () => {
  /*
   * Guards against interactive requests that wait for seconds behind rollouts which should have been preempted: an
   * interactive request arrives right after a rollout was granted a slot, and the revocation reaches the holder before
   * the answer that grants the slot. If the holder drops a revocation of an unknown grant, the rollout runs to its end.
   */
  it('applies a revocation that arrives before the grant', async () => {
    const { client } = clientWith(async (request, self) => {
      self().revoke(request.grant)
      return granted(request)
    })
    const grant = await client.acquire(slotRequest)
    expect(grant.ok && grant.value.revoked.aborted).to.equal(true)
    client.dispose()
  })

  it('releases a slot that is granted after the request was cancelled', async () => {
    const gone = new AbortController()
    let answer: ((value: AcquireResponse) => void) | undefined
    let asked: AcquireRequest | undefined
    const { client, released } = clientWith(async (request) => await new Promise((resolve) => {
      asked = request
      answer = resolve
    }))
    const waiting = client.acquire({ ...slotRequest, signal: gone.signal })
    await new Promise((resolve) => setTimeout(resolve, 5))
    gone.abort()
    expect((await waiting).ok).to.equal(false)
    await new Promise((resolve) => setTimeout(resolve, 5))
    released.length = 0
    if (asked !== undefined) answer?.(granted(asked))
    await new Promise((resolve) => setTimeout(resolve, 5))
    expect(released).to.deep.equal([asked?.grant])
    client.dispose()
  })

  it('asks the next home at once if the home refuses the connection', async () => {
    // Guards against requests that wait for probes of a killed home although its refused connection shows that it has ended.
    const changed = new Emitter<void>()
    const next = { ...home, host: asHostId('next'), address: 'http://next' }
    let current = home
    const services = {
      membership: {
        self: { ...home, host: asHostId('here') },
        onChange: changed.event,
        pressureOf: () => undefined,
        probeNow: () => undefined,
        reportProcessEnded: (host: string) => {
          if (host !== current.host) return
          current = next
          changed.fire()
        }
      },
      directory: { shardsOf: () => [shard] },
      homes: { homeOfShard: () => current },
      localAdmission: {},
      peers: {
        call: async (address: string, method: string, parameters: { request: AcquireRequest }) => {
          if (address === home.address) return failure('targetUnreachable', 'refused')
          return success(method === 'admission.acquire' ? granted(parameters.request) : null)
        }
      },
      handlers: { handle: () => undefined },
      clock: new ManualClock(),
      chance: new NodeRandomSource(1),
      metrics: { count: () => undefined, gauge: () => undefined, timing: () => undefined }
    }
    const client = new GrantClient(services as unknown as GrantClientServices, 1000)
    let answer: Awaited<ReturnType<GrantClient['acquire']>> | undefined
    client.acquire(slotRequest).then((value) => { answer = value }, () => undefined)
    await new Promise((resolve) => setTimeout(resolve, 5))
    expect(answer?.ok).to.equal(true)
    client.dispose()
  })
})
