/** Tests that a host logs an outage of the store once, however many topics it follows. */

import { expect } from 'chai'
import { OutageLogDeduplicator } from '../../../src/actors/common/store/outageLogDeduplicator.ts'
import { RecordedLog } from '../../support/recordedLog.ts'

describe('OutageLogDeduplicator', () => {
  it('logs the start of an outage at the first topic and its end at the last', () => {
    // Guards against duplicate lines: in an outage for a third of 195 hosts there were 348 lines about lost topics and 339 about regained
    // ones, three of each kind per affected host, as each topic detects the outage by itself.
    const log = new RecordedLog()
    const deduplicator = new OutageLogDeduplicator(log)
    for (const topic of ['operator', 'targets', 'steps']) deduplicator.alarm('store lost', { topic, silentMs: 10 })
    deduplicator.changed('store regained', { topic: 'targets', silentMs: 900 })
    deduplicator.alarm('store lost', { topic: 'targets', silentMs: 10 })
    for (const topic of ['steps', 'targets', 'operator']) deduplicator.changed('store regained', { topic, silentMs: 1200 })
    deduplicator.changed('topic loaded', { topic: 'steps' })
    expect(log.lines).to.deep.equal([
      { what: 'store lost', details: { topic: 'operator', silentMs: 10 } },
      { what: 'store regained', details: { topic: 'operator', silentMs: 1200, topics: 3 } },
      { what: 'topic loaded', details: { topic: 'steps' } }
    ])
  })
})
