/** How keys, workspaces and reports are read and written: good, odd and broken messages. */

import { expect } from 'chai'
import { dutyProtocol, frontProtocol, registryProtocol, targetProtocol } from '../../platform/index.ts'
import { digestOfKey } from '../../platform/keys.ts'
import { asWorkspaceName } from '../../src/base/common/ids.ts'
import { configuration } from './support/fleet.ts'

const acme = asWorkspaceName('acme')

function configured (tenants: unknown): string {
  const read = registryProtocol.operatorRecord({ key: 'config', value: JSON.stringify({ ...configuration(3), tenants }) })
  if (!read.ok) return read.message.replaceAll(/\s+/g, ' ').slice(0, 200)
  return read.value.type === 'configuration' ? JSON.stringify(read.value.configuration.workspaces ?? 'none') : read.value.type
}

describe('the protocol of keys', () => {
  it('reads a key from its header, and says what is wrong with others', () => {
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
      return [name, key.type === 'key' ? `key ${key.digest === digestOfKey('k1') ? 'k1' : 'another'}` : key.type === 'unusable' ? key.why : key.type]
    }))
    expect(read).toMatchSnapshot()
  })

  it('reads workspaces without their keys, and takes no configuration whose keys cannot be told apart', () => {
    expect(configured([{ name: 'acme', api_keys: ['k1', 'k2'], priority: 1 }, { name: 'gone', api_keys: [] }])).to.equal(JSON.stringify([{ name: 'acme', keys: [digestOfKey('k1'), digestOfKey('k2')], priority: 1 }, { name: 'gone', keys: [] }]))
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
    expect(Object.fromEntries(Object.entries(broken).map(([name, tenants]) => [name, configured(tenants)]))).toMatchSnapshot()
  })

  it('tells a target the workspace, whatever the caller said, and no key', () => {
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
  it('writes reports, and reads what becomes of them', () => {
    expect(dutyProtocol.usageReport({ window: 353_445_120, counts: new Map([[acme, 412]]) }, { name: 'front-abdali-1', term: 12 })).toMatchSnapshot()
    expect([200, 204, 400, 408, 409, 429, 500, 503].map((status) => `${status} ${dutyProtocol.dutyVerdict(status)}`)).toMatchSnapshot()
  })
})
