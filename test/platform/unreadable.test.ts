/** Tests that records of other writers in the store neither stop a host nor register a target. */

import { expect } from 'chai'
import fc from 'fast-check'
import { registryProtocol, storeProtocol, targetProtocol } from '../../platform/index.ts'
import { configuration } from './support/fleet.ts'

const entry = { service: 's', addr: '10.0.0.1:80', zone: 'here', version: 'v1', slots: 8, state: 'ready', cold_left_ms: 5, stage: 'both', models: [{ name: 'm', version: 2, adapters: [] }], seq: 3 }
const without = (name: string): object => Object.fromEntries(Object.entries(entry).filter(([key]) => key !== name))
const isTarget = (value: string | undefined): boolean => registryProtocol.target({ key: 'servers/t', value }).ok

/** Encodes a read response from offset 0: the end offset, the first retained offset, and length-prefixed records. */
function encodePage (contents: readonly Uint8Array[]): Uint8Array {
  const head = Buffer.alloc(16)
  head.writeBigUInt64BE(BigInt(contents.length), 0)
  return Buffer.concat([head, ...contents.flatMap((content) => {
    const length = Buffer.alloc(4)
    length.writeUInt32BE(content.length)
    return [length, content]
  })])
}

const encodeRecord = (key: string, value: Uint8Array): Uint8Array => Buffer.concat([Buffer.from([key.length]), Buffer.from(key), value])
const anyText = fc.oneof(fc.string({ unit: 'binary' }), fc.json(), fc.uint8Array().map((bytes) => Buffer.from(bytes).toString('latin1')))

describe('records of other writers', () => {
  it('keep their offsets in a page, whatever their bytes, and leave other records readable', () => {
    // Guards against a host that stops following a topic: an empty record, or one whose key length exceeds
    // the record, made the decoding of the page throw, and every retry met the same record.
    const good = encodeRecord('good', Buffer.from('{"x":1}'))
    fc.assert(fc.property(fc.array(fc.uint8Array({ maxLength: 40 }), { maxLength: 6 }), fc.uint8Array({ maxLength: 40 }), (before, bytes) => {
      const read = storeProtocol.decodePage(200, encodePage([...before, bytes, good]), 0)
      if (!read.ok || read.value.type !== 'entries') throw new Error('the page cannot be decoded')
      expect(read.value.entries.map(({ offset }) => offset)).to.deep.equal([...before, bytes, good].map((_, offset) => offset))
      expect(read.value.entries.at(-1)).to.deep.equal({ key: 'good', value: '{"x":1}', offset: before.length + 1 })
    }), { examples: [[[], new Uint8Array()], [[], Uint8Array.from([200, 97])]] })
  })

  it('decode to the same value from a page of newest records, and register no target if the value is not valid UTF-8', () => {
    // Otherwise a JSON string with bytes that are not valid UTF-8 would be decoded as a different string.
    const broken = Buffer.from(JSON.stringify({ ...entry, addr: '10.0.0.1:8?' }).replace('?', '\u00ff'), 'latin1')
    const followed = storeProtocol.decodePage(200, encodePage([encodeRecord('servers/t', broken)]), 0)
    const loaded = storeProtocol.decodeNewestPage(200, Buffer.from(JSON.stringify({ items: [{ key: 'servers/t', value: broken.toString('base64'), offset: 0 }], more: false, end: 1 })))
    const value = followed.ok && followed.value.type === 'entries' ? followed.value.entries[0]?.value : undefined
    expect(loaded.ok && loaded.value.entries[0]?.value).to.equal(value)
    expect(value).to.be.a('string')
    expect(isTarget(value)).to.equal(false)
  })

  it('register no target if a field is missing or has an invalid type or value', () => {
    const changes: Record<string, object> = {
      'no service': without('service'),
      'no address': without('addr'),
      'no place': without('zone'),
      'no slots': without('slots'),
      'no state': without('state'),
      'no version of its software': without('version'),
      'no time until it is warm': without('cold_left_ms'),
      'no sequence': without('seq'),
      'a sequence that is a text': { ...entry, seq: '3' },
      'a service that is a number': { ...entry, service: 3 },
      'slots that are a text': { ...entry, slots: '8' },
      'half a slot': { ...entry, slots: 0.5 },
      'less than no slots': { ...entry, slots: -1 },
      'an empty address': { ...entry, addr: '' },
      'an address without a port': { ...entry, addr: '10.0.0.1' },
      'an address that is a path': { ...entry, addr: '10.0.0.1:80/x' },
      'an address whose port is too large': { ...entry, addr: '10.0.0.1:81640' },
      'an address whose port is 0': { ...entry, addr: '10.0.0.1:0' },
      'an address that is a name': { ...entry, addr: 'target:80' },
      'an address that is a number': { ...entry, addr: 167_772_161 },
      'a state that is not named': { ...entry, state: 'resting' },
      'models that are no list': { ...entry, models: 'm' },
      'a model without a version': { ...entry, models: [{ name: 'm' }] },
      'a version that is no whole number': { ...entry, models: [{ name: 'm', version: 1.5 }] },
      'a start that is a text': { ...entry, born: '1700000000000' },
      'a start that is no whole number': { ...entry, born: 1.5 },
      'a start that is nothing': { ...entry, born: null },
      'a list': [entry]
    }
    const readable = Object.entries(changes).filter(([, value]) => isTarget(JSON.stringify(value))).map(([name]) => name)
    expect(readable).to.deep.equal([])
    expect([JSON.stringify(entry), JSON.stringify({ ...entry, state: 'draining' })].map(isTarget)).to.deep.equal([true, true])
    for (const value of ['', '{', 'null', '7', '\ufffd', undefined]) expect(isTarget(value)).to.equal(false)
  })

  it('never make a decoder throw, whatever their text', () => {
    fc.assert(fc.property(fc.oneof(anyText, fc.constantFrom('config', 'op/config', 'version/m', 'op/version/', 'servers/t')), fc.option(anyText, { nil: undefined }), fc.nat(600), (key, value = '', status) => {
      for (const read of [registryProtocol.operatorRecord({ key, value }), registryProtocol.target({ key, value }), targetProtocol.report(status, value), targetProtocol.report(200, value), storeProtocol.decodeNewestPage(200, Buffer.from(value))]) expect(read.ok).to.be.a('boolean')
    }))
  })

  it('are not accepted as a configuration or named version if a field has an invalid type', () => {
    const whole = configuration(3)
    const isAccepted = (key: string, value: object): boolean => {
      const read = registryProtocol.operatorRecord({ key, value: JSON.stringify(value) })
      return read.ok && read.value.type !== 'other'
    }
    expect(isAccepted('config', whole)).to.equal(true)
    expect([{ ...whole, version: '4' }, { ...whole, version: 4.5 }, { ...whole, routes: {} }, { ...whole, services: [{ name: 1 }] }, { ...whole, limits: { max_body_bytes: 'all' } }].map((value) => isAccepted('config', value))).to.deep.equal(Array(5).fill(false))
    expect([{ model: 'm', version: 4 }, { model: 'm', version: '4' }, { model: 'm', version: 4.5 }, { model: 'm', version: -1 }, { version: 4 }].map((value) => isAccepted('version/m', value))).to.deep.equal([true, false, false, false, false])
  })
})
