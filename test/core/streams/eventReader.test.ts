/** Events of a stream that is split into chunks at arbitrary positions. */

import { expect } from 'chai'
import fc from 'fast-check'
import { EventTooLargeError, MAX_EVENT_BYTES, ServerSentEventReader, endsWithinEvent } from '../../../src/core/common/streams/eventReader.ts'

const stream = 'id: 1\ndata: one\n\nversion-of: 2\nid: 2\ndata: two\ndata: more\n\n: a comment\n\nid: 3\r\ndata: three: 3\r\n\r\n'

const read = (chunks: readonly (string | Uint8Array)[]): { fields: Record<string, string>[], rest: string, raw: string } => {
  const reader = new ServerSentEventReader()
  const events = chunks.flatMap((piece) => reader.push(Buffer.from(piece)))
  return { fields: events.map(({ fields }) => Object.fromEntries(fields)), rest: Buffer.from(reader.rest).toString(), raw: Buffer.concat(events.map(({ raw }) => raw)).toString() }
}

describe('the server-sent event reader', () => {
  it('reads all fields, whether defined by the standard or not', () => {
    expect(read([stream]).fields).to.deep.equal([{ id: '1', data: 'one' }, { 'version-of': '2', id: '2', data: 'two\nmore' }, {}, { id: '3', data: 'three: 3' }])
  })

  it('reads the same events for any split into chunks and keeps the bytes unchanged', () => {
    fc.assert(fc.property(fc.array(fc.integer({ min: 0, max: stream.length }), { maxLength: 8 }), (cutPositions) => {
      const cuts = [0, ...cutPositions.sort((a, b) => a - b), stream.length]
      const pieces = cuts.slice(1).map((cut, index) => stream.slice(cuts[index], cut))
      const { raw, ...rest } = read(pieces)
      expect(raw).to.equal(stream)
      expect(rest).to.deep.equal({ fields: read([stream]).fields, rest: '' })
    }))
  })

  it('keeps invalid UTF-8 and characters that are split between chunks', () => {
    // Guards against altering streams when they are forwarded.
    const bytes = Buffer.concat([Buffer.from('\uFEFFid: 1\ndata: أربعة غرف 🏠\n\n'), Buffer.from([0xff, 0xfe, 0x80, 0x0a, 0x0a, 0xe2, 0x82])])
    for (let cut = 0; cut <= bytes.length; cut++) {
      const reader = new ServerSentEventReader()
      const events = [bytes.subarray(0, cut), bytes.subarray(cut)].flatMap((piece) => reader.push(piece))
      expect(Buffer.concat([...events.map(({ raw }) => raw), reader.rest])).to.deep.equal(bytes)
      expect(events[0]?.fields.get('data')).to.equal('أربعة غرف 🏠')
    }
  })

  it('rejects an event that does not end within the limit, in time that grows with the bytes alone', () => {
    // Guards against a stream that fills the memory of a host, and against copying all buffered bytes for each small chunk.
    const reader = new ServerSentEventReader()
    const chunk = Buffer.from('x'.repeat(16))
    const chunks = MAX_EVENT_BYTES / chunk.length
    const startedAt = performance.now()
    for (let index = 0; index < chunks; index++) expect(reader.push(chunk)).to.have.length(0)
    expect(performance.now() - startedAt).to.be.below(5000)
    expect(reader.rest).to.have.length(MAX_EVENT_BYTES)
    expect(() => reader.push(chunk)).to.throw(EventTooLargeError)
  })

  it('counts empty lines towards the next event', () => {
    // Guards against an endless series of line breaks that is read as millions of events.
    const { fields, raw, rest } = read(['\n\n', '\r\n\nid: 1\n\n\n', '\n'])
    expect([fields, raw, rest]).to.deep.equal([[{ id: '1' }], '\n\n\r\n\nid: 1\n\n', '\n\n'])
    expect(() => read(Array(17).fill('\n'.repeat(65_536)))).to.throw(EventTooLargeError)
  })

  it('does not return a truncated event', () => {
    // Failure: half an event became part of a text. The target died while sending it, after its id and some of its data.
    const { fields, rest } = read(['id: 1\ndata: one\n\nid: 2\ndata: tw'])
    expect(fields).to.have.length(1)
    expect(rest).to.equal('id: 2\ndata: tw')
  })

  it('tells the beginning of an event or comment from line breaks and whole comments', () => {
    // Guards against half an event at the end of a stream that is taken for the end of a complete one.
    const ends = (texts: string[]): boolean[] => texts.map((text) => endsWithinEvent(Buffer.from(text)))
    expect(ends(['', '\n', '\r\n\n', ': done\n', ':\n', ': a\r\n: b\n', '\n: a\n\n: b\n\n'])).to.deep.equal(Array(7).fill(false))
    expect(ends(['i', 'id: 1\n', 'id: 1\ndata: x\n', ':', ': don', '\n: a\n: b', ': a\ndata', ' \n'])).to.deep.equal(Array(8).fill(true))
  })
})
