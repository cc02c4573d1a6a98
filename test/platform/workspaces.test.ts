/** Tests that requests run for the workspace of their API key, and only while the key is valid. */

import { expect } from 'chai'
import { waitUntil } from '../support/hostProcess.ts'
import { rawCall } from '../support/rawCaller.ts'
import type { CallDetails, FleetHost, Reply } from './support/fleet.ts'
import { CALLS_HOST, configuration, Fleet } from './support/fleet.ts'
import type { TargetOptions } from './support/targetStandIn.ts'

const REVOCATION_MS = 1500
const targets: TargetOptions[] = [
  { id: 'e-0', service: 'engines', place: 'place-0', engine: { models: ['m'], eventMs: 10, loadMs: 150 } },
  { id: 'w-0', service: 'app', place: 'place-0' }
]
const workspaces = { acme: ['key-of-acme', 'other-key-of-acme'], globex: ['key-of-globex'] }

function configurationWithKeys (version: number, keys: Record<string, string[]>): object {
  const tenants = Object.entries(keys).map(([name, own]) => ({ name, api_keys: own, priority: 1 }))
  return { ...configuration(version, { score: { public: true } }), tenants }
}

const withKey = (key: string): Pick<CallDetails, 'headers'> => ({ headers: { authorization: `Token ${key}` } })

