/** Tests the encoding and decoding of the platform's messages with valid, unusual and invalid input. */

import { expect } from 'chai'
import fc from 'fast-check'
import { dutyProtocol, frontProtocol, unkeyedLogProtocol, registryProtocol, storeProtocol, targetProtocol } from '../../platform/index.ts'
import { configuration } from './support/fleet.ts'

const json = (value: unknown): Uint8Array => Buffer.from(JSON.stringify(value))

/** Encodes a read response: the end offset, the first retained offset, and length-prefixed records. */
function encodePage (end: number, first: number, contents: readonly Buffer[]): Uint8Array {
  const head = Buffer.alloc(16)
  head.writeBigUInt64BE(BigInt(end), 0)
  head.writeBigUInt64BE(BigInt(first), 8)
  return Buffer.concat([head, ...contents.flatMap((content) => {
    const length = Buffer.alloc(4)
    length.writeUInt32BE(content.length)
    return [length, content]
  })])
}

describe('the protocol of the store', () => {
  it('reads back what it writes', () => {
    fc.assert(fc.property(fc.array(fc.record({ key: fc.string({ minLength: 1, maxLength: 30, unit: 'grapheme-ascii' }), value: fc.option(fc.string({ minLength: 1, unit: 'grapheme' }), { nil: undefined }) }), { minLength: 1, maxLength: 8 }), fc.nat(1000), (records, from) => {
      const { body = new Uint8Array() } = storeProtocol.append('keyed.t', records)
      const read = storeProtocol.decodePage(200, Buffer.concat([encodePage(from + records.length, 0, []), body]), from)
      expect(read.ok && read.value).to.deep.equal({ type: 'entries', end: from + records.length, entries: records.map((record, index) => ({ ...record, offset: from + index })) })
    }))
  })

  it('encodes read requests', () => {
    expect([storeProtocol.read('keyed.t', 7, 500), storeProtocol.newest('keyed.t', undefined), storeProtocol.newest('keyed.t', 'a/b c'), unkeyedLogProtocol.read('t', 3), unkeyedLogProtocol.trim('t', 12)]).toMatchSnapshot()
  })

  it('reads pages of newest records', () => {
    const answer = { items: [{ key: 'a', value: Buffer.from('{"x":1}').toString('base64'), offset: 4 }, { key: 'b', value: '', offset: 5 }], more: true, end: 9 }
    expect(storeProtocol.decodeNewestPage(200, json(answer))).to.deep.equal({ ok: true, value: { entries: [{ key: 'a', value: '{"x":1}', offset: 4 }, { key: 'b', value: undefined, offset: 5 }], end: 9, next: 'b' } })
  })

  it('detects by status or by the first offset that entries are no longer retained', () => {
    expect(storeProtocol.decodePage(410, json({ first: 9 }), 3)).to.deep.equal({ ok: true, value: { type: 'forgotten' } })
    expect(storeProtocol.decodePage(200, encodePage(9, 5, []), 3)).to.deep.equal({ ok: true, value: { type: 'forgotten' } })
    expect(unkeyedLogProtocol.decodePage(410, json({ first: 9 }))).to.deep.equal({ ok: true, value: { type: 'forgotten', first: 9 } })
  })

  for (const [status, code] of [[429, 'logUnavailable'], [503, 'logUnavailable'], [507, 'logUnavailable'], [409, 'logUnavailable'], [500, 'commandUnknown'], [502, 'commandUnknown']] as const) {
    it(`treats an append with status ${status} as ${code === 'logUnavailable' ? 'not done' : 'possibly done'}`, () => {
      const answer = storeProtocol.decodeAppended(status, json({}))
      expect(answer.ok ? '' : answer.code).to.equal(code)
    })
  }

  it('fails on responses that it cannot decode', () => {
    for (const body of ['', '{', '{"offset":"x"}', '[]']) {
      expect(storeProtocol.decodeAppended(200, Buffer.from(body)).ok).to.equal(false)
      expect(storeProtocol.decodeNewestPage(200, Buffer.from(body)).ok).to.equal(false)
      expect(storeProtocol.decodePage(200, Buffer.from(body), 0).ok).to.equal(false)
    }
  })

  it('ignores a truncated record', () => {
    const whole = encodePage(2, 0, [Buffer.from([1, 97, 98]), Buffer.from([1, 97, 98])])
    const read = storeProtocol.decodePage(200, whole.subarray(0, whole.length - 1), 0)
    expect(read.ok && read.value.type === 'entries' && read.value.entries).to.have.length(1)
  })
})

