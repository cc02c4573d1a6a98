/** How the platform's messages are read and written: each call with good, odd and broken messages. */

import { expect } from 'chai'
import fc from 'fast-check'
import { frontProtocol, historyProtocol, registryProtocol, storeProtocol, targetProtocol } from '../../platform/index.ts'
import { configuration } from './support/fleet.ts'

const json = (value: unknown): Uint8Array => Buffer.from(JSON.stringify(value))

/** What a read answers: end, first offset, and records with their lengths. */
function page (end: number, first: number, contents: readonly Buffer[]): Uint8Array {
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
      const read = storeProtocol.page(200, Buffer.concat([page(from + records.length, 0, []), body]), from)
      expect(read.ok && read.value).to.deep.equal({ type: 'entries', end: from + records.length, entries: records.map((record, index) => ({ ...record, offset: from + index })) })
    }))
  })

  it('asks for records', () => {
    expect([storeProtocol.read('keyed.t', 7, 500), storeProtocol.newest('keyed.t', undefined), storeProtocol.newest('keyed.t', 'a/b c'), historyProtocol.read('t', 3), historyProtocol.trim('t', 12)]).toMatchSnapshot()
  })

  it('reads pages of newest records', () => {
    const answer = { items: [{ key: 'a', value: Buffer.from('{"x":1}').toString('base64'), offset: 4 }, { key: 'b', value: '', offset: 5 }], more: true, end: 9 }
    expect(storeProtocol.newestPage(200, json(answer))).to.deep.equal({ ok: true, value: { entries: [{ key: 'a', value: '{"x":1}', offset: 4 }, { key: 'b', value: undefined, offset: 5 }], end: 9, next: 'b' } })
  })

  it('tells that history is gone, by its status or by the first offset', () => {
    expect(storeProtocol.page(410, json({ first: 9 }), 3)).to.deep.equal({ ok: true, value: { type: 'forgotten' } })
    expect(storeProtocol.page(200, page(9, 5, []), 3)).to.deep.equal({ ok: true, value: { type: 'forgotten' } })
    expect(historyProtocol.page(410, json({ first: 9 }))).to.deep.equal({ ok: true, value: { type: 'forgotten', first: 9 } })
  })

  for (const [status, code] of [[429, 'logUnavailable'], [503, 'logUnavailable'], [507, 'logUnavailable'], [409, 'logUnavailable'], [500, 'commandUnknown'], [502, 'commandUnknown']] as const) {
    it(`takes an append answered with ${status} for ${code === 'logUnavailable' ? 'not done' : 'perhaps done'}`, () => {
      const answer = storeProtocol.appended(status, json({}))
      expect(answer.ok ? '' : answer.code).to.equal(code)
    })
  }

  it('takes answers that it cannot read for no answers', () => {
    for (const body of ['', '{', '{"offset":"x"}', '[]']) {
      expect(storeProtocol.appended(200, Buffer.from(body)).ok).to.equal(false)
      expect(storeProtocol.newestPage(200, Buffer.from(body)).ok).to.equal(false)
      expect(storeProtocol.page(200, Buffer.from(body), 0).ok).to.equal(false)
    }
  })

  it('leaves out a record that was cut off', () => {
    const whole = page(2, 0, [Buffer.from([1, 97, 98]), Buffer.from([1, 97, 98])])
    const read = storeProtocol.page(200, whole.subarray(0, whole.length - 1), 0)
    expect(read.ok && read.value.type === 'entries' && read.value.entries).to.have.length(1)
  })
})

describe('the protocol of the registry', () => {
  it('reads a configuration', () => {
    expect(registryProtocol.operatorRecord({ key: 'config', value: JSON.stringify(configuration(3, { entry: { service: undefined, split: [{ service: 'a', weight: 90 }, { service: 'b', weight: 10 }] }, chat: { single_version: true } })) })).toMatchSnapshot()
  })

  it('treats a kind of route that it does not know as one that must not be repeated', () => {
    const read = registryProtocol.operatorRecord({ key: 'config', value: JSON.stringify(configuration(1, { 'look-up': { route_type: 'keyed' } })) })
    expect(read.ok && read.value.type === 'configuration' && read.value.configuration.routes[0]?.kind).to.equal('once-only')
  })

  it('reads named versions and passes over what is not for it', () => {
    expect(registryProtocol.operatorRecord({ key: 'version/m', value: '{"model":"m","version":4}' })).to.deep.equal({ ok: true, value: { type: 'named-version', named: { model: 'm', version: 4 } } })
    for (const record of [{ key: 'other', value: '{}' }, { key: 'config', value: undefined }]) expect(registryProtocol.operatorRecord(record)).to.deep.equal({ ok: true, value: { type: 'other' } })
  })

  it('says what it cannot read', () => {
    for (const record of [{ key: 'config', value: '{"version":1}' }, { key: 'config', value: '{' }, { key: 'version/m', value: '{"model":3}' }]) expect(registryProtocol.operatorRecord(record).ok).to.equal(false)
    expect(registryProtocol.target({ key: 't', value: '{"service":"s"}' }).ok).to.equal(false)
  })

  it('reads the entry of a target', () => {
    const entry = { service: 's', addr: '10.0.0.1:80', zone: 'here', version: 'v1', slots: 8, state: 'draining', cold_left_ms: 5, stage: 'both', models: [{ name: 'm', version: 2, adapters: [] }], seq: 3 }
    expect(registryProtocol.target({ key: 'i-1', value: JSON.stringify(entry) })).toMatchSnapshot()
  })
})

