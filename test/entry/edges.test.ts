/** Bad input at every edge: a numbered error, bounded memory, and the process lives. */

import { once } from 'node:events'
import { connect } from 'node:net'
import { expect } from 'chai'
import type { Cluster, HostAnswer } from '../support/hostProcess.ts'
import { call, keys, waitUntil } from '../support/hostProcess.ts'
import type { Platform } from '../support/platform.ts'
import { startPlatform } from '../support/platform.ts'

describe('the edges', function () {
  this.timeout(20_000)
  let platform: Platform
  let cluster: Cluster

  before(async () => {
    platform = await startPlatform({ engines: 1, services: 1, engine: { stepMs: 30 } })
    cluster = await platform.startCluster([{ name: 'abdali-1', place: 'Abdali' }], { limits: { body_bytes: 20_000, body_timeout: 700, requests: 4, connections: 60 }, log: { freshness: 60_000 } })
    await platform.configure(cluster)
  })

  after(async () => {
    await cluster.stop()
    await platform.close()
  })

  interface Case { readonly name: string, readonly path: string, readonly key?: string, readonly method?: string, readonly body?: unknown, readonly headers?: Record<string, string>, readonly number: number }

  const issuedAt = { 'x-idempotent': 'false', 'x-request-id': 'bad-1' }
  const cases: readonly Case[] = [
    { name: 'an unknown address', path: '/v2/nothing', number: 3003 },
    { name: 'a method that an address does not take', path: '/v1/command', key: keys.operator, number: 3006 },
    { name: 'no key', path: '/v1/command', key: '', body: { statement: 'show pools' }, number: 5001 },
    { name: 'an unknown key', path: '/v1/command', key: 'wrong-key-000', body: { statement: 'show pools' }, number: 5001 },
    { name: "a caller's key for an operator's address", path: '/v1/command', body: { statement: 'show pools' }, number: 5002 },
    { name: "a caller's key for a trainer's address", path: '/v1/subscriptions/drafts/pull', body: { cursor: 0, version: 1 }, number: 5002 },
    { name: "another trainer's subscription", path: '/v1/subscriptions/drafts/pull', key: keys.second, body: { cursor: 0, version: 1 }, number: 5002 },
    { name: "an operator's key for a peer's address", path: '/peer', key: keys.operator, body: {}, number: 5002 },
    { name: 'a body that is not JSON', path: '/v1/lanes/desk/completions', body: '{"prompt":', number: 3001 },
    { name: 'a body of the wrong type', path: '/v1/lanes/desk/completions', body: [1], number: 3001 },
    { name: 'an unknown field', path: '/v1/lanes/desk/completions', body: { prompt: 'x', temperatur: 1 }, number: 3001 },
    { name: 'a negative count', path: '/v1/lanes/desk/completions', body: { prompt: 'x', max_tokens: -1 }, number: 3001 },
    { name: 'a number that is text', path: '/v1/lanes/desk/completions', body: { prompt: 'x', max_tokens: '5' }, number: 3001 },
    { name: 'an oversized body', path: '/v1/lanes/desk/completions', body: { prompt: 'x'.repeat(30_000) }, number: 3002 },
    { name: 'an unknown lane', path: '/v1/lanes/nowhere/completions', body: { prompt: 'x' }, number: 3003 },
    { name: 'a lane named as what all objects inherit', path: '/v1/lanes/__proto__/completions', body: { prompt: 'x' }, number: 3003 },
    { name: 'an unknown subscription', path: '/v1/subscriptions/nothing/pull', key: keys.trainer, body: { cursor: 0, version: 1 }, number: 3003 },
    { name: 'a group named as what all objects inherit', path: '/v1/subscriptions/drafts/groups', key: keys.trainer, body: { groups: [{ id: '__proto__', step: 0, prompt: 'x', samples: 1, issued_at: 1 }] }, number: 3001 },
    { name: 'a cursor from nowhere', path: '/v1/subscriptions/drafts/pull', key: keys.trainer, body: { cursor: 9, version: 1 }, number: 4102 },
    { name: 'a call without its time of issue', path: '/v1/lanes/bookings/services/ledger', method: 'POST', headers: issuedAt, body: {}, number: 3001 },
    { name: 'a time of issue that is no number', path: '/v1/lanes/bookings/services/ledger', method: 'POST', headers: { ...issuedAt, 'x-issued-at': 'now' }, body: {}, number: 3001 },
    { name: 'a marking that is neither true nor false', path: '/v1/lanes/bookings/services/ledger', method: 'POST', headers: { 'x-idempotent': 'maybe' }, body: {}, number: 3001 },
    { name: 'a deadline that is no number', path: '/v1/lanes/bookings/services/ledger', headers: { 'x-deadline-ms': '-5' }, number: 3001 },
    { name: 'a statement that does not parse', path: '/v1/command', key: keys.operator, body: { statement: 'show targets were x = 1' }, number: 3004 },
    { name: 'an oversized statement', path: '/v1/command', key: keys.operator, body: { statement: 'x'.repeat(5000) }, number: 3002 },
    { name: 'a target of an unknown pool', path: '/v1/command', key: keys.operator, body: { statement: 'create target t pool nothing address "http://127.0.0.1:1" place Abdali' }, number: 3003 },
    { name: 'a property of the wrong type', path: '/v1/command', key: keys.operator, body: { statement: 'create pool p copies many' }, number: 3001 },
    { name: 'the removal of what is in use', path: '/v1/command', key: keys.operator, body: { statement: 'remove pool drafter' }, number: 4003 },
    { name: 'a pool made twice', path: '/v1/command', key: keys.operator, body: { statement: 'create pool drafter copies 1' }, number: 4002 }
  ]

  function numberOf (answer: HostAnswer): number {
    return (answer.body.error as { number: number }).number
  }

  for (const { name, path, number, ...options } of cases) {
    it(`answer ${number} to ${name}`, async () => {
      expect(numberOf(await call(cluster.host(0).address, path, options))).to.equal(number)
    })
  }

  async function raw (bytes: string, endAfterMs = 3000): Promise<string> {
    const { port } = new URL(cluster.host(0).address)
    const socket = connect(Number(port), '127.0.0.1')
    let received = ''
    socket.on('data', (data) => { received += data.toString() })
    socket.on('error', () => undefined)
    socket.write(bytes)
    await Promise.race([once(socket, 'close'), new Promise((resolve) => setTimeout(resolve, endAfterMs))])
    socket.destroy()
    return received
  }

  it('answer 3001 to what is not HTTP', async () => {
    expect(await raw('nonsense\r\n\r\n')).to.contain('"number":3001')
  })

  it('answer 3007 to a body that does not arrive in time', async () => {
    const head = `POST /v1/lanes/desk/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${keys.caller}\r\ncontent-length: 100\r\n\r\n{"prompt"`
    expect(await raw(head, 5000)).to.contain('"number":3007')
  })

  it('answer 3002 to a body that grows past the limit without a length', async () => {
    const chunk = `${(16_000).toString(16)}\r\n${'x'.repeat(16_000)}\r\n`
    const head = `POST /v1/lanes/desk/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${keys.caller}\r\ntransfer-encoding: chunked\r\n\r\n`
    expect(await raw(head + chunk + chunk)).to.contain('"number":3002')
  })

  it('answer 1010 at once when too many requests are in flight, saying when to come back', async () => {
    const long = Array.from({ length: 4 }, async () => await call(cluster.host(0).address, '/v1/lanes/desk/completions', { body: { prompt: 'a long answer', max_tokens: 60 } }))
    await waitUntil(() => platform.engines[0]?.engine.runs.filter(({ state }) => state === 'running').length === 4, 3000, 'four run')
    const answer = await call(cluster.host(0).address, '/v1/lanes/desk/completions', { body: { prompt: 'x' } })
    expect(answer.body.error).to.include({ number: 1010, effect: 'not-run' })
    expect(Number(answer.headers['retry-after'])).to.be.at.least(1)
    expect((await Promise.all(long)).map(({ status }) => status)).to.deep.equal([200, 200, 200, 200])
  })

  it('drop connections past the limit and live', async () => {
    const { port } = new URL(cluster.host(0).address)
    const sockets = Array.from({ length: 100 }, () => connect(Number(port), '127.0.0.1').on('error', () => undefined))
    await new Promise((resolve) => setTimeout(resolve, 300))
    for (const socket of sockets) socket.destroy()
    await waitUntil(async () => (await cluster.host(0).health()).fresh === true, 5000, 'the host answers')
    expect(cluster.host(0).running).to.equal(true)
  })

  it('keep a host alive through records that nobody can read', async () => {
    platform.log.log.append('control', 'not an envelope')
    platform.log.log.append('control', JSON.stringify({ v: 1, records: [{ kind: 'pull' }, null, 7] }))
    await cluster.order('set lane desk priority 4')
    const [lane] = await cluster.host(0).rows('show lanes where name = desk')
    expect(lane?.priority).to.equal(4)
  })
})