describe('the protocol of the registry', () => {
  it('reads a configuration', () => {
    expect(registryProtocol.operatorRecord({ key: 'config', value: JSON.stringify(configuration(3, { entry: { service: undefined, split: [{ service: 'a', weight: 90 }, { service: 'b', weight: 10 }] }, chat: { single_version: true } })) })).toMatchSnapshot()
  })

  it('treats an unknown route type as one that must not be repeated', () => {
    const read = registryProtocol.operatorRecord({ key: 'config', value: JSON.stringify(configuration(1, { 'look-up': { route_type: 'keyed' } })) })
    expect(read.ok && read.value.type === 'configuration' && read.value.configuration.routes[0]?.kind).to.equal('once-only')
  })

  it('reads named versions and ignores other records', () => {
    expect(registryProtocol.operatorRecord({ key: 'version/m', value: '{"model":"m","version":4}' })).to.deep.equal({ ok: true, value: { type: 'named-version', named: { model: 'm', version: 4 } } })
    for (const record of [{ key: 'other', value: '{}' }, { key: 'config', value: undefined }]) expect(registryProtocol.operatorRecord(record)).to.deep.equal({ ok: true, value: { type: 'other' } })
  })

  it('fails on invalid records', () => {
    for (const record of [{ key: 'config', value: '{"version":1}' }, { key: 'config', value: '{' }, { key: 'version/m', value: '{"model":3}' }]) expect(registryProtocol.operatorRecord(record).ok).to.equal(false)
    expect(registryProtocol.target({ key: 't', value: '{"service":"s"}' }).ok).to.equal(false)
  })

  it('reads the entry of a target', () => {
    const entry = { service: 's', addr: '10.0.0.1:80', zone: 'here', version: 'v1', slots: 8, state: 'draining', cold_left_ms: 5, stage: 'both', models: [{ name: 'm', version: 2, adapters: [] }], seq: 3 }
    expect(registryProtocol.target({ key: 'i-1', value: JSON.stringify(entry) })).toMatchSnapshot()
  })

  it('reads the announced end of a spot target that drains, and of no other', () => {
    // Guards against a target that is used no longer because of an end that it does not announce, or that registers no more because its end is unreadable.
    const entry = { service: 's', addr: '10.0.0.1:80', zone: 'here', version: 'v1', slots: 8, state: 'draining', cold_left_ms: 0, seq: 3 }
    const read = (details: object): unknown => {
      const target = registryProtocol.target({ key: 'i-1', value: JSON.stringify({ ...entry, ...details }) })
      return target.ok && [target.value.rental, target.value.leavesInMs]
    }
    expect(read({ spot: true, leaves_ms: 2500 })).to.deep.equal(['spot', 2500])
    expect(read({ spot: true, leaves_ms: -3 })).to.deep.equal(['spot', 0])
    expect(read({ spot: false, leaves_ms: 2500, state: 'ready' })).to.deep.equal(['regular', undefined])
    expect(read({ spot: 'no', leaves_ms: 'soon' })).to.deep.equal(['regular', undefined])
    expect(read({ spot: null, leaves_ms: null })).to.deep.equal(['regular', undefined])
  })
})

