/** Events of a stream, cut anywhere. */

import { expect } from 'chai'
import fc from 'fast-check'
import { EventReader } from '../../../src/core/common/streams/eventReader.ts'

const stream = 'id: 1\ndata: one\n\nversion-of: 2\nid: 2\ndata: two\ndata: more\n\n: a comment\n\nid: 3\r\ndata: three: 3\r\n\r\n'

const read = (pieces: readonly (string | Uint8Array)[]): { fields: Record<string, string>[], rest: string, raw: string } => {
  const reader = new EventReader()
  const events = pieces.flatMap((piece) => reader.take(Buffer.from(piece)))
  return { fields: events.map(({ fields }) => Object.fromEntries(fields)), rest: Buffer.from(reader.rest).toString(), raw: Buffer.concat(events.map(({ raw }) => raw)).toString() }
}

describe('the reader of events', () => {
  it('reads all fields, named by the standard or not', () => {
    expect(read([stream]).fields).to.deep.equal([{ id: '1', data: 'one' }, { 'version-of': '2', id: '2', data: 'two\nmore' }, {}, { id: '3', data: 'three: 3' }])
  })

  it('reads the same wherever the stream is cut into pieces, and keeps it as it came', () => {
    fc.assert(fc.property(fc.array(fc.integer({ min: 0, max: stream.length }), { maxLength: 8 }), (places) => {
      const cuts = [0, ...places.sort((a, b) => a - b), stream.length]
      const pieces = cuts.slice(1).map((cut, index) => stream.slice(cuts[index], cut))
      const { raw, ...rest } = read(pieces)
      expect(raw).to.equal(stream)
      expect(rest).to.deep.equal({ fields: read([stream]).fields, rest: '' })
    }))
  })

  it('keeps bytes that are no text, and characters that are cut anywhere', () => {
    // Guards against streams that are passed on altered.
    const bytes = Buffer.concat([Buffer.from('\uFEFFid: 1\ndata: أربعة غرف 🏠\n\n'), Buffer.from([0xff, 0xfe, 0x80, 0x0a, 0x0a, 0xe2, 0x82])])
    for (let cut = 0; cut <= bytes.length; cut++) {
      const reader = new EventReader()
      const events = [bytes.subarray(0, cut), bytes.subarray(cut)].flatMap((piece) => reader.take(piece))
      expect(Buffer.concat([...events.map(({ raw }) => raw), reader.rest])).to.deep.equal(bytes)
      expect(events[0]?.fields.get('data')).to.equal('أربعة غرف 🏠')
    }
  })

  it('does not count an event that was cut off in its middle', () => {
    // Symptom: half an event in a text. The target died while it sent it, after its id and some data.
    const { fields, rest } = read(['id: 1\ndata: one\n\nid: 2\ndata: tw'])
    expect(fields).to.have.length(1)
    expect(rest).to.equal('id: 2\ndata: tw')
  })
})
