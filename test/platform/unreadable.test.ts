/** What other writers leave in the store: nothing of it may stop a host, and none of it names a target. */

import { expect } from 'chai'
import fc from 'fast-check'
import { registryProtocol, storeProtocol, targetProtocol } from '../../platform/index.ts'

const entry = { service: 's', addr: '10.0.0.1:80', zone: 'here', version: 'v1', slots: 8, state: 'ready', cold_left_ms: 5, stage: 'both', models: [{ name: 'm', version: 2, adapters: [] }], seq: 3 }
const isTarget = (value: string | undefined): boolean => registryProtocol.target({ key: 'servers/t', value }).ok

/** What a read answers from offset 0 on: end, first offset, and records with their lengths. */
function page (contents: readonly Uint8Array[]): Uint8Array {
  const head = Buffer.alloc(16)
  head.writeBigUInt64BE(BigInt(contents.length), 0)
  return Buffer.concat([head, ...contents.flatMap((content) => {
    const length = Buffer.alloc(4)
    length.writeUInt32BE(content.length)
    return [length, content]
  })])
}

const record = (key: string, value: Uint8Array): Uint8Array => Buffer.concat([Buffer.from([key.length]), Buffer.from(key), value])
const anyText = fc.oneof(fc.string({ unit: 'binary' }), fc.json(), fc.uint8Array().map((bytes) => Buffer.from(bytes).toString('latin1')))

describe('records of other writers', () => {
  it('keep their places in a page, whatever their bytes, and leave the others readable', () => {
    // Symptom: a host no longer followed a topic. A record without bytes, or with a key longer than
    // itself, made the reading of the whole page throw, and every later try met the same record.
    const good = record('good', Buffer.from('{"x":1}'))
    fc.assert(fc.property(fc.array(fc.uint8Array({ maxLength: 40 }), { maxLength: 6 }), fc.uint8Array({ maxLength: 40 }), (before, bytes) => {
      const read = storeProtocol.page(200, page([...before, bytes, good]), 0)
      if (!read.ok || read.value.type !== 'entries') throw new Error('the page is not read')
      expect(read.value.entries.map(({ offset }) => offset)).to.deep.equal([...before, bytes, good].map((_, offset) => offset))
      expect(read.value.entries.at(-1)).to.deep.equal({ key: 'good', value: '{"x":1}', offset: before.length + 1 })
    }), { examples: [[[], new Uint8Array()], [[], Uint8Array.from([200, 97])]] })
  })

  it('read the same from a page of newest records, and name nothing where a value is no text', () => {
    // A value with bytes that are no UTF-8 within a JSON string would else be read as another string.
    const broken = Buffer.from(JSON.stringify({ ...entry, addr: '10.0.0.1:8?' }).replace('?', '\u00ff'), 'latin1')
    const followed = storeProtocol.page(200, page([record('servers/t', broken)]), 0)
    const loaded = storeProtocol.newestPage(200, Buffer.from(JSON.stringify({ items: [{ key: 'servers/t', value: broken.toString('base64'), offset: 0 }], more: false, end: 1 })))
    const value = followed.ok && followed.value.type === 'entries' ? followed.value.entries[0]?.value : undefined
    expect(loaded.ok && loaded.value.entries[0]?.value).to.equal(value)
    expect(value).to.be.a('string')
    expect(isTarget(value)).to.equal(false)
  })

  it('never throw, whatever their text', () => {
    fc.assert(fc.property(fc.oneof(anyText, fc.constantFrom('config', 'op/config', 'version/m', 'op/version/', 'servers/t')), fc.option(anyText, { nil: undefined }), fc.nat(600), (key, value = '', status) => {
      for (const read of [registryProtocol.operatorRecord({ key, value }), registryProtocol.target({ key, value }), targetProtocol.report(status, value), targetProtocol.report(200, value), storeProtocol.newestPage(200, Buffer.from(value))]) expect(read.ok).to.be.a('boolean')
    }))
  })
})