describe('the scaling of a service', () => {
  const scaling = { min: 1, max: 4, boot_s: 1.5, spot_price: 0.3, zone_prices: { a: 1, b: 1.2 } }
  const services = (stated: unknown): unknown => {
    const configuration = { version: 1, routes: [{ name: 'r', host: 'h', path_prefix: '/', route_type: 'idempotent', service: 's' }], services: [{ name: 's', scaling: stated }] }
    const record = registryProtocol.operatorRecord({ key: 'op/config', value: JSON.stringify(configuration) })
    return record.ok && record.value.type === 'configuration' && record.value.configuration.routes.length === 1 && record.value.configuration.services
  }

  it('is read with its prices', () => {
    expect(services(scaling)).to.deep.equal([{ name: 's', maximumConnections: 64, engine: undefined, scaling: { type: 'bounded', bounds: { minimum: 1, maximum: 4, bootMs: 1500, spotPrice: 0.3, prices: new Map([['a', 1], ['b', 1.2]]) } } }])
  })

  it('is absent where the configuration states none', () => {
    for (const stated of [undefined, null]) expect(services(stated)).to.deep.equal([{ name: 's', maximumConnections: 64, engine: undefined }])
  })

  it('is unreadable alone: the routes of the record remain in force', () => {
    // Guards against a configuration that is rejected as a whole because of its scaling.
    const invalid = [{ min: 5 }, { min: -1 }, { max: 1.5 }, { boot_s: -1 }, { spot_price: -0.1 }, { zone_prices: {} }, { zone_prices: { a: -1 } }, { zone_prices: { '': 1 } }, { zone_prices: undefined }, { max: 'many' }]
    for (const stated of [...invalid.map((details) => ({ ...scaling, ...details })), 'on', 3, []]) {
      const [service] = services(stated) as [{ scaling: { type: string } }]
      expect(service.scaling.type, JSON.stringify(stated)).to.equal('unreadable')
    }
  })
})

describe('the protocol of duties', () => {
  it('orders a number of targets of one kind in one failure domain', () => {
    const holder = { name: 'n-1', term: 7 }
    const headers = ['content-type', 'application/json', 'Bulrushvalve-Duty-Holder', 'n-1', 'Bulrushvalve-Fence-Token', '7']
    const order = (rental: 'regular' | 'spot'): unknown => {
      const { path, headers: sent, body } = dutyProtocol.scaleOrder({ service: 's', place: 'a', rental, count: 3 }, holder)
      return { path, headers: sent.map((value, index) => index > 1 && index % 2 === 0 ? value.toLowerCase() : value), body }
    }
    const expected = headers.map((value, index) => index > 1 && index % 2 === 0 ? value.toLowerCase() : value)
    expect(order('regular')).to.deep.equal({ path: '/scale', headers: expected, body: '{"service":"s","zone":"a","group_count":3}' })
    expect(order('spot')).to.deep.equal({ path: '/scale', headers: expected, body: '{"service":"s","zone":"a","group_count":3,"spot":true}' })
  })

  it('distinguishes missing targets from limits and rejections', () => {
    // Guards against a 409 that is repeated at once, against a limit that excludes a failure domain, and against a failure that is taken for an order without effect.
    expect([200, 202, 409, 429, 503, 408, 412, 400, 404].map((status) => dutyProtocol.scaleVerdict(status))).to.deep.equal(['accepted', 'accepted', 'unavailable', 'later', 'no-answer', 'no-answer', 'later', 'rejected', 'rejected'])
  })

  it('accepts such orders only where the platform lists the duty', () => {
    expect([[], ['usage'], ['usage', 'autoscale']].map((duties) => dutyProtocol.acceptsScaling(duties))).to.deep.equal([false, false, true])
  })
})