describe('callers with keys', function () {
  this.timeout(60_000)
  let fleet: Fleet
  let version = 1

  beforeEach(async () => {
    fleet = await Fleet.start(2, targets, { identity: { revocation: REVOCATION_MS } })
    configure(workspaces)
    await waitUntil(async () => (await Promise.all(fleet.hosts.map(async (host) => await lookUp(host, 'key-of-acme')))).every(({ status }) => status === 200), 10_000, 'the workspaces are known')
  })
  afterEach(async () => { await fleet.stop() })

  function configure (keys: Record<string, string[]>): void {
    fleet.store.put('keyed.op', 'config', configurationWithKeys(++version, keys))
  }

  async function lookUp (host: FleetHost, key: string, details: CallDetails = {}): Promise<Reply> {
    return await fleet.call(host, '/look-up/x', { ...details, headers: { ...withKey(key).headers, ...details.headers } })
  }

  const runOf = (id: string): Record<string, unknown> => ({ ...fleet.targets.flatMap(({ runs }) => runs).find((run) => run.id === id)?.headers })
  const resultNumberOf = ({ text }: Reply): number => (JSON.parse(text) as { error: { number: number } }).error.number

  it('run for the workspace of their key, regardless of the headers they send; targets and logs do not see the key', async () => {
    const answer = await lookUp(fleet.host(0), 'key-of-acme', { id: 'call-1', headers: { 'BULRUSHVALVE-tenant': 'globex' } })
    expect(answer.status).to.equal(200)
    expect(runOf('call-1')).to.include({ 'bulrushvalve-tenant': 'acme' }).and.not.have.property('authorization')
    for (const { process } of fleet.hosts) expect(process.output).not.to.include('key-of-acme')
  })

  it('get an error that describes the problem with their key, and none of their requests run', async () => {
    const headers: Record<string, string | undefined> = {
      'no key': undefined,
      'another scheme': 'Bearer key-of-acme',
      'an unknown key': 'Token nobody',
      'no text after the scheme': 'Token',
      'a long key': `Token ${'k'.repeat(8000)}`
    }
    const told: Record<string, string> = {}
    for (const [name, authorization] of Object.entries(headers)) {
      const answer = await fleet.call(fleet.host(0), '/look-up/x', { id: name.replaceAll(' ', '-'), headers: authorization === undefined ? {} : { authorization } })
      told[name] = `${answer.status} ${resultNumberOf(answer)}`
      expect(runOf(name.replaceAll(' ', '-'))).to.deep.equal({})
    }
    const twice = await rawCall({ address: fleet.host(0).address, message: `POST /look-up/x HTTP/1.1\r\nhost: ${CALLS_HOST}\r\nconnection: close\r\nbulrushvalve-request-id: twice\r\nauthorization: Token key-of-acme\r\nauthorization: Token key-of-globex\r\ncontent-length: 0\r\n\r\n` })
    told['two keys'] = twice.text.slice(9, 12)
    expect(told).toMatchSnapshot()
    // The log line is found by the id of the request.
    const line = fleet.host(0).process.output.split('\n').find((text) => text.includes('"an-unknown-key"'))
    expect(line).to.include('call rejected').and.include('unauthenticated').and.include('the key is not known')
  })

  it('need no key on public routes, where a key is not forwarded to targets', async () => {
    expect((await fleet.call(fleet.host(0), '/score/x', { id: 'score-1' })).status).to.equal(200)
    expect((await fleet.call(fleet.host(0), '/score/x', { id: 'score-2', ...withKey('key-of-acme') })).status).to.equal(200)
    expect(runOf('score-2')).to.not.have.any.keys('authorization', 'bulrushvalve-tenant')
  })

  it('submit steps that run for their workspace and are accessible only with keys of that workspace', async () => {
    const submitted = await fleet.call(fleet.host(0), '/steps/step-1', { id: 'step-1', body: fleet.stepBody([[3, 400]]), ...withKey('key-of-acme') })
    expect(submitted.status).to.equal(202)
    await waitUntil(() => runOf('item-0-0')['bulrushvalve-tenant'] === 'acme', 10_000, 'the item runs')
    expect(runOf('item-0-0')).to.not.have.property('authorization')
    // The key that submitted the step is removed: the step continues, and another key of the workspace reads it.
    configure({ ...workspaces, acme: ['other-key-of-acme'] })
    const read = async (key: string, path = '/lots/step-1'): Promise<number> => (await fleet.call(fleet.host(1), path, { method: 'GET', ...withKey(key) })).status
    await waitUntil(async () => await read('key-of-acme') === 401, 5000, 'the key is gone')
    expect(await read('other-key-of-acme')).to.equal(200)
    expect(await read('other-key-of-acme', '/items/step-1?id=item-0-1')).to.equal(200)
    expect([await read('key-of-globex'), await read('key-of-globex', '/items/step-1?id=item-0-1')]).to.deep.equal([404, 404])
    expect((await fleet.call(fleet.host(0), '/lots/step-1', { method: 'DELETE', ...withKey('key-of-globex') })).status).to.equal(404)
    expect((await fleet.call(fleet.host(0), '/lots/step-1', { method: 'DELETE', ...withKey('other-key-of-acme') })).status).to.equal(200)
  })

  it('are served with a newly added key at each host, even before the host has followed the change', async () => {
    for (let round = 0; round < 5; round++) {
      configure({ ...workspaces, globex: ['key-of-globex', `new-key-${round}`] })
      expect((await lookUp(fleet.host(round % 2), `new-key-${round}`)).status).to.equal(200)
    }
  })

  it('are not served with a key that was removed while their host was suspended and requests waited in its sockets', async () => {
    const host = fleet.host(0)
    host.process.freeze()
    // The host cannot learn of the change when it wakes.
    host.storeEndpoint.fault = 'silent'
    configure({ ...workspaces, acme: [] })
    await new Promise((resolve) => setTimeout(resolve, REVOCATION_MS + 200))
    const waiting = Array.from({ length: 5 }, async (_, index) => await lookUp(host, 'key-of-acme', { id: `frozen-${index}` }))
    await new Promise((resolve) => setTimeout(resolve, 200))
    host.process.resume()
    for (const answer of await Promise.all(waiting)) expect([401, 503]).to.include(answer.status)
    for (let index = 0; index < 5; index++) expect(runOf(`frozen-${index}`)).to.deep.equal({})
  })

  it('are rejected with a retry delay while their host cannot reach the store for longer than keys stay valid, and served again soon after', async () => {
    for (const { storeEndpoint } of fleet.hosts) storeEndpoint.fault = 'silent'
    const host = fleet.host(0)
    await new Promise((resolve) => setTimeout(resolve, REVOCATION_MS + 1200))
    const refused = await lookUp(host, 'key-of-acme', { id: 'stale-1' })
    expect([refused.status, resultNumberOf(refused), Number(refused.headers['retry-after']) > 0]).to.deep.equal([503, 1006, true])
    expect(runOf('stale-1')).to.deep.equal({})
    expect((await fleet.call(host, '/score/x')).status).to.equal(200)
    for (const { storeEndpoint } of fleet.hosts) storeEndpoint.fault = 'none'
    await waitUntil(async () => (await lookUp(host, 'key-of-acme')).status === 200, 2000, 'the host serves again')
  })

  it('are served by a host that the store refuses, which reads the store through another host', async () => {
    fleet.host(0).storeEndpoint.fault = 'busy'
    await new Promise((resolve) => setTimeout(resolve, REVOCATION_MS + 1200))
    expect((await lookUp(fleet.host(0), 'key-of-acme')).status).to.equal(200)
    configure({ ...workspaces, acme: [] })
    await waitUntil(async () => (await lookUp(fleet.host(0), 'key-of-acme')).status === 401, 2000, 'the key is gone there too')
  })
})