describe('the protocol of callers', () => {
  const ask = (method: string, path: string, query = '', headers = {}): unknown => frontProtocol.request(method, path, new URLSearchParams(query), headers)

  it('tells requests apart', () => {
    expect([
      ask('GET', '/lots/s', 'after=3', { 'bulrushvalve-wait-ms': '1000' }),
      ask('GET', '/lots/s'),
      ask('DELETE', '/lots/s'),
      ask('GET', '/items/s', 'id=i'),
      ask('POST', '/a/b', '', { 'bulrushvalve-request-id': 'r', 'bulrushvalve-deadline-ms': '2000', 'last-event-id': '4' }),
      ask('POST', '/lots/s'),
      ask('GET', '/lots/s/more'),
      ask('GET', '/a', '', { 'bulrushvalve-deadline-ms': 'soon' })
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

  it('refuses a submission that is not JSON', () => { expect(frontProtocol.submission('s', '{').ok).to.equal(false) })

  it('writes results, no more than one answer may hold', () => {
    const result = (item: string, text: string) => ({ item, state: 'complete' as const, text, versions: [1, 2], score: 'x' })
    expect(frontProtocol.results(4, [result('a', 'one'), { item: 'b', state: 'lost', text: '', versions: [], score: undefined }], 1)).toMatchSnapshot()
    const long = frontProtocol.results(9, [result('a', 'x'.repeat(950_000)), result('b', 'y')], 0)
    expect(JSON.parse(long.body)).to.include({ next: 1 })
    const many = JSON.parse(frontProtocol.results(9, Array.from({ length: 9 }, (_, index) => result(String(index), 'z'.repeat(200_000))), 0).body) as { next: number, results: unknown[] }
    expect([many.next, many.results.length]).to.deep.equal([4, 4])
  })
})

describe('the protocol of targets', () => {
  it('passes on headers, but for those of the connection and its own', () => {
    const received = ['Host', 'h', 'Connection', 'keep-alive, x-hop', 'X-Hop', '1', 'X-Own', 'kept', 'Bulrushvalve-Deadline-Ms', '9', 'Bulrushvalve-Request-Id', 'r', 'Transfer-Encoding', 'chunked', 'Content-Length', '3', 'Bulrushvalve-Expect-Instance', 'forged']
    expect(targetProtocol.forwardHeaders(received, { expectedTarget: 't', remainingMs: 5.7 }, { type: 'open' })).to.deep.equal(['Host', 'h', 'X-Own', 'kept', 'Bulrushvalve-Request-Id', 'r', 'bulrushvalve-expect-instance', 't', 'bulrushvalve-deadline-ms', '5'])
  })

  it('reads heads of answers', () => {
    expect([
      targetProtocol.answerHead(200, { 'bulrushvalve-request-id': 'r', 'bulrushvalve-response-seal': 's', 'bulrushvalve-server-load': '3,0,8', 'bulrushvalve-weight-versions': '4' }),
      targetProtocol.answerHead(503, { 'bulrushvalve-not-run': '1' }),
      targetProtocol.answerHead(421, {}),
      targetProtocol.answerHead(200, { 'bulrushvalve-server-load': 'much' })
    ]).toMatchSnapshot()
  })

  it('reads events', () => {
    expect(targetProtocol.event(new Map([['id', '3'], ['data', 'x'], ['bulrushvalve-weight-versions', '5']]))).to.deep.equal({ id: 3, data: 'x', version: 5 })
    expect(targetProtocol.event(new Map([['data', 'x']]))).to.equal(undefined)
  })

  it('writes orders and reads what engines say', () => {
    expect(JSON.parse(targetProtocol.order({ named: { model: 'm', version: 2 }, mode: 'finish-first', holder: 'h', term: 3, ifSequence: 1 }).body)).toMatchSnapshot()
    expect([200, 202, 400, 409, 412, 421].map((status) => targetProtocol.orderVerdict(status))).to.deep.equal(['holds', 'in-progress', 'rejected', 'conflict', 'fenced', 'wrong-target'])
    expect(targetProtocol.report(200, '{"stage":"both","models":[{"name":"m","version":1}],"busy":true,"seq":2,"waiting":1,"running":12}')).toMatchSnapshot()
    expect(targetProtocol.report(200, '{"models":3}').ok).to.equal(false)
    expect(targetProtocol.report(503, '{}').ok).to.equal(false)
  })

  it('reads the start of a target from its entry and from its report', () => {
    const entry = { service: 's', addr: '10.0.0.1:80', zone: 'here', version: 'v1', slots: 8, state: 'ready', cold_left_ms: 0, seq: 3 }
    const ofEntry = (details: object): unknown => {
      const read = registryProtocol.target({ key: 'i-1', value: JSON.stringify({ ...entry, ...details }) })
      return read.ok ? read.value.incarnation : 'unreadable'
    }
    const ofReport = (details: object): unknown => {
      const read = targetProtocol.report(200, JSON.stringify({ models: [], busy: false, seq: 0, running: 0, waiting: 0, ...details }))
      return read.ok ? read.value.incarnation : 'unreadable'
    }
    const starts = [{ born: 1_700_000_000_000 }, {}, { born: '1700000000000' }, { born: 1.5 }, { born: -1 }, { born: null }, { born: [1] }]
    const expected = [1_700_000_000_000, undefined, ...Array<string>(5).fill('unreadable')]
    expect(starts.map(ofEntry)).to.deep.equal(expected)
    expect(starts.map(ofReport)).to.deep.equal(expected)
  })
})