describe('the protocol of callers', () => {
  const decodeRequest = (method: string, path: string, query = '', headers = {}): unknown => frontProtocol.request(method, path, new URLSearchParams(query), headers)

  it('distinguishes requests', () => {
    expect([
      decodeRequest('GET', '/lots/s', 'after=3', { 'bulrushvalve-wait-ms': '1000' }),
      decodeRequest('GET', '/lots/s'),
      decodeRequest('DELETE', '/lots/s'),
      decodeRequest('GET', '/items/s', 'id=i'),
      decodeRequest('POST', '/a/b', '', { 'bulrushvalve-request-id': 'r', 'bulrushvalve-deadline-ms': '2000', 'last-event-id': '4' }),
      decodeRequest('POST', '/lots/s'),
      decodeRequest('GET', '/lots/s/more'),
      decodeRequest('GET', '/a', '', { 'bulrushvalve-deadline-ms': 'soon' })
    ]).toMatchSnapshot()
  })

  for (const after of ['-1', '1.5', 'x', '1e99x']) {
    it(`refuses to read after ${after}`, () => { expect(frontProtocol.request('GET', '/lots/s', new URLSearchParams({ after }), {}).ok).to.equal(false) })
  }

  const submission = { step: 7, model: 'm', min_version: 6, group_count: 2, items: [{ id: 'a', path: '/steps/a', headers: { 'Bulrushvalve-Token-Usage': '540,400', 'bulrushvalve-length-hint': '123' }, body: 'q83v', tokens: 940, group: 'g', scorer: { id: 'c', host: 'h', path: '/p/', body: '3q2+7w==' } }, { id: 'b', path: '/steps/b', headers: { 'Bulrushvalve-Token-Usage': '540,400' }, body: '', tokens: 940, group: 'g' }] }

  it('reads a submission', () => {
    expect(frontProtocol.submission('s', JSON.stringify(submission))).toMatchSnapshot()
  })

  for (const [name, change] of Object.entries({
    'without items': { items: [] },
    'with an item without a path': { items: [{ id: 'a' }] },
    'with the same item twice': { items: [submission.items[0], submission.items[0]] },
    'with a version that is not a number': { min_version: 'six' }
  })) {
    it(`refuses a submission ${name}`, () => {
      const read = frontProtocol.submission('s', JSON.stringify({ ...submission, ...change }))
      expect(read.ok ? '' : read.code).to.equal('malformed')
    })
  }

  for (const { name, change } of [
    { name: 'a path with a line break', change: { path: '/a\nb' } },
    { name: 'a path with a space', change: { path: '/a b' } },
    { name: 'a path with characters beyond Latin-1', change: { path: '/\u4e00' } },
    { name: 'a header name with a space', change: { headers: { 'a b': 'c' } } },
    { name: 'an empty header name', change: { headers: { '': 'c' } } },
    { name: 'a header value with a line break', change: { headers: { a: 'b\r\nc: d' } } },
    { name: 'a header value with characters beyond Latin-1', change: { headers: { a: '\u4e00' } } },
    { name: 'an empty id', change: { id: '' } },
    { name: 'an id with a line break', change: { id: 'a\nb' } },
    { name: 'an id that ends with a space', change: { id: 'a ' } },
    { name: 'an id that is no well-formed text', change: { id: 'a\ud800' } },
    { name: 'a scorer with a path without a slash', change: { scorer: { id: 'c', host: 'h', path: 'p' } } },
    { name: 'a scorer with a host with a line break', change: { scorer: { id: 'c', host: 'h\n', path: '/p' } } },
    { name: 'a scorer with an id with a line break', change: { scorer: { id: 'c\n', host: 'h', path: '/p' } } }
  ]) {
    it(`refuses a submission with ${name}`, () => {
      // Guards against an item that is accepted although its request, or that of its scorer, cannot be sent to any target.
      const read = frontProtocol.submission('s', JSON.stringify({ ...submission, items: [{ ...submission.items[0], ...change }] }))
      expect(read.ok ? '' : `${read.code} ${read.message}`).to.match(/^malformed the submission cannot be read: items\.0\./)
    })
  }

  it('accepts all characters that HTTP allows', () => {
    // Guards against the rejection of a step whose items engines can run.
    const change = { id: 'a-\u00e9 1', path: '/a?b=%20&c=[\u00fc]', headers: { 'x-!#$%&\'*+.^_`|~1': 'a "b"\t\u00ff', empty: '' }, scorer: { id: 'c', host: '[::1]:80', path: '/' } }
    expect(frontProtocol.submission('s', JSON.stringify({ ...submission, items: [{ ...submission.items[0], ...change }] })).ok).to.equal(true)
  })

  it('refuses a submission that is not JSON', () => { expect(frontProtocol.submission('s', '{').ok).to.equal(false) })

  it('writes results up to the size limit of a response', () => {
    const result = (item: string, text: string) => ({ item, state: 'complete' as const, text, versions: [1, 2], score: 'x' })
    expect(frontProtocol.results(4, [result('a', 'one'), { item: 'b', state: 'lost', text: '', versions: [], score: undefined }], 1)).toMatchSnapshot()
    const long = frontProtocol.results(9, [result('a', 'x'.repeat(950_000)), result('b', 'y')], 0)
    expect(JSON.parse(long.body)).to.include({ next: 1 })
    const many = JSON.parse(frontProtocol.results(9, Array.from({ length: 9 }, (_, index) => result(String(index), 'z'.repeat(200_000))), 0).body) as { next: number, results: unknown[] }
    expect([many.next, many.results.length]).to.deep.equal([4, 4])
  })
})

