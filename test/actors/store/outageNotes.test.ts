/** An outage of the store is told once by a host, however many topics it follows. */

import { expect } from 'chai'
import { OutageNotes } from '../../../src/actors/common/store/outageNotes.ts'
import { RecordedLog } from '../../support/recordedLog.ts'

describe('an outage of the store', () => {
  it('is told as it begins at the first topic and as it ends at the last', () => {
    // Symptom: in an outage of a third of 195 hosts 348 lines told of lost topics and 339 of regained ones: three for each host, as each
    // of its topics notices the outage by itself.
    const log = new RecordedLog()
    const notes = new OutageNotes(log)
    for (const topic of ['operator', 'targets', 'steps']) notes.alarm('store lost', { topic, silentMs: 10 })
    notes.changed('store regained', { topic: 'targets', silentMs: 900 })
    notes.alarm('store lost', { topic: 'targets', silentMs: 10 })
    for (const topic of ['steps', 'targets', 'operator']) notes.changed('store regained', { topic, silentMs: 1200 })
    notes.changed('topic loaded', { topic: 'steps' })
    expect(log.lines).to.deep.equal([
      { what: 'store lost', details: { topic: 'operator', silentMs: 10 } },
      { what: 'store regained', details: { topic: 'operator', silentMs: 1200, topics: 3 } },
      { what: 'topic loaded', details: { topic: 'steps' } }
    ])
  })
})
