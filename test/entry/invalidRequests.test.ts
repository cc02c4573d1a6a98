/** Invalid input at every public interface: the host answers with a numbered error, limits its memory use, and keeps running. */

import { once } from 'node:events'
import { connect } from 'node:net'
import { expect } from 'chai'
import type { Cluster, HostAnswer } from '../support/hostProcess.ts'
import { call, keys, waitUntil } from '../support/hostProcess.ts'
import type { TestPlatform } from '../support/platform.ts'
import { startTestPlatform } from '../support/platform.ts'

describe('a host with invalid input', function () {
  this.timeout(20_000)
  let platform: TestPlatform
  let cluster: Cluster

  before(async () => {
    platform = await startTestPlatform({ engines: 1, services: 1, engine: { stepMs: 30 } })
    cluster = await platform.startCluster([{ name: 'abdali-1', place: 'Abdali' }], { limits: { body_bytes: 20_000, body_timeout: 700, requests: 4, connections: 60 }, log: { freshness: 60_000 } })
    await platform.configure(cluster)
  })

  after(async () => {
    await cluster.stop()
    await platform.close()
  })

  interface InvalidRequest { readonly name: string, readonly path: string, readonly key?: string, readonly method?: string, readonly body?: unknown, readonly headers?: Record<string, string>, readonly number: number }

  const onceHeaders = { 'x-idempotent': 'false', 'x-request-id': 'bad-1' }
  const invalidRequests: readonly InvalidRequest[] = [
    { name: 'an unknown path', path: '/v2/nothing', number: 3003 },
    { name: 'a method that a path does not support', path: '/v1/command', key: keys.operator, number: 3006 },
    { name: 'no key', path: '/v1/command', key: '', body: { statement: 'show pools' }, number: 5001 },
    { name: 'an unknown key', path: '/v1/command', key: 'wrong-key-000', body: { statement: 'show pools' }, number: 5001 },
    { name: "a caller's key for an operator route", path: '/v1/command', body: { statement: 'show pools' }, number: 5002 },
    { name: "a caller's key for a trainer route", path: '/v1/subscriptions/drafts/pull', body: { cursor: 0, version: 1 }, number: 5002 },
    { name: "another trainer's subscription", path: '/v1/subscriptions/drafts/pull', key: keys.second, body: { cursor: 0, version: 1 }, number: 5002 },
    { name: "an operator's key for a peer route", path: '/peer', key: keys.operator, body: {}, number: 5002 },
    { name: 'a body that is not JSON', path: '/v1/lanes/desk/completions', body: '{"prompt":', number: 3001 },
    { name: 'a body of the wrong type', path: '/v1/lanes/desk/completions', body: [1], number: 3001 },
    { name: 'an unknown field', path: '/v1/lanes/desk/completions', body: { prompt: 'x', temperatur: 1 }, number: 3001 },
    { name: 'a negative count', path: '/v1/lanes/desk/completions', body: { prompt: 'x', max_tokens: -1 }, number: 3001 },
    { name: 'a number given as a string', path: '/v1/lanes/desk/completions', body: { prompt: 'x', max_tokens: '5' }, number: 3001 },
    { name: 'an oversized body', path: '/v1/lanes/desk/completions', body: { prompt: 'x'.repeat(30_000) }, number: 3002 },
    { name: 'an unknown lane', path: '/v1/lanes/nowhere/completions', body: { prompt: 'x' }, number: 3003 },
    { name: 'a lane named like an inherited object property', path: '/v1/lanes/__proto__/completions', body: { prompt: 'x' }, number: 3003 },
    { name: 'an unknown subscription', path: '/v1/subscriptions/nothing/pull', key: keys.trainer, body: { cursor: 0, version: 1 }, number: 3003 },
    { name: 'a group named like an inherited object property', path: '/v1/subscriptions/drafts/groups', key: keys.trainer, body: { groups: [{ id: '__proto__', step: 0, prompt: 'x', samples: 1, issued_at: 1 }] }, number: 3001 },
    { name: 'a cursor ahead of the samples handed over', path: '/v1/subscriptions/drafts/pull', key: keys.trainer, body: { cursor: 9, version: 1 }, number: 4102 },
    { name: 'a once-only call without x-issued-at', path: '/v1/lanes/bookings/services/ledger', method: 'POST', headers: onceHeaders, body: {}, number: 3001 },
    { name: 'an x-issued-at that is not a number', path: '/v1/lanes/bookings/services/ledger', method: 'POST', headers: { ...onceHeaders, 'x-issued-at': 'now' }, body: {}, number: 3001 },
    { name: 'an x-idempotent that is neither true nor false', path: '/v1/lanes/bookings/services/ledger', method: 'POST', headers: { 'x-idempotent': 'maybe' }, body: {}, number: 3001 },
    { name: 'an x-deadline-ms that is not a positive number', path: '/v1/lanes/bookings/services/ledger', headers: { 'x-deadline-ms': '-5' }, number: 3001 },
    { name: 'a statement that does not parse', path: '/v1/command', key: keys.operator, body: { statement: 'show targets were x = 1' }, number: 3004 },
    { name: 'an oversized statement', path: '/v1/command', key: keys.operator, body: { statement: 'x'.repeat(5000) }, number: 3002 },
    { name: 'a target in an unknown pool', path: '/v1/command', key: keys.operator, body: { statement: 'create target t pool nothing address "http://127.0.0.1:1" place Abdali' }, number: 3003 },
    { name: 'a property of the wrong type', path: '/v1/command', key: keys.operator, body: { statement: 'create pool p copies many' }, number: 3001 },
    { name: 'the removal of a pool in use', path: '/v1/command', key: keys.operator, body: { statement: 'remove pool drafter' }, number: 4003 },
    { name: 'a pool created twice', path: '/v1/command', key: keys.operator, body: { statement: 'create pool drafter copies 1' }, number: 4002 }
  ]

  function numberOf (answer: HostAnswer): number {
    return (answer.body.error as { number: number }).number
  }

  for (const { name, path, number, ...options } of invalidRequests) {
    it(`returns error ${number} for ${name}`, async () => {
      expect(numberOf(await call(cluster.host(0).address, path, options))).to.equal(number)
    })
  }

  async function sendRaw (bytes: string, endAfterMs = 3000): Promise<string> {
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

  it('returns error 3001 for input that is not HTTP', async () => {
    expect(await sendRaw('nonsense\r\n\r\n')).to.contain('"number":3001')
  })

  it('returns error 3007 for a body that does not arrive in time', async () => {
    const head = `POST /v1/lanes/desk/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${keys.caller}\r\ncontent-length: 100\r\n\r\n{"prompt"`
    expect(await sendRaw(head, 5000)).to.contain('"number":3007')
  })

  it('returns error 3002 for a chunked body that exceeds the limit', async () => {
    const chunk = `${(16_000).toString(16)}\r\n${'x'.repeat(16_000)}\r\n`
    const head = `POST /v1/lanes/desk/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${keys.caller}\r\ntransfer-encoding: chunked\r\n\r\n`
    expect(await sendRaw(head + chunk + chunk)).to.contain('"number":3002')
  })

  it('returns error 1010 with a retry delay at once when too many requests are in flight', async () => {
    const long = Array.from({ length: 4 }, async () => await call(cluster.host(0).address, '/v1/lanes/desk/completions', { body: { prompt: 'a long answer', max_tokens: 60 } }))
    await waitUntil(() => platform.engines[0]?.engine.runs.filter(({ state }) => state === 'running').length === 4, 3000, 'four running completions')
    const answer = await call(cluster.host(0).address, '/v1/lanes/desk/completions', { body: { prompt: 'x' } })
    expect(answer.body.error).to.include({ number: 1010, effect: 'not-run' })
    expect(Number(answer.headers['retry-after'])).to.be.at.least(1)
    expect((await Promise.all(long)).map(({ status }) => status)).to.deep.equal([200, 200, 200, 200])
  })

  it('drops connections over the limit and keeps running', async () => {
    const { port } = new URL(cluster.host(0).address)
    const sockets = Array.from({ length: 100 }, () => connect(Number(port), '127.0.0.1').on('error', () => undefined))
    await new Promise((resolve) => setTimeout(resolve, 300))
    for (const socket of sockets) socket.destroy()
    await waitUntil(async () => (await cluster.host(0).health()).fresh === true, 5000, 'the host to answer')
    expect(cluster.host(0).isRunning).to.equal(true)
  })

  it('skips unreadable log records and keeps running', async () => {
    platform.log.log.append('control', 'not an envelope')
    platform.log.log.append('control', JSON.stringify({ v: 1, records: [{ kind: 'pull' }, null, 7] }))
    await cluster.execute('set lane desk priority 4')
    const [lane] = await cluster.host(0).rows('show lanes where name = desk')
    expect(lane?.priority).to.equal(4)
  })
})