describe('the protocol of targets', () => {
  it('forwards headers, except for hop-by-hop headers and those that the host sets itself', () => {
    const received = ['Host', 'h', 'Connection', 'keep-alive, x-hop', 'X-Hop', '1', 'X-Own', 'kept', 'Bulrushvalve-Deadline-Ms', '9', 'Bulrushvalve-Request-Id', 'r', 'Transfer-Encoding', 'chunked', 'Content-Length', '3', 'Bulrushvalve-Expect-Instance', 'forged']
    expect(targetProtocol.forwardHeaders(received, { expectedTarget: 't', remainingMs: 5.7 }, { type: 'open' })).to.deep.equal(['Host', 'h', 'X-Own', 'kept', 'Bulrushvalve-Request-Id', 'r', 'bulrushvalve-expect-instance', 't', 'bulrushvalve-deadline-ms', '5'])
  })

  it('reads heads of responses', () => {
    expect([
      targetProtocol.responseHead(200, { 'bulrushvalve-request-id': 'r', 'bulrushvalve-response-seal': 's', 'bulrushvalve-server-load': '3,0,8', 'bulrushvalve-weight-versions': '4' }),
      targetProtocol.responseHead(503, { 'bulrushvalve-not-run': '1' }),
      targetProtocol.responseHead(421, {}),
      targetProtocol.responseHead(200, { 'bulrushvalve-server-load': 'much' })
    ]).toMatchSnapshot()
  })

  it('reads the load figures of a target, and ignores a load header with an invalid figure as a whole', () => {
    // Guards against a target that looks idle or infinitely fast because one figure of its report is wrong.
    const read = (value: string): unknown => {
      const { load, isLoadUnreadable } = targetProtocol.responseHead(200, { 'bulrushvalve-server-load': value })
      return isLoadUnreadable === true ? 'unreadable' : load
    }
    expect(['3,0,8', '3,0,8,250', '0,0,0,0', ' 1 , 2 , 6 , 100 ', '1000000,0,6,1000000'].map(read)).to.deep.equal([
      { running: 3, waiting: 0, slots: 8 },
      { running: 3, waiting: 0, slots: 8, slowdown: 2.5 },
      { running: 0, waiting: 0, slots: 0, slowdown: 0 },
      { running: 1, waiting: 2, slots: 6, slowdown: 1 },
      { running: 1_000_000, waiting: 0, slots: 6, slowdown: 10_000 }
    ])
    const invalid = ['', ',', '3', '3,0', '3,0,8,', '3,0,8,x', '3,0,8,-1', '-1,0,8', '3,0,8,1000001', '1000001,0,8,100', 'NaN,0,8', 'Infinity,0,8', '3,,8,100']
    expect(invalid.map(read)).to.deep.equal(invalid.map(() => 'unreadable'))
    expect(targetProtocol.responseHead(200, {})).to.include({ load: undefined }).and.not.have.property('isLoadUnreadable')
  })

  it('reads events', () => {
    expect(targetProtocol.event(new Map([['id', '3'], ['data', 'x'], ['bulrushvalve-weight-versions', '5']]))).to.deep.equal({ id: 3, data: 'x', version: 5 })
    expect(targetProtocol.event(new Map([['data', 'x']]))).to.equal(undefined)
  })

  it('sends no header of an item that concerns a single connection', () => {
    // Guards against items that cannot be sent because they state how a connection is to be used.
    const headers = { Connection: 'x', 'Transfer-Encoding': 'gzip', Upgrade: 'h2c', Expect: 'x', 'Keep-Alive': 'x', TE: 'x', 'Content-Length': '9', A: 'b' }
    const sent = targetProtocol.itemHeaders('h', 'i', { path: '/', headers, body: '', scorer: undefined }, { expectedTarget: 't' }, undefined)
    expect(sent.filter((_, index) => index % 2 === 0)).to.deep.equal(['host', 'bulrushvalve-request-id', 'A', 'bulrushvalve-expect-instance'])
  })

  it('reads the memory of an engine, and ignores an invalid figure', () => {
    // Guards against an engine that is sent nothing, or whose report is not used, because of a figure of its memory.
    const read = (memory: unknown): unknown => {
      const report = targetProtocol.report(200, JSON.stringify({ kv_total: memory }))
      return report.ok ? report.value.memoryTokens : report.code
    }
    expect([90_000, 0, -1, null, '9', undefined].map(read)).to.deep.equal([90_000, ...Array(5).fill(undefined)])
  })

  it('writes orders and reads responses of engines', () => {
    expect(JSON.parse(targetProtocol.order({ named: { model: 'm', version: 2 }, mode: 'finish-first', holder: 'h', term: 3, expectedSequence: 1 }).body)).toMatchSnapshot()
    expect([200, 202, 400, 409, 412, 421].map((status) => targetProtocol.orderVerdict(status))).to.deep.equal(['holds', 'in-progress', 'rejected', 'conflict', 'fenced', 'wrong-target'])
    expect(targetProtocol.report(200, '{"stage":"both","models":[{"name":"m","version":1}],"busy":true,"seq":2,"waiting":1,"running":12}')).toMatchSnapshot()
    expect(targetProtocol.report(200, '{"models":3}').ok).to.equal(false)
    expect(targetProtocol.report(503, '{}').ok).to.equal(false)
  })

  it('reads the start of a target from its entry and from its report', () => {
    const entry = { service: 's', addr: '10.0.0.1:80', zone: 'here', version: 'v1', slots: 8, state: 'ready', cold_left_ms: 0, seq: 3 }
    const incarnationOfEntry = (details: object): unknown => {
      const read = registryProtocol.target({ key: 'i-1', value: JSON.stringify({ ...entry, ...details }) })
      return read.ok ? read.value.incarnation : 'unreadable'
    }
    const incarnationOfReport = (details: object): unknown => {
      const read = targetProtocol.report(200, JSON.stringify({ models: [], busy: false, seq: 0, running: 0, waiting: 0, ...details }))
      return read.ok ? read.value.incarnation : 'unreadable'
    }
    const starts = [{ born: 1_700_000_000_000 }, {}, { born: '1700000000000' }, { born: 1.5 }, { born: -1 }, { born: null }, { born: [1] }]
    const expected = [1_700_000_000_000, undefined, ...Array<string>(5).fill('unreadable')]
    expect(starts.map(incarnationOfEntry)).to.deep.equal(expected)
    expect(starts.map(incarnationOfReport)).to.deep.equal(expected)
  })
})
