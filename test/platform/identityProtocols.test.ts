/** Tests the encoding and decoding of keys, workspaces and usage reports with valid, unusual and invalid input. */

import { expect } from 'chai'
import { dutyProtocol, frontProtocol, registryProtocol, targetProtocol } from '../../platform/index.ts'
import { digestKey } from '../../platform/keys.ts'
import { asWorkspaceName } from '../../src/base/common/ids.ts'
import { configuration } from './support/fleet.ts'

const acme = asWorkspaceName('acme')

function decodeWorkspaces (tenants: unknown): string {
  const read = registryProtocol.operatorRecord({ key: 'config', value: JSON.stringify({ ...configuration(3), tenants }) })
  if (!read.ok) return read.message.replaceAll(/\s+/g, ' ').slice(0, 200)
  return read.value.type === 'configuration' ? JSON.stringify(read.value.configuration.workspaces ?? 'none') : read.value.type
}

describe('the protocol of keys', () => {
  it('reads a key from its header, and describes invalid headers', () => {
    const received = {
      none: ['Host', 'h'],
      one: ['AUTHORIZATION', 'Token k1'],
      'in another case': ['authorization', 'token  k1 '],
      'no scheme': ['Authorization', 'k1'],
      'another scheme': ['Authorization', 'Bearer k1'],
      'two words': ['Authorization', 'Token k1 k2'],
      'no key': ['Authorization', 'Token '],
      two: ['Authorization', 'Token k1', 'Authorization', 'Token k1'],
      'as the value of another header': ['X-Name', 'Authorization']
    }
    const read = Object.fromEntries(Object.entries(received).map(([name, headers]) => {
      const key = frontProtocol.presentedKey(headers)
      return [name, key.type === 'key' ? `key ${key.digest === digestKey('k1') ? 'k1' : 'another'}` : key.type === 'unusable' ? key.why : key.type]
    }))
    expect(read).toMatchSnapshot()
  })

  it('reads workspaces without their keys, and rejects configurations with ambiguous keys', () => {
    expect(decodeWorkspaces([{ name: 'acme', api_keys: ['k1', 'k2'], priority: 1 }, { name: 'gone', api_keys: [] }])).to.equal(JSON.stringify([{ name: 'acme', keys: [digestKey('k1'), digestKey('k2')], priority: 1 }, { name: 'gone', keys: [] }]))
    const broken = {
      absent: undefined,
      'one key in two': [{ name: 'acme', api_keys: ['k1'] }, { name: 'globex', api_keys: ['k1'] }],
      'a name twice': [{ name: 'acme', api_keys: ['k1'] }, { name: 'acme', api_keys: ['k2'] }],
      'an empty name': [{ name: '', api_keys: [] }],
      'a line break in a name': [{ name: 'a\nb', api_keys: [] }],
      'a name beyond ASCII': [{ name: 'Ö', api_keys: [] }],
      'an empty key': [{ name: 'acme', api_keys: [''] }],
      'keys that are no list': [{ name: 'acme', api_keys: 'k1' }]
    }
    expect(Object.fromEntries(Object.entries(broken).map(([name, tenants]) => [name, decodeWorkspaces(tenants)]))).toMatchSnapshot()
  })

  it('sends a target the workspace of the caller regardless of received headers, and no key', () => {
    const received = ['Host', 'h', 'Authorization', 'Token k1', 'bulrushvalve-TENANT', 'globex', 'Bulrushvalve-Tenant', 'other']
    const options = { expectedTarget: 't' }
    expect({
      workspace: targetProtocol.forwardHeaders(received, options, { type: 'workspace', name: acme, priority: undefined }),
      anonymous: targetProtocol.forwardHeaders(received, options, { type: 'anonymous' }),
      open: targetProtocol.forwardHeaders(received, options, { type: 'open' }),
      item: targetProtocol.itemHeaders('h', 'i', { path: '/', headers: { Authorization: 'Token k1', 'BULRUSHVALVE-Tenant': 'globex', 'X-Own': 'kept' }, body: '', scorer: undefined }, options, acme)
    }).toMatchSnapshot()
  })
})

describe('the protocol of duties', () => {
  it('writes reports and classifies responses', () => {
    expect(dutyProtocol.usageReport({ window: 353_445_120, counts: new Map([[acme, 412]]) }, { name: 'front-abdali-1', term: 12 })).toMatchSnapshot()
    expect([200, 204, 400, 408, 409, 429, 500, 503].map((status) => `${status} ${dutyProtocol.dutyVerdict(status)}`)).toMatchSnapshot()
  })
})
